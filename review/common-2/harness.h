#ifndef MIMOSABEND_REVIEW_COMMON_2_HARNESS_H_
#define MIMOSABEND_REVIEW_COMMON_2_HARNESS_H_

#include <sys/types.h>

#include <atomic>
#include <boost/json.hpp>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

// Stand-ins and helpers for the scripts of the second review. The store, the replicas and the
// clients are threads of one process; gateways are processes of their own. All addresses are
// loopback addresses.
namespace review {

// Milliseconds of the monotonic clock since the start of this process.
std::int64_t NowMs();
void SleepMs(std::int64_t milliseconds);

// Exit codes of a case.
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCouldNotRun = 2;

// The file record.txt of a case, one line an event. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::trunc) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

struct Headers {
  std::vector<std::pair<std::string, std::string>> fields;

  // The value of a field, by its name in any case; empty if it is absent.
  std::string Find(const std::string& name) const;
};

struct Request {
  std::string method;
  std::string target;
  Headers headers;
  std::string body;

  std::string Path() const { return target.substr(0, target.find('?')); }
  // A parameter of the query, not percent-decoded; empty if it is absent.
  std::string Query(const std::string& name) const;
};

// A connection that a server has accepted. Write returns false once the peer has gone.
class Connection {
 public:
  explicit Connection(int socket) : socket_(socket) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Write(const std::string& bytes) const;
  // Writes a response with a length.
  bool Reply(int status, const std::string& headers, const std::string& body) const;
  // Reads the next request; std::nullopt at the end of the connection.
  std::optional<Request> Read();
  // Whether the peer has closed the connection.
  bool IsClosed() const;
  // The server closes the connection after the handler returns.
  void CloseAfterwards() { close_ = true; }
  bool closes() const { return close_; }

 private:
  int socket_;
  std::string buffer_;
  bool close_ = false;
};

using Handler = std::function<void(Connection&, const Request&)>;

// Serves HTTP/1.1 at an address, one thread a connection, until the process ends. Returns the port.
std::uint16_t Serve(const std::string& ip, std::uint16_t port, Handler handler);

// Ports that are free at the time of the call on the loopback addresses that the cases use.
std::vector<std::uint16_t> FreePorts(int count);

// The platform's metadata store, with the calls that PROTOCOL.md names for `form=kv`.
class Store {
 public:
  Store();

  std::uint16_t port() const { return port_; }
  // Writes or removes a key as the operator or a replica does.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // The value of a key; empty if it is absent.
  std::string Get(const std::string& key);

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    std::uint64_t revision = 0;
    // Unset for a tombstone.
    std::optional<Item> item;
  };
  struct Lease {
    std::int64_t ttl_ms = 0;
    std::int64_t expires_at = 0;
  };

  void Handle(Connection& connection, const Request& request);
  void Watch(Connection& connection, const Request& request);
  boost::json::object Transact(const boost::json::value& body, int* status);
  void PutLocked(const std::string& key, const std::string& value, std::uint64_t lease);
  void RemoveLocked(const std::string& key);
  void EndLeaseLocked(std::uint64_t lease);
  void ExpireLeases();
  static boost::json::object ToJson(const std::string& key, const Item& item);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::deque<Event> events_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 100;
  std::uint64_t next_lease_ = 7000;
  std::uint16_t port_ = 0;
};

// The settings of gateways that differ between the cases; the rest is that of a small site.
struct FleetSettings {
  bool require_fencing = true;
  // Cores of each gateway's host; the last one holds for all further ones.
  std::vector<double> cpu_shares{0.25};
  int drain_ms = 2500;
  int config_apply_ms = 2500;
  int budget_slack = 52;
};

// Gateways as processes that are started with the command of deploy/system.toml and the template
// deploy/gateway.ini.tmpl. The destructor ends all of them.
class Fleet {
 public:
  Fleet(int gateways, std::uint16_t store_port, FleetSettings settings, Record* record);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts a gateway and doesn't wait for it.
  void Start(int index);
  void Signal(int index, int number);
  // Kills a gateway and waits for its end.
  void Kill(int index);
  // Waits until the gateway answers 200 to the readiness check.
  bool WaitReady(int index, std::int64_t timeout_ms) const;
  // Waits for the end of a process that was told to stop.
  bool WaitExit(int index, std::int64_t timeout_ms);
  bool IsRunning(int index);
  std::string Ip(int index) const;
  std::string Name(int index) const { return "edge-" + std::to_string(index); }
  std::uint16_t front() const { return ports_[0]; }
  // The log of a gateway since its first start.
  std::string Log(int index) const;

 private:
  std::string Settings(int index) const;

  std::uint16_t store_port_;
  FleetSettings settings_;
  Record* record_;
  std::string directory_;
  std::vector<std::uint16_t> ports_;
  std::vector<pid_t> pids_;
};

// What a client got.
struct Answer {
  // 0 if no status line came.
  int status = 0;
  Headers headers;
  std::string body;
  // The answer has a final status and came to the end that its framing states.
  bool complete = false;
  // How it ended, for the record.
  std::string end;
};

// Sends one request on a new connection and reads its answer, as a sound HTTP/1.1 client: a status
// below 200 precedes the final one. Waits `timeout_ms` at most.
Answer Send(const std::string& ip, std::uint16_t port, const std::string& method,
            const std::string& target, const std::string& headers, const std::string& body,
            std::int64_t timeout_ms);

// The value of TROUBLE is not 0.
bool WithTrouble();

// A route and a service as they stand in the configuration.
boost::json::object MakeRoute(const std::string& prefix, const std::string& type,
                              const std::string& service, int attempts, int timeout_ms);

// An entry under servers/.
boost::json::object MakeEntry(const std::string& service, std::uint16_t port, std::int64_t born_ms);

std::int64_t UnixMs();
std::string NewRequestId();

}  // namespace review

#endif  // MIMOSABEND_REVIEW_COMMON_2_HARNESS_H_
