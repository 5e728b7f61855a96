#ifndef MIMOSABEND_HTTP_WEIGHT_STORE_H_
#define MIMOSABEND_HTTP_WEIGHT_STORE_H_

#include "http_client.h"
#include "weight_store.h"

namespace mimosabend {

// The weight store's status as JSON over HTTP: GET /v1/status. Not thread-safe. Models
// WeightStore.
class HttpWeightStore {
 public:
  // Precondition: `client` outlives this object.
  HttpWeightStore(HttpClient* client, Address address)
      : client_(client), address_(std::move(address)) {}

  Task<Result<WeightStoreStatus, WeightStoreError>> Status();

 private:
  HttpClient* client_;
  Address address_;
};

static_assert(WeightStore<HttpWeightStore>);

}  // namespace mimosabend

#endif  // MIMOSABEND_HTTP_WEIGHT_STORE_H_
