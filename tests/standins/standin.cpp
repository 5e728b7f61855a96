#include "standin.h"

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <cstdlib>
#include <iostream>

namespace mimosabend::standin {

namespace {

constexpr HttpLimits kLimits{8192, 64 * 1024, 16 * 1024 * 1024, milliseconds(60000)};

}  // namespace

int RunStandin(boost::asio::io_context* io, std::uint16_t port, HttpHandler handler) {
  HttpServer server(io->get_executor(), kLimits, std::move(handler));
  auto bound = server.Listen({"127.0.0.1", port});
  if (!bound) {
    std::cerr << "cannot listen: " << bound.error() << "\n";
    return 1;
  }
  std::cout << "listening " << bound.value() << std::endl;
  io->run();
  std::_Exit(0);
}

Task<void> ReplyJson(HttpExchange* exchange, int status, boost::json::value body) {
  HttpHeaders headers;
  headers.emplace_back("Content-Type", "application/json");
  std::string text = boost::json::serialize(body);
  co_await exchange->Reply(status, std::move(headers), std::move(text));
}

std::string QueryParameter(std::string_view target, std::string_view name) {
  const std::size_t question = target.find('?');
  if (question == std::string_view::npos) return {};
  std::string_view remaining = target.substr(question + 1);
  while (!remaining.empty()) {
    const std::size_t end = std::min(remaining.find('&'), remaining.size());
    const std::string_view pair = remaining.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == name) {
      return std::string(pair.substr(std::min(equals + 1, pair.size())));
    }
    remaining.remove_prefix(std::min(end + 1, remaining.size()));
  }
  return {};
}

std::optional<std::string> DecodedQueryParameter(std::string_view target, std::string_view name) {
  const auto parsed = boost::urls::parse_origin_form({target.data(), target.size()});
  if (!parsed) return std::nullopt;
  const auto parameters = parsed->params();
  const auto found = parameters.find({name.data(), name.size()});
  if (found == parameters.end()) return std::string();
  return (*found).value;
}

std::string DecodedPath(std::string_view target) {
  const auto parsed = boost::urls::parse_origin_form({target.data(), target.size()});
  return parsed ? parsed->path() : std::string();
}

std::string_view TargetPath(std::string_view target) { return target.substr(0, target.find('?')); }

boost::json::value JsonBody(const HttpExchange& exchange) {
  const auto body = ParseJson(exchange.request().body);
  if (!body || !body->is_object()) return boost::json::object();
  return *body;
}

}  // namespace mimosabend::standin
