#include "caller_api.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cassert>
#include <charconv>
#include <random>

#include "digest.h"

namespace mimosabend {

namespace {

constexpr std::int64_t kDefaultTimeoutMs = 60000;
constexpr std::int64_t kMaxTimeoutMs = 600000;
constexpr std::size_t kMaxRequestIdLength = 128;
constexpr std::string_view kBearer = "Bearer ";

ApiError InvalidHeader(std::string header, std::string message) {
  ApiError error;
  error.status = 400;
  error.type = "invalid_request_error";
  error.code = "invalid_header";
  error.param = std::move(header);
  error.message = std::move(message);
  return error;
}

ApiError Unauthenticated() {
  ApiError error;
  error.status = 401;
  error.type = "authentication_error";
  error.code = "invalid_api_key";
  error.message = "no caller has this key; send 'Authorization: Bearer KEY'";
  return error;
}

ApiError NoEnvironment() {
  ApiError error;
  error.status = 503;
  error.type = "server_error";
  error.code = "no_environment";
  error.message = "no environment document is in force yet";
  error.retry_after = RetryAfter(seconds(2));
  return error;
}

// Permits only characters that are safe in logs and headers.
bool IsValidRequestId(std::string_view text) {
  const auto allowed = [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kMaxRequestIdLength &&
         std::all_of(text.begin(), text.end(), allowed);
}

std::optional<std::int64_t> ParseTimeout(std::string_view text) {
  if (text.empty()) return kDefaultTimeoutMs;
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool complete = error == std::errc() && end == text.data() + text.size();
  if (!complete || value < 1 || value > kMaxTimeoutMs) return std::nullopt;
  return value;
}

}  // namespace

std::string ErrorBody(const ApiError& error) {
  boost::json::object details;
  details["message"] = error.message;
  details["type"] = error.type;
  details["param"] = error.param.empty() ? boost::json::value() : boost::json::value(error.param);
  details["code"] = error.code;
  boost::json::object body;
  body["error"] = std::move(details);
  body["outcome"] = std::string(kDispositionNames[error.disposition]);
  return boost::json::serialize(body);
}

Task<bool> ReplyError(HttpExchange* exchange, ApiError error, std::string request_id) {
  HttpHeaders headers;
  headers.emplace_back("Content-Type", "application/json");
  if (!request_id.empty()) headers.emplace_back("X-Request-Id", request_id);
  if (error.retry_after.count() > 0) {
    headers.emplace_back("Retry-After", std::to_string(error.retry_after.count()));
  }
  co_return co_await exchange->Reply(error.status, std::move(headers), ErrorBody(error));
}

Result<RequestContext, ApiError> ParseRequestContext(std::shared_ptr<const Environment> environment,
                                                     const HttpRequest& request,
                                                     MonotonicTime now) {
  if (environment->name.empty()) return outcome::failure(NoEnvironment());
  const std::string_view authorization = request.header("Authorization");
  if (!authorization.starts_with(kBearer)) return outcome::failure(Unauthenticated());
  RequestContext context;
  context.caller = environment->Authenticate(authorization.substr(kBearer.size()));
  if (context.caller == nullptr) return outcome::failure(Unauthenticated());
  context.environment = std::move(environment);

  context.rank = context.caller->rank;
  const std::string_view rank_text = request.header("X-Mimosabend-Rank");
  if (!rank_text.empty()) {
    const auto rank = kRankNames.Find(rank_text);
    if (!rank) {
      return outcome::failure(
          InvalidHeader("X-Mimosabend-Rank", "use one of: " + kRankNames.List()));
    }
    if (*rank < context.caller->rank) {
      return outcome::failure(InvalidHeader(
          "X-Mimosabend-Rank",
          "this caller's highest rank is " + std::string(kRankNames[context.caller->rank])));
    }
    context.rank = *rank;
  }
  const auto timeout = ParseTimeout(request.header("X-Mimosabend-Timeout-Ms"));
  if (!timeout) {
    return outcome::failure(InvalidHeader("X-Mimosabend-Timeout-Ms",
                                          "use a whole number of milliseconds from 1 to 600000"));
  }
  const std::string_view request_id = request.header("X-Request-Id");
  if (!request_id.empty() && !IsValidRequestId(request_id)) {
    return outcome::failure(
        InvalidHeader("X-Request-Id", "use up to 128 letters, digits, '-', '_' and '.'"));
  }
  context.request_id = request_id.empty() ? Hex64(RandomId()) : std::string(request_id);
  context.arrival = now;
  context.deadline = now + milliseconds(*timeout);
  return context;
}

seconds RetryAfter(seconds base) {
  thread_local std::mt19937 random(static_cast<std::uint32_t>(RandomId()));
  std::uniform_int_distribution<std::int64_t> delay(base.count(), 2 * base.count());
  return seconds(delay(random));
}

AcceptedRequest::AcceptedRequest(Metrics* metrics, Rank rank) : metrics_(metrics), rank_(rank) {
  metrics_->CountAccepted();
  metrics_->requests_in_flight->Increment();
}

AcceptedRequest::~AcceptedRequest() { assert(ended_); }

void AcceptedRequest::End(RequestOutcome outcome) {
  assert(!ended_);
  ended_ = true;
  metrics_->CountOutcome(outcome, rank_);
  metrics_->requests_in_flight->Decrement();
}

}  // namespace mimosabend
