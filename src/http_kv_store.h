#ifndef MIMOSABEND_HTTP_KV_STORE_H_
#define MIMOSABEND_HTTP_KV_STORE_H_

#include <string>
#include <vector>

#include "http_client.h"
#include "kv_store.h"

namespace mimosabend {

// Implements KvStore with Consul's HTTP API: /v1/kv, /v1/txn and /v1/session. Not thread-safe.
class HttpKvStore {
 public:
  // Precondition: `client` outlives this object.
  HttpKvStore(HttpClient* client, Address address)
      : client_(client), address_(std::move(address)) {}

  Task<Result<KvEntry, KvError>> Read(std::string key);
  Task<Result<KvSwap, KvError>> CompareAndSwap(std::string key, std::string value,
                                               std::uint64_t expected_version);
  Task<Result<bool, KvError>> Delete(std::string key, std::uint64_t expected_version);
  Task<Result<std::vector<KvItem>, KvError>> List(std::string prefix);
  Task<Result<KvEntry, KvError>> Watch(std::string key, std::uint64_t known_version,
                                       milliseconds wait);
  Task<Result<LeaseId, KvError>> GrantLease(milliseconds time_to_live);
  Task<Result<bool, KvError>> RenewLease(LeaseId lease);
  Task<Result<void, KvError>> RevokeLease(LeaseId lease);
  Task<Result<bool, KvError>> Acquire(std::string key, std::string value, LeaseId lease);

  // Calls made so far. The platform charges for each call.
  std::uint64_t calls() const { return calls_; }
  // Calls so far that got no response or a status of 500 or above.
  std::uint64_t errors() const { return errors_; }

 private:
  Task<Result<HttpReply, KvError>> Call(std::string method, std::string target, std::string body,
                                        milliseconds timeout);

  HttpClient* client_;
  Address address_;
  std::uint64_t calls_ = 0;
  std::uint64_t errors_ = 0;
};

static_assert(KvStore<HttpKvStore>);

}  // namespace mimosabend

#endif  // MIMOSABEND_HTTP_KV_STORE_H_
