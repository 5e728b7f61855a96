#ifndef MIMOSABEND_HTTP_HOST_LIST_H_
#define MIMOSABEND_HTTP_HOST_LIST_H_

#include <vector>

#include "host_list.h"
#include "http_client.h"

namespace mimosabend {

// Implements HostList by HTTP requests: reads the list as JSON with GET /v1/hosts. Not thread-safe.
class HttpHostList {
 public:
  // Precondition: `client` outlives this object.
  HttpHostList(HttpClient* client, Address address)
      : client_(client), address_(std::move(address)) {}

  // Fails with kUnavailable if the service gives no reply in time, with kBadAnswer if the reply is
  // not a valid list; one invalid host makes the whole list invalid.
  Task<Result<std::vector<Host>, HostListError>> Hosts();

 private:
  HttpClient* client_;
  Address address_;
};

static_assert(HostList<HttpHostList>);

}  // namespace mimosabend

#endif  // MIMOSABEND_HTTP_HOST_LIST_H_
