#ifndef MIMOSABEND_RESULT_H_
#define MIMOSABEND_RESULT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/outcome.hpp>

namespace mimosabend {

namespace outcome = boost::outcome_v2;

// A value or the error of one layer. Reading the wrong alternative throws bad_result_access.
template <class T, class E>
using Result = outcome::checked<T, E>;

// A coroutine of this program. All of them run on the one thread of their io_context.
template <class T>
using Task = boost::asio::awaitable<T>;

}  // namespace mimosabend

#endif  // MIMOSABEND_RESULT_H_
