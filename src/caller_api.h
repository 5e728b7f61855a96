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

// What a caller learns of a request that was not answered.
enum class Disposition : std::uint8_t { kNotRun, kInProgress, kOutcomeUnknown, kFailed };
inline constexpr NameTable<Disposition, 4> kDispositionNames{
    {"not_run", "in_progress", "outcome_unknown", "failed"}};

// An error answer in the form of the OpenAI API, with the disposition beside it.
struct ApiError {
  int status = 500;
  // "type" and "code" of the OpenAI error object.
  std::string type;
  std::string code;
  std::string message;
  // The parameter at fault; empty for none.
  std::string param;
  Disposition disposition = Disposition::kNotRun;
  // Zero sends no Retry-After.
  seconds retry_after{0};
};

// The JSON body of an error. Thread-safe.
std::string ErrorBody(const ApiError& error);

// Sends an error answer. False if the caller is gone.
Task<bool> ReplyError(HttpExchange* exchange, ApiError error, std::string request_id);

// A request whose caller is known and whose headers are valid.
struct CallContext {
  // Keeps `caller` alive.
  std::shared_ptr<const Environment> environment;
  const Caller* caller = nullptr;
  Rank rank = Rank::kStandard;
  std::string request_id;
  MonotonicTime arrival;
  MonotonicTime deadline;

  milliseconds timeout() const { return ToMillis(deadline - arrival); }
};

// Authenticates a request and reads its rank and deadline. Thread-safe.
Result<CallContext, ApiError> ReadCallContext(std::shared_ptr<const Environment> environment,
                                              const HttpRequest& request, MonotonicTime now);

// Seconds to wait before a request is sent again: about `base`, spread so that callers refused
// together do not return together. Thread-safe.
seconds RetryAfter(seconds base);

// Counts an accepted request and checks that it ends exactly once. Not thread-safe.
class AcceptedRequest {
 public:
  // Precondition: `metrics` outlives this object.
  AcceptedRequest(Metrics* metrics, Rank rank);
  AcceptedRequest(const AcceptedRequest&) = delete;
  AcceptedRequest& operator=(const AcceptedRequest&) = delete;
  ~AcceptedRequest();

  // Precondition: not called before.
  void End(RequestOutcome outcome);

 private:
  Metrics* metrics_;
  Rank rank_;
  bool ended_ = false;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_CALLER_API_H_
