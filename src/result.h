#ifndef MIMOSABEND_RESULT_H_
#define MIMOSABEND_RESULT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/outcome.hpp>

namespace mimosabend {

namespace outcome = boost::outcome_v2;

// A value or an error. Accessing the alternative that is not set throws bad_result_access.
template <class T, class E>
using Result = outcome::checked<T, E>;

// A coroutine. Coroutines of one io_context all run on its single thread.
template <class T>
using Task = boost::asio::awaitable<T>;

}  // namespace mimosabend

#endif  // MIMOSABEND_RESULT_H_
