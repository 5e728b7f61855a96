#ifndef MIMOSABEND_RELAY_REQUEST_H_
#define MIMOSABEND_RELAY_REQUEST_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "clock.h"

namespace mimosabend {

// A segment of a prompt. Requests may share leading segments, whose prefill an engine can skip if
// they are in its cache.
struct PromptPart {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;
};

// The parts of a prompt that other requests may share: all but the last one, which belongs to the
// request itself or to its session. Precondition: `prompt` outlives the result. Thread-safe.
std::span<const PromptPart> SharedParts(const std::vector<PromptPart>& prompt);

// The distinct ids of the shared parts. Thread-safe.
std::vector<std::uint64_t> SharedPartIds(const std::vector<PromptPart>& prompt);

// The ids of the first shared parts and the number of all for log lines, or "-" if there are none.
// Thread-safe.
std::string SharedPartsText(const std::vector<PromptPart>& prompt);

// Parameters of a request, decoded from the caller's headers.
struct RelayRequest {
  std::string id;
  // How long the caller waits, counted from when it sent the request.
  std::optional<milliseconds> time_limit;
  std::string model;
  // Empty for none.
  std::string adapter;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  std::vector<PromptPart> prompt;
  // The last event of a stream that the caller has already received; 0 for none.
  std::uint64_t last_event_id = 0;
  // The id of the request that brought the stream's first event, if this one takes the stream up;
  // empty if the caller does not name it.
  std::string resumes;
};

// The id by which all attempts of a stream are known: that of the attempt which brought the first
// event, else that of the request itself. Thread-safe.
inline const std::string& StreamId(const RelayRequest& request) {
  const bool takes_up = request.last_event_id > 0 && !request.resumes.empty();
  return takes_up ? request.resumes : request.id;
}

// What a response tells about the execution of the request.
enum class ResponseKind : std::uint8_t {
  // The endpoint ran the request, whatever the status.
  kRan,
  // The endpoint says that it did not run the request: it is full, or the deadline has passed.
  kNotRun,
  // The endpoint is not the expected one, or does not hold the model or adapter.
  kMisdirected,
  // The response does not belong to this request.
  kWrongRequest
};

}  // namespace mimosabend

#endif  // MIMOSABEND_RELAY_REQUEST_H_
