#include "admission_gate.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosabend {

namespace asio = boost::asio;

namespace {

// A request whose caller closed the connection leaves the queue within this time.
constexpr milliseconds kCallerPollPeriod{200};

}  // namespace

AdmissionPermit::~AdmissionPermit() {
  if (gate_ != nullptr) gate_->End(ticket_);
}

void AdmissionPermit::RecordFirstToken(MonotonicTime now) {
  gate_->admission_.RecordFirstToken(ticket_, now);
}

Task<Result<AdmissionPermit, AdmissionFailure>> AdmissionGate::Enter(
    AdmissionRequest request, std::vector<EndpointShare> endpoints,
    std::function<bool()> caller_gone) {
  const MonotonicTime start = MonotonicNow();
  admission_.UpdateEndpoints(request.queue, endpoints, start);
  AdmissionDecisions decisions;
  const AdmissionTicket ticket = admission_.Submit(request, start, &decisions);
  Waiter waiter{Timer(executor_), std::nullopt};
  waiters_[ticket] = &waiter;
  Apply(decisions);
  while (!waiter.decision) {
    const MonotonicTime now = MonotonicNow();
    waiter.timer.expires_at(std::min(admission_.Expiry(ticket), now + kCallerPollPeriod));
    boost::system::error_code ignored;
    co_await waiter.timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (waiter.decision) break;
    if (caller_gone()) {
      waiters_.erase(ticket);
      End(ticket);
      co_return outcome::failure(AdmissionFailure{AdmissionFailureKind::kCallerGone, {}});
    }
    AdmissionDecisions expired;
    admission_.Expire(ticket, MonotonicNow(), &expired);
    Apply(expired);
  }
  waiters_.erase(ticket);
  metrics_->ObserveQueueTime(request.rank, MonotonicNow() - start);
  if (waiter.decision->refusal) {
    const AdmissionRefusal reason = *waiter.decision->refusal;
    metrics_->CountAdmissionRefusal(reason);
    co_return outcome::failure(AdmissionFailure{AdmissionFailureKind::kRefused, reason});
  }
  co_return AdmissionPermit(this, ticket);
}

void AdmissionGate::Apply(const AdmissionDecisions& decisions) {
  for (const AdmissionDecision& decision : decisions) {
    Waiter* waiter = waiters_.at(decision.ticket);
    waiter->decision = decision;
    waiter->timer.cancel();
  }
}

void AdmissionGate::End(AdmissionTicket ticket) {
  AdmissionDecisions decisions;
  admission_.End(ticket, MonotonicNow(), &decisions);
  Apply(decisions);
}

}  // namespace mimosabend
