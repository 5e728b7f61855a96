#include <algorithm>
#include <cmath>

#include "platform/request_headers.h"
#include "relay_context.h"
#include "relay_handler.h"

namespace mimosabend {

namespace {

// A process that has just started hears from the placement leader within this time, as a rule.
constexpr milliseconds kQuotaWait{1500};

}  // namespace

// Finds the customer of a request by its key. False if the request has been refused.
Task<bool> RelayHandler::Authenticate(ContextPtr context) {
  if (!context->config->customers || context->route->is_public) co_return true;
  const std::string_view key = platform::CustomerKey(context->request());
  context->customer = context->config->customers->FindByKey(key);
  if (context->customer != nullptr) co_return true;
  // A key may have been added since.
  if (parts_.placement.may_lack_routes(MonotonicNow())) {
    co_await Refuse(context, "no such key in an old configuration");
    co_return false;
  }
  context->outcome = RelayOutcome::kUnknownKey;
  context->reason = key.empty() ? "no key" : "unknown key";
  HttpHeaders headers{{"Content-Type", "application/json"}};
  co_await Deliver(context, 401, std::move(headers), R"({"error":"unknown key"})");
  co_return false;
}

// Waits until this process has heard what all daemons use of the quotas. False if that takes too
// long.
Task<bool> RelayHandler::WaitForQuota(ContextPtr context) {
  const MonotonicTime began = MonotonicNow();
  const MonotonicTime limit = std::min({began + kQuotaWait, context->deadline, end_});
  while (!parts_.quota->informed() && !context->caller_gone && MonotonicNow() < limit) {
    co_await parts_.board->changed().WaitUntil(limit);
  }
  context->waited += ToMillis(MonotonicNow() - began);
  co_return parts_.quota->informed();
}

// Takes the request's part of its customer's quota. False if the request has been refused.
Task<bool> RelayHandler::TakeQuota(ContextPtr context) {
  const Customer* customer = context->customer;
  if (customer == nullptr || !customer->quota.is_limited()) co_return true;
  const RelayRequest& relay = context->relay;
  const double cost =
      customer->quota.CostOf(std::uint64_t{relay.prompt_tokens} + relay.max_output_tokens);
  parts_.quota->Ask(*customer, cost, MonotonicNow());
  const bool known = co_await WaitForQuota(context);
  if (!known) {
    context->ready_at = MonotonicNow() + kQuotaWait;
    co_await Refuse(context, "what all daemons use of the quota is not known yet");
    co_return false;
  }
  const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
  const auto retry_after = parts_.quota->Admit(*customer, cost, draw, MonotonicNow());
  if (!retry_after) {
    context->quota_cost = cost;
    co_return true;
  }
  context->outcome = RelayOutcome::kOverQuota;
  context->reason = "the customer's quota of " + std::to_string(std::lround(customer->quota.rate)) +
                    " a second is used up, asked for " + std::to_string(std::lround(cost));
  co_await DeliverRefusal(context, 429, *retry_after,
                          R"({"error":"not run, the quota is used up, try again later"})");
  co_return false;
}

}  // namespace mimosabend
