#ifndef MIMOSABEND_CALLER_API_H_
#define MIMOSABEND_CALLER_API_H_

#include <memory>
#include <optional>
#include <string>

#include "environment.h"
#include "http_server.h"
#include "metrics.h"
#include "rank.h"

namespace mimosabend {

// What is known of the execution of a request that gets an error response. kNotRun: it was not
// executed. kInProgress: another request with the same key is in flight. kOutcomeUnknown: it may or
// may not have been executed. kFailed: it was attempted and failed.
enum class Disposition : std::uint8_t { kNotRun, kInProgress, kOutcomeUnknown, kFailed };
inline constexpr NameTable<Disposition, 4> kDispositionNames{
    {"not_run", "in_progress", "outcome_unknown", "failed"}};

// An error response in the format of the OpenAI API, extended by the disposition.
struct ApiError {
  int status = 500;
  // Fields "type" and "code" of the OpenAI error object.
  std::string type;
  std::string code;
  std::string message;
  // Name of the invalid parameter or header; empty for none.
  std::string param;
  Disposition disposition = Disposition::kNotRun;
  // Value of the Retry-After header; zero omits it.
  seconds retry_after{0};
};

// Returns the JSON body of an error response. Thread-safe.
std::string ErrorBody(const ApiError& error);

// Sends an error response. Returns false if the caller has disconnected.
Task<bool> ReplyError(HttpExchange* exchange, ApiError error, std::string request_id);

// An authenticated request with validated headers.
struct RequestContext {
  // Owns `caller`.
  std::shared_ptr<const Environment> environment;
  const Caller* caller = nullptr;
  Rank rank = Rank::kStandard;
  std::string request_id;
  MonotonicTime arrival;
  MonotonicTime deadline;

  milliseconds timeout() const { return ToMillis(deadline - arrival); }
};

// Authenticates a request and parses its rank, timeout and request ID; a missing request ID is
// generated. `now` is the time of arrival. Fails with the error response to send. Thread-safe.
Result<RequestContext, ApiError> ParseRequestContext(std::shared_ptr<const Environment> environment,
                                                     const HttpRequest& request, MonotonicTime now);

// Returns a Retry-After value between `base` and twice `base`, randomized so that callers that are
// refused at the same time don't retry at the same time. Thread-safe.
seconds RetryAfter(seconds base);

// Updates the metrics of an accepted request, and asserts that it ends exactly once. Not
// thread-safe.
class AcceptedRequest {
 public:
  // Precondition: `metrics` outlives this object.
  AcceptedRequest(Metrics* metrics, Rank rank);
  AcceptedRequest(const AcceptedRequest&) = delete;
  AcceptedRequest& operator=(const AcceptedRequest&) = delete;
  ~AcceptedRequest();

  // Precondition: called once, before the destructor.
  void End(RequestOutcome outcome);

 private:
  Metrics* metrics_;
  Rank rank_;
  bool ended_ = false;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_CALLER_API_H_
