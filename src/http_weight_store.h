#ifndef MIMOSABEND_HTTP_WEIGHT_STORE_H_
#define MIMOSABEND_HTTP_WEIGHT_STORE_H_

#include "http_client.h"
#include "weight_store.h"

namespace mimosabend {

// Implements WeightStore by HTTP requests: reads the status as JSON with GET /v1/status. Not
// thread-safe.
class HttpWeightStore {
 public:
  // Precondition: `client` outlives this object.
  HttpWeightStore(HttpClient* client, Address address)
      : client_(client), address_(std::move(address)) {}

  // Fails with kUnavailable if the service gives no reply in time, with kBadAnswer if the reply is
  // not a valid status.
  Task<Result<WeightStoreStatus, WeightStoreError>> Status();

 private:
  HttpClient* client_;
  Address address_;
};

static_assert(WeightStore<HttpWeightStore>);

}  // namespace mimosabend

#endif  // MIMOSABEND_HTTP_WEIGHT_STORE_H_
