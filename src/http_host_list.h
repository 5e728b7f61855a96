#ifndef MIMOSABEND_HTTP_HOST_LIST_H_
#define MIMOSABEND_HTTP_HOST_LIST_H_

#include <vector>

#include "host_list.h"
#include "http_client.h"

namespace mimosabend {

// The host list as JSON over HTTP: GET /v1/hosts. Not thread-safe. Models HostList.
class HttpHostList {
 public:
  // Precondition: `client` outlives this object.
  HttpHostList(HttpClient* client, Address address)
      : client_(client), address_(std::move(address)) {}

  Task<Result<std::vector<Host>, HostListError>> Hosts();

 private:
  HttpClient* client_;
  Address address_;
};

static_assert(HostList<HttpHostList>);

}  // namespace mimosabend

#endif  // MIMOSABEND_HTTP_HOST_LIST_H_
