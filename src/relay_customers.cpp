#include <algorithm>
#include <cmath>

#include "platform/request_headers.h"
#include "relay_context.h"
#include "relay_handler.h"

namespace mimosabend {

namespace {

// A process that has just started usually receives quota usage from the placement leader within
// this time.
constexpr milliseconds kMaxQuotaWait{1500};

// The level at which a request competes for its customer's quota. A customer's own priority is that
// of all its requests, so only the route's can order them. Requests that use no model cost a small
// fixed amount; refusing them would leave hardly more to others.
std::uint8_t QuotaLevel(const RelayContext& context) {
  const bool uses_model = context.params.prompt_tokens > 0 || context.params.max_output_tokens > 0;
  return uses_model ? PriorityLevel(context.route->priority) : std::uint8_t{0};
}

}  // namespace

// Identifies the customer by the API key. Returns false if the request has been refused.
Task<bool> RelayHandler::Authenticate(ContextPtr context) {
  if (!context->config->customers || context->route->is_public) co_return true;
  const std::string_view key = platform::CustomerKey(context->request());
  context->customer = context->config->customers->FindByKey(key);
  if (context->customer != nullptr) co_return true;
  // A stale configuration may lack a key that was added since.
  if (deps_.placement.config_may_be_stale(MonotonicNow())) {
    co_await Refuse(context, "API key not found in a stale configuration");
    co_return false;
  }
  context->outcome = RelayOutcome::kUnknownKey;
  context->reason = key.empty() ? "no API key" : "unknown API key";
  HttpHeaders headers{{"Content-Type", "application/json"}};
  co_await SendResponse(context, 401, std::move(headers), R"({"error":"unknown key"})");
  co_return false;
}

// Waits until this process knows the quota usage of all daemons. Returns false on timeout.
Task<bool> RelayHandler::WaitForQuota(ContextPtr context) {
  const MonotonicTime start = MonotonicNow();
  const MonotonicTime limit = std::min({start + kMaxQuotaWait, context->deadline, stop_deadline_});
  while (!deps_.quota->has_shares() && !context->caller_gone && MonotonicNow() < limit) {
    co_await deps_.usage->endpoints_changed().WaitUntil(limit);
  }
  context->waited += ToMillis(MonotonicNow() - start);
  co_return deps_.quota->has_shares();
}

// Refuses a request whose customer holds its whole share of the memory budget. Returns false if the
// request has been refused.
Task<bool> RelayHandler::AdmitByMemory(ContextPtr context) {
  if (deps_.memory == nullptr) co_return true;
  const std::string customer = context->customer_name();
  if (deps_.memory->HasRoom(customer)) {
    context->exchange->memory()->SetCustomer(customer);
    co_return true;
  }
  deps_.memory->RecordRefusal(MonotonicNow());
  co_await Refuse(context, "too many bytes are held for the customer");
  co_return false;
}

// Charges the request to its customer's quota. Returns false if the request has been refused.
Task<bool> RelayHandler::AdmitByQuota(ContextPtr context) {
  const Customer* customer = context->customer;
  if (customer == nullptr || !customer->quota.is_limited()) co_return true;
  const RelayRequest& params = context->params;
  const double cost =
      customer->quota.CostOf(std::uint64_t{params.prompt_tokens} + params.max_output_tokens);
  const std::uint8_t level = QuotaLevel(*context);
  context->quota_level = level;
  deps_.quota->AddDemand(*customer, level, cost, MonotonicNow());
  const bool known = co_await WaitForQuota(context);
  if (!known) {
    context->ready_at = MonotonicNow() + kMaxQuotaWait;
    co_await Refuse(context, "quota usage of the other daemons is not known yet");
    co_return false;
  }
  const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
  const auto retry_after = deps_.quota->Admit(*customer, level, cost, draw, MonotonicNow());
  if (!retry_after) {
    context->quota_cost = cost;
    co_return true;
  }
  context->outcome = RelayOutcome::kOverQuota;
  deps_.metrics->CountQuotaRefusal(level);
  context->reason = "customer quota of " + std::to_string(std::lround(customer->quota.rate)) +
                    " per second exceeded, requested " + std::to_string(std::lround(cost)) +
                    " at level " + std::to_string(level);
  co_await SendRefusal(context, 429, *retry_after,
                       R"({"error":"not run, the quota is used up, try again later"})");
  co_return false;
}

}  // namespace mimosabend
