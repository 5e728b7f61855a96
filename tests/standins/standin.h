#ifndef MIMOSABEND_TESTS_STANDINS_STANDIN_H_
#define MIMOSABEND_TESTS_STANDINS_STANDIN_H_

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "http_server.h"
#include "json.h"

// HTTP helpers shared by the stand-ins of the test fleet.

namespace mimosabend::standin {

// Serves HTTP on 127.0.0.1 until the process is killed. Prints "listening PORT" once bound. Port 0
// picks a free port. Returns 1 if the port can't be bound.
int RunStandin(boost::asio::io_context* io, std::uint16_t port, HttpHandler handler);

// Sends a response with a JSON body.
Task<void> ReplyJson(HttpExchange* exchange, int status, boost::json::value body);

// The value of a query parameter of a target, not percent-decoded; empty if it is absent.
std::string QueryParameter(std::string_view target, std::string_view name);

// The value of a query parameter, percent-decoded and with "+" for a space; empty if it is absent,
// std::nullopt if the target is not valid.
std::optional<std::string> DecodedQueryParameter(std::string_view target, std::string_view name);

// The path of a target, percent-decoded; empty if the target is not valid.
std::string DecodedPath(std::string_view target);

// The target without its query string.
std::string_view TargetPath(std::string_view target);

// The request body as a JSON object; an empty object if it is not one.
boost::json::value JsonBody(const HttpExchange& exchange);

}  // namespace mimosabend::standin

#endif  // MIMOSABEND_TESTS_STANDINS_STANDIN_H_
