#include <algorithm>
#include <cmath>
#include <utility>

#include "notifier.h"
#include "relay_context.h"
#include "relay_handler.h"
#include "scope_exit.h"
#include "supervisor.h"
#include "wait_policy.h"

namespace mimosabend {

namespace {

// Least time that an engine takes for a token: the batch step of an idle engine is 5 ms, and the
// fastest engines are 2.2 times as fast as others.
constexpr std::int64_t kMinTokenMicros = 2000;
// The prefill time of a model that no engine holds is not measured. An estimate that is much too
// high would refuse all its requests, so it counts for this part of the caller's time at most.
constexpr int kPrefillPartOfTime = 2;
// Distance between requests that are sent at once, so that they are sent in the order of the
// policy.
constexpr std::chrono::microseconds kSendDistance{10};

}  // namespace

bool RelayHandler::HasEngine(const Context& context, MonotonicTime now) const {
  return deps_.selector->HasEngine(context.service_name, context.params.model,
                                   AvoidedEndpoints(context, now), now);
}

// Waits until an engine holds the model. Returns false if none will in time.
Task<bool> RelayHandler::WaitForModel(ContextPtr context) {
  const MonotonicTime start = MonotonicNow();
  const std::string& model = context->params.model;
  const std::uint32_t priority = context->priority();
  if (!context->service->engine->models.contains(model)) {
    context->reason = "unknown model";
    co_return false;
  }
  deps_.metrics->model_waits_total->Increment();
  deps_.usage->BeginWaiting(context->service_name, model, context->route->target_latency, priority);
  context->waiting_since = start;
  model_waiters_.insert(context.get());
  const ScopeExit end(alive_, [&] {
    model_waiters_.erase(context.get());
    wait_round_.decisions.erase(context.get());
    deps_.usage->EndWaiting(context->service_name, model, priority);
  });
  context->step = RelayStep::kModel;
  bool found = false;
  while (!context->caller_gone) {
    const MonotonicTime now = MonotonicNow();
    if (MustLeave(*context, now) || LacksVersion(context.get(), now)) break;
    const WaitDecision decision = DecideOnModelWait(context.get(), now);
    context->ready_at = decision.ready_at;
    found = decision.action == WaitAction::kSend;
    if (decision.action == WaitAction::kRefuse) RecordRefusal(context.get(), decision);
    if (found && decision.order > 0) co_await Sleep(kSendDistance * decision.order);
    if (decision.action != WaitAction::kWait) break;
    co_await deps_.usage->endpoints_changed().WaitUntil(
        std::min(decision.until, now + kStatePollInterval));
  }
  context->step = RelayStep::kChoice;
  context->waited += ToMillis(MonotonicNow() - start);
  co_return found;
}

void RelayHandler::RecordRefusal(Context* context, const WaitDecision& decision) const {
  context->reason = kWaitReasonNames[decision.reason];
  context->ready_at = decision.ready_at;
  if (IsForecast(decision.reason)) deps_.metrics->forecast_refusals_total->Increment();
}

ModelOutlook RelayHandler::OutlookOf(const Context& context, const WaitingRequest& request,
                                     MonotonicTime now) const {
  ModelOutlook outlook;
  outlook.has_engine = HasEngine(context, now);
  if (outlook.has_engine) return outlook;
  outlook.load_end = deps_.placement.load_end(context.params.model);
  if (outlook.load_end) return outlook;
  outlook.backoff_until =
      deps_.selector->BackoffUntil(context.service_name, context.params.model, now);
  // With forecasts, the outlook is shared by all requests for the model.
  if (wait_rules_.forecast || MayRefuseEarly(request, now)) {
    outlook.all_limited = AreAllEndpointsLimited(context, now);
  }
  outlook.has_leader = deps_.placement.has_leader(now);
  return outlook;
}

WaitingRequest RelayHandler::MakeWaitingRequest(const Context& context, MonotonicTime now) const {
  WaitingRequest request;
  request.priority = context.priority();
  request.arrival = context.arrival;
  request.waiting_since = context.step == RelayStep::kModel ? context.waiting_since : now;
  request.deadline = std::min(context.deadline, stop_deadline_);
  if (!context.stream_open) request.first_event_by = context.first_event_deadline;
  request.target = context.route->target_latency;
  request.has_run = context.stream_open || context.runs > 0;
  request.ready_at = context.ready_at;
  if (!wait_rules_.forecast) return request;
  const double prefill_ms =
      deps_.stats->PrefillMillisPerToken("", context.params.model) * context.params.prompt_tokens;
  request.work = milliseconds(static_cast<std::int64_t>(prefill_ms));
  request.first_event_time = std::min(
      request.work, ToMillis(context.first_event_deadline - context.arrival) / kPrefillPartOfTime);
  request.stream_time = milliseconds(kMinTokenMicros * context.params.max_output_tokens / 1000);
  if (deps_.placement.queued_load_end) {
    request.queued_load_end =
        deps_.placement.queued_load_end(context.service_name, request.priority);
  }
  return request;
}

// Decides on a request that waits for its model.
WaitDecision RelayHandler::DecideOnModelWait(Context* context, MonotonicTime now) {
  if (!wait_rules_.forecast) return DecideAlone(*context, true, now);
  const bool current =
      wait_round_.notifications == deps_.usage->endpoints_changed().notifications() &&
      now - wait_round_.decided_at < kStatePollInterval;
  if (!current) UpdateWaitRound(now);
  // A request that has arrived since is decided alone, so that a burst of them costs little.
  const auto known = wait_round_.decisions.find(context);
  WaitDecision decision =
      known == wait_round_.decisions.end() ? DecideAlone(*context, true, now) : known->second;
  const bool by_forecast = IsForecast(decision.reason);
  // The leader's queue has no loads of weights that an engine has in its memory or on its disk.
  if (by_forecast && HasLocalWeights(*context, now)) decision = DecideAlone(*context, false, now);
  return decision;
}

WaitDecision RelayHandler::DecideAlone(const Context& context, bool queue_counts,
                                       MonotonicTime now) const {
  WaitingRequest request = MakeWaitingRequest(context, now);
  if (!queue_counts) request.queued_load_end.reset();
  return DecideWait(request, OutlookOf(context, request, now), wait_rules_, now);
}

// Decides on all requests that wait for a model.
void RelayHandler::UpdateWaitRound(MonotonicTime now) {
  std::vector<WaitingRequest> requests;
  std::vector<ModelOutlook> outlooks;
  std::map<std::pair<std::string, std::string>, std::size_t> known;
  for (const Context* context : model_waiters_) {
    WaitingRequest request = MakeWaitingRequest(*context, now);
    request.model = outlooks.size();
    // A request that avoids endpoints has an outlook of its own.
    if (AvoidedEndpoints(*context, now).empty()) {
      const auto key = std::pair(context->service_name, context->params.model);
      request.model = known.try_emplace(key, outlooks.size()).first->second;
    }
    if (request.model == outlooks.size()) outlooks.push_back(OutlookOf(*context, request, now));
    requests.push_back(request);
  }
  const auto decisions = DecideWaits(requests, outlooks, wait_rules_, now);
  wait_round_ = {{}, now, deps_.usage->endpoints_changed().notifications()};
  std::size_t index = 0;
  for (const Context* context : model_waiters_) {
    wait_round_.decisions[context] = decisions[index++];
  }
}

// Whether an engine has registered that it can load the model without the weight store.
bool RelayHandler::HasLocalWeights(const Context& context, MonotonicTime now) const {
  const auto has = [&](const std::vector<std::string>& models) {
    return std::find(models.begin(), models.end(), context.params.model) != models.end();
  };
  const auto entries = deps_.directory->OfService(context.service_name, now);
  return std::any_of(entries.begin(), entries.end(), [&](const DirectoryEntry* entry) {
    const EngineHoldings& holdings = entry->endpoint.holdings;
    return has(holdings.in_memory) || has(holdings.on_disk);
  });
}

// Whether no request is more urgent. Engines admit such requests first, so the prompts that others
// have queued there do not delay them; what daemons know of an engine's work has no priorities.
bool RelayHandler::IsMostUrgent(const Context& context) {
  const auto is_more_urgent = [&](std::uint32_t priority) { return priority < context.priority(); };
  const auto& routes = context.config->routes;
  if (std::any_of(routes.begin(), routes.end(), [&](const Route& route) {
        return route.kind == RouteKind::kStreaming && is_more_urgent(route.priority);
      })) {
    return false;
  }
  if (!context.config->customers) return true;
  const auto& customers = context.config->customers->customers();
  return std::none_of(customers.begin(), customers.end(), [&](const auto& item) {
    return item.second.priority && is_more_urgent(*item.second.priority);
  });
}

// Whether a request that could be sent now is refused, since it is predicted to be served too late.
bool RelayHandler::RefuseByForecast(Context* context, const EndpointChoice& choice,
                                    MonotonicTime now) const {
  // An engine without work is tried in any case, so that a wrong estimate of its speed is
  // corrected.
  if (!wait_rules_.forecast || choice.requests == 0 || IsMostUrgent(*context)) return false;
  WaitingRequest request = MakeWaitingRequest(*context, now);
  request.first_event_time = milliseconds(std::llround(choice.expected_ms));
  ModelOutlook outlook;
  outlook.has_engine = true;
  const WaitDecision decision = DecideWait(request, outlook, wait_rules_, now);
  if (decision.action != WaitAction::kRefuse) return false;
  RecordRefusal(context, decision);
  return true;
}

}  // namespace mimosabend
