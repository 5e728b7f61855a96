#include "http_weight_store.h"

#include "json.h"

namespace mimosabend {

namespace {

constexpr milliseconds kCallTimeout{1000};
// Larger counts are rejected as invalid.
constexpr std::int64_t kMaxCount = 1000000;

std::optional<std::uint32_t> CountMember(const boost::json::value& value, std::string_view name) {
  const auto number = IntegerMember(value, name);
  if (!number || *number < 0 || *number > kMaxCount) return std::nullopt;
  return static_cast<std::uint32_t>(*number);
}

}  // namespace

Task<Result<WeightStoreStatus, WeightStoreError>> HttpWeightStore::Status() {
  HttpCall call;
  call.address = address_;
  call.target = "/v1/status";
  call.deadline = MonotonicNow() + kCallTimeout;
  auto reply = co_await client_->Call(std::move(call));
  if (!reply) co_return outcome::failure(WeightStoreError::kUnavailable);
  const auto body = ParseJson(reply.value().body);
  if (reply.value().status != 200 || !body)
    co_return outcome::failure(WeightStoreError::kBadAnswer);
  const auto models = CountMember(*body, "model_loads");
  const auto adapters = CountMember(*body, "adapter_loads");
  const auto queued = CountMember(*body, "queued");
  if (!models || !adapters || !queued) co_return outcome::failure(WeightStoreError::kBadAnswer);
  co_return WeightStoreStatus{*models, *adapters, *queued};
}

}  // namespace mimosabend
