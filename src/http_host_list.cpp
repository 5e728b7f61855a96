#include "http_host_list.h"

#include "json.h"

namespace mimosabend {

namespace {

constexpr milliseconds kCallTimeout{1000};

// std::nullopt if the id is empty, or the role, state or address is missing or invalid.
std::optional<Host> ParseHost(const boost::json::value& value) {
  const auto role = kHostRoleNames.Find(StringMember(value, "role"));
  const auto state = kHostStateNames.Find(StringMember(value, "state"));
  const auto address = ParseAddress(StringMember(value, "address"));
  Host host;
  host.id = StringMember(value, "id");
  host.serves = StringMember(value, "serves");
  host.region = StringMember(value, "region");
  host.failure_domain = StringMember(value, "failure_domain");
  if (!role || !state || !address || host.id.empty()) return std::nullopt;
  host.role = *role;
  host.state = *state;
  host.address = *address;
  return host;
}

}  // namespace

Task<Result<std::vector<Host>, HostListError>> HttpHostList::Hosts() {
  HttpCall call;
  call.address = address_;
  call.target = "/v1/hosts";
  call.deadline = MonotonicNow() + kCallTimeout;
  auto reply = co_await client_->Call(std::move(call));
  if (!reply) co_return outcome::failure(HostListError::kUnavailable);
  const auto body = ParseJson(reply.value().body);
  const boost::json::value* list = body ? JsonMember(*body, "hosts") : nullptr;
  if (reply.value().status != 200 || list == nullptr || !list->is_array()) {
    co_return outcome::failure(HostListError::kBadAnswer);
  }
  std::vector<Host> hosts;
  for (const boost::json::value& item : list->get_array()) {
    std::optional<Host> host = ParseHost(item);
    if (!host) co_return outcome::failure(HostListError::kBadAnswer);
    hosts.push_back(std::move(*host));
  }
  co_return hosts;
}

}  // namespace mimosabend
