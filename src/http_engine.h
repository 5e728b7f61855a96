#ifndef MIMOSABEND_HTTP_ENGINE_H_
#define MIMOSABEND_HTTP_ENGINE_H_

#include <memory>
#include <string>

#include "engine.h"
#include "http_client.h"

namespace mimosabend {

// HTTP client of engines: the OpenAI completions API for requests, and a JSON API under /control
// for state and orders. Models EngineControl and EngineGenerator. Not thread-safe.
class HttpEngine {
 public:
  // Precondition: `client` outlives this object and its streams.
  explicit HttpEngine(HttpClient* client) : client_(client) {}

  Task<Result<EngineState, EngineError>> State(Address endpoint);
  Task<Result<void, EngineError>> Order(Address endpoint, EngineOrder order);
  Task<Result<void, EngineError>> RaiseFence(Address endpoint, std::uint64_t fence);

  Task<Result<std::unique_ptr<TokenStream>, EngineError>> Open(Address endpoint, GenerateCall call);
  Task<Result<void, EngineError>> Cancel(Address endpoint, std::string request_id);

 private:
  Task<Result<void, EngineError>> Post(Address endpoint, std::string target, std::string body);

  HttpClient* client_;
};

static_assert(EngineControl<HttpEngine>);
static_assert(EngineGenerator<HttpEngine>);

}  // namespace mimosabend

#endif  // MIMOSABEND_HTTP_ENGINE_H_
