#include "http_kv_store.h"

#include "base64.h"
#include "json.h"
#include "kv_items.h"
#include "request_target.h"

namespace mimosabend {

namespace json = boost::json;

namespace {

// The service normally responds within milliseconds; a call that takes this long is an outage.
constexpr milliseconds kCallTimeout{1000};
// Added to the wait of a blocking query to get the timeout of its call.
constexpr milliseconds kWatchTimeoutMargin{2000};

KvError TranslateHttpError(HttpError error) {
  switch (error) {
    case HttpError::kNotSent:
      return KvError::kUnavailable;
    case HttpError::kTooLarge:
      return KvError::kBadAnswer;
    case HttpError::kTimedOut:
    case HttpError::kBroken:
    case HttpError::kMalformed:
      return KvError::kOutcomeUnknown;
  }
  return KvError::kOutcomeUnknown;
}

std::string KeyTarget(const std::string& key) { return "/v1/kv/" + EncodeForTarget(key); }

Result<std::vector<KvItem>, KvError> ParseItems(const HttpReply& reply) {
  if (reply.status == 404) return std::vector<KvItem>();
  auto items = reply.status == 200 ? ParseKvItems(reply.body) : std::nullopt;
  if (!items) return outcome::failure(KvError::kBadAnswer);
  return std::move(*items);
}

Result<KvEntry, KvError> ParseEntry(const Result<HttpReply, KvError>& reply) {
  if (!reply) return outcome::failure(reply.error());
  auto items = ParseItems(reply.value());
  if (!items) return outcome::failure(items.error());
  if (reply.value().status == 404) return KvEntry{};
  if (items.value().empty()) return outcome::failure(KvError::kBadAnswer);
  return std::move(items.value().front().entry);
}

// Parses a response whose body is "true" or "false".
Result<bool, KvError> ParseBoolean(const Result<HttpReply, KvError>& reply) {
  if (!reply) return outcome::failure(reply.error());
  if (reply.value().status != 200) return outcome::failure(KvError::kBadAnswer);
  return reply.value().body.starts_with("true");
}

}  // namespace

Task<Result<HttpReply, KvError>> HttpKvStore::Call(std::string method, std::string target,
                                                   std::string body, milliseconds timeout) {
  ++calls_;
  HttpCall call;
  call.address = address_;
  call.method = std::move(method);
  call.target = std::move(target);
  call.body = std::move(body);
  call.deadline = MonotonicNow() + timeout;
  auto reply = co_await client_->Call(std::move(call));
  if (!reply || reply.value().status >= 500) ++errors_;
  if (!reply) co_return outcome::failure(TranslateHttpError(reply.error()));
  if (reply.value().status == 413) co_return outcome::failure(KvError::kTooLarge);
  if (reply.value().status == 503) co_return outcome::failure(KvError::kUnavailable);
  if (reply.value().status >= 500) co_return outcome::failure(KvError::kOutcomeUnknown);
  co_return std::move(reply).value();
}

Task<Result<KvEntry, KvError>> HttpKvStore::Read(std::string key) {
  co_return ParseEntry(co_await Call("GET", KeyTarget(key), "", kCallTimeout));
}

Task<Result<KvSwap, KvError>> HttpKvStore::CompareAndSwap(std::string key, std::string value,
                                                          std::uint64_t expected_version) {
  if (value.size() > kMaxKvValueBytes) co_return outcome::failure(KvError::kTooLarge);
  json::object kv;
  kv["Verb"] = "cas";
  kv["Key"] = key;
  kv["Value"] = EncodeBase64(value);
  kv["Index"] = expected_version;
  json::object operation;
  operation["KV"] = std::move(kv);
  json::array operations;
  operations.push_back(std::move(operation));
  auto reply = co_await Call("PUT", "/v1/txn", json::serialize(operations), kCallTimeout);
  if (!reply) co_return outcome::failure(reply.error());
  if (reply.value().status == 409) co_return KvSwap{};
  const auto body = ParseJson(reply.value().body);
  const json::value* results = body ? JsonMember(*body, "Results") : nullptr;
  const json::array* list = results == nullptr ? nullptr : results->if_array();
  if (reply.value().status != 200 || list == nullptr || list->size() != 1) {
    co_return outcome::failure(KvError::kBadAnswer);
  }
  const json::value* result = JsonMember(list->front(), "KV");
  const auto version = result == nullptr ? std::nullopt : IntegerMember(*result, "ModifyIndex");
  if (!version || *version <= 0) co_return outcome::failure(KvError::kBadAnswer);
  co_return KvSwap{true, static_cast<std::uint64_t>(*version)};
}

Task<Result<bool, KvError>> HttpKvStore::Delete(std::string key, std::uint64_t expected_version) {
  const std::string version = std::to_string(expected_version);
  const std::string target = MakeTarget(KeyTarget(key), {{"cas", version}});
  co_return ParseBoolean(co_await Call("DELETE", target, "", kCallTimeout));
}

Task<Result<std::vector<KvItem>, KvError>> HttpKvStore::List(std::string prefix) {
  auto reply = co_await Call("GET", KeyTarget(prefix) + "?recurse", "", kCallTimeout);
  if (!reply) co_return outcome::failure(reply.error());
  co_return ParseItems(reply.value());
}

Task<Result<KvEntry, KvError>> HttpKvStore::Watch(std::string key, std::uint64_t known_version,
                                                  milliseconds wait) {
  const std::string version = std::to_string(known_version);
  const std::string wait_text = std::to_string(wait.count()) + "ms";
  const std::string target = MakeTarget(KeyTarget(key), {{"index", version}, {"wait", wait_text}});
  co_return ParseEntry(co_await Call("GET", target, "", wait + kWatchTimeoutMargin));
}

Task<Result<LeaseId, KvError>> HttpKvStore::GrantLease(milliseconds time_to_live) {
  json::object session;
  session["TTL"] = std::to_string(time_to_live.count()) + "ms";
  session["Behavior"] = "delete";
  session["LockDelay"] = "0s";
  auto reply = co_await Call("PUT", "/v1/session/create", json::serialize(session), kCallTimeout);
  if (!reply) co_return outcome::failure(reply.error());
  const auto body = ParseJson(reply.value().body);
  LeaseId lease = body ? StringMember(*body, "ID") : "";
  if (lease.empty()) co_return outcome::failure(KvError::kBadAnswer);
  co_return lease;
}

Task<Result<bool, KvError>> HttpKvStore::RenewLease(LeaseId lease) {
  auto reply =
      co_await Call("PUT", "/v1/session/renew/" + EncodeForTarget(lease), "", kCallTimeout);
  if (!reply) co_return outcome::failure(reply.error());
  if (reply.value().status == 404) co_return false;
  if (reply.value().status != 200) co_return outcome::failure(KvError::kBadAnswer);
  co_return true;
}

Task<Result<void, KvError>> HttpKvStore::RevokeLease(LeaseId lease) {
  auto reply =
      co_await Call("PUT", "/v1/session/destroy/" + EncodeForTarget(lease), "", kCallTimeout);
  if (!reply) co_return outcome::failure(reply.error());
  co_return outcome::success();
}

Task<Result<bool, KvError>> HttpKvStore::Acquire(std::string key, std::string value,
                                                 LeaseId lease) {
  const std::string target = MakeTarget(KeyTarget(key), {{"acquire", lease}});
  co_return ParseBoolean(co_await Call("PUT", target, std::move(value), kCallTimeout));
}

}  // namespace mimosabend
