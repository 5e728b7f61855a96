#include <algorithm>

#include "log.h"
#include "relay_context.h"
#include "relay_handler.h"
#include "supervisor.h"

namespace mimosabend {

namespace {

// Pause between questions for the version that began a stream.
constexpr milliseconds kOriginPollInterval{100};
// Daemons report the streams that begin there within this time.
constexpr milliseconds kOriginReportTime{700};
// A take-up waits this long for a leader, which is elected again after the loss of all daemons.
constexpr milliseconds kOriginWait{2000};

}  // namespace

// Finds out which software version began a stream that the caller takes up. Returns false if that
// stays unknown: an endpoint of another version would join text that does not fit together.
Task<bool> RelayHandler::FindStreamVersion(ContextPtr context) {
  if (!deps_.placement.find_stream_origin) co_return true;
  deps_.metrics->stream_take_ups_total->Increment();
  const MonotonicTime start = MonotonicNow();
  const StreamOriginRequest request{context->service_name,
                                    StreamKey(context->service_name, StreamId(context->params))};
  while (!context->caller_gone) {
    const StreamOrigin origin = co_await deps_.placement.find_stream_origin(request);
    const MonotonicTime now = MonotonicNow();
    context->waited = ToMillis(now - start);
    if (origin.state == OriginState::kKnown) {
      context->stream_version = origin.version;
      co_return true;
    }
    const milliseconds limit =
        origin.state == OriginState::kUnknown ? kOriginReportTime : kOriginWait;
    if (now + kOriginPollInterval >= start + limit || !MayWait(*context, now)) break;
    co_await Sleep(kOriginPollInterval);
  }
  deps_.metrics->stream_versions_unknown_total->Increment();
  context->reason = "software version that began the stream is unknown";
  co_return false;
}

// Records that the first event of an attempt has arrived.
void RelayHandler::RecordStream(Context* context, const FleetEndpoint& endpoint) {
  if (!context->stream_version) context->stream_version = endpoint.software;
  if (deps_.streams == nullptr) return;
  // A caller may name a later attempt than the first one.
  std::vector<std::string> ids{context->params.id};
  if (StreamId(context->params) != context->params.id) ids.push_back(StreamId(context->params));
  deps_.streams->RecordStream(context->service_name, *context->stream_version, ids, MonotonicNow());
}

// Whether the stream can't go on because no endpoint of its software version can. An engine that
// lacks the model is not loaded with it while engines of another version hold it.
bool RelayHandler::LacksVersion(Context* context, MonotonicTime now) const {
  if (!context->stream_version) return false;
  bool serves = false;
  bool holds = false;
  bool other_holds = false;
  for (const DirectoryEntry* entry : deps_.directory->OfService(context->service_name, now)) {
    const bool same = entry->endpoint.software == *context->stream_version;
    // An engine that refused the model a moment ago may be loading it.
    const bool has_model = entry->holdings().Find(context->params.model) != nullptr;
    serves = serves || same;
    holds = holds || (same && has_model);
    other_holds = other_holds || (!same && has_model);
  }
  if (holds || (serves && !other_holds)) return false;
  deps_.metrics->stream_versions_gone_total->Increment();
  context->reason = "no endpoint of the software version that began the stream";
  return true;
}

// Endpoints that must not be chosen: avoided ones and, once a stream has begun, those of other
// software versions.
std::set<std::string> RelayHandler::ExcludedEndpoints(const Context& context,
                                                      MonotonicTime now) const {
  std::set<std::string> excluded = context.AvoidedEndpoints(now);
  if (!context.stream_version) return excluded;
  // Called for each event of a stream, so it does not search the directory without need.
  const bool has_other =
      deps_.streams == nullptr ||
      deps_.streams->history().HasOther(context.service_name, *context.stream_version);
  if (!has_other) return excluded;
  for (const auto& [id, entry] : deps_.directory->entries()) {
    const FleetEndpoint& endpoint = entry.endpoint;
    if (endpoint.service != context.service_name) continue;
    if (endpoint.software != *context.stream_version) excluded.insert(id);
  }
  return excluded;
}

}  // namespace mimosabend
