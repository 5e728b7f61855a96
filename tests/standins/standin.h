#ifndef MIMOSABEND_TESTS_STANDINS_STANDIN_H_
#define MIMOSABEND_TESTS_STANDINS_STANDIN_H_

#include <boost/asio/io_context.hpp>
#include <string>
#include <string_view>

#include "http_server.h"
#include "json.h"

namespace mimosabend::standin {

// Serves HTTP on 127.0.0.1 until the process is killed. Prints "listening PORT" once bound.
// Port 0 takes a free port.
int RunStandin(boost::asio::io_context* io, std::uint16_t port, HttpHandler handler);

// Sends JSON.
Task<void> ReplyJson(HttpExchange* exchange, int status, boost::json::value body);

// The value of a query parameter of a target; empty if it is absent.
std::string QueryParameter(std::string_view target, std::string_view name);

// The target without its query.
std::string_view TargetPath(std::string_view target);

// The JSON object of a request body; an empty object if it is malformed.
boost::json::value BodyOf(const HttpExchange& exchange);

}  // namespace mimosabend::standin

#endif  // MIMOSABEND_TESTS_STANDINS_STANDIN_H_
