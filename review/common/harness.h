#ifndef MIMOSABEND_REVIEW_COMMON_HARNESS_H_
#define MIMOSABEND_REVIEW_COMMON_HARNESS_H_

#include <sys/types.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

// Stand-ins of the platform for the review's scripts: the store, replicas and clients, each on its
// own threads of one driver process. The gateways are processes of their own. All addresses are
// loopback addresses with free ports.

namespace mimosabend::review {

// Seconds since the driver began.
double Now();
void SleepFor(double seconds);
void SleepUntil(double time);

// Appends a line with the time to record.txt and to standard output. Thread-safe.
void Log(const std::string& line);

// Opens record.txt in `folder`. Ignores SIGPIPE.
void BeginRecord(const std::string& folder);

// Whether the disruption is played: false if the environment has TROUBLE=0.
bool TroubleIsOn();

// A request or a response of HTTP/1.1.
struct Message {
  std::string method;
  std::string target;
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  // Value of the first header with this name, ignoring case; empty if there is none.
  std::string Header(const std::string& name) const;
};

// A TCP connection. Reads time out at a time of Now().
class Connection {
 public:
  explicit Connection(int socket, bool owned = true) : socket_(socket), owned_(owned) {}
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection();

  // Connects to IP:PORT; nullptr on failure.
  static std::unique_ptr<Connection> Open(const std::string& address, double deadline);

  bool Send(const std::string& bytes);
  // Reads a request with its body. False at the end of the connection or at the deadline.
  bool ReadRequest(Message* message, double deadline);
  // Reads the head of a response.
  bool ReadResponseHead(Message* message, double deadline);
  // Reads the body of a response, also one that has no length. False if it is incomplete. What was
  // read is in `body` in either case.
  bool ReadResponseBody(Message* message, double deadline);
  // Ends the connection from this side.
  void Close();
  // The line at which the last head began, also if it was no head.
  const std::string& LastStart() const { return last_start_; }
  // Whether the peer has closed or reset the connection.
  bool PeerHasClosed() const;

 private:
  bool Fill(double deadline);
  bool ReadHead(std::string* start, Message* message, double deadline);
  bool ReadExactly(std::size_t count, std::string* bytes, double deadline);
  bool ReadLine(std::string* line, double deadline);
  bool ReadChunks(std::string* body, double deadline);

  int socket_;
  // Whether the destructor closes the socket.
  bool owned_;
  std::string buffer_;
  std::string last_start_;
  bool ended_ = false;
};

// Serves each connection on a thread of its own until the process ends.
class Listener {
 public:
  Listener(const std::string& ip, std::function<void(Connection*)> serve);
  const std::string& address() const { return address_; }
  // Ends all connections and refuses new ones, as when a process ends, until Open.
  void Break();
  void Open();

 private:
  void Accept(int socket);
  void Handle(int socket);

  std::function<void(Connection*)> serve_;
  std::string address_;
  std::mutex mutex_;
  int socket_ = -1;
  std::set<int> connections_;
};

std::string Response(int status, const std::vector<std::pair<std::string, std::string>>& headers,
                     const std::string& body);

// A port that is free on all of the loopback addresses used here.
std::uint16_t FreePort();

// The platform's store: keys with revisions, leases, transactions and watches.
class Store {
 public:
  Store();
  const std::string& address() const { return listener_->address(); }
  // What the operator, replicas and other writers do.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  std::string Get(const std::string& key);

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };
  struct Change {
    std::string key;
    std::uint64_t revision = 0;
    bool removed = false;
    Item item;
  };
  struct Lease {
    double ttl = 0;
    double expires = 0;
  };

  void Serve(Connection* connection);
  std::string Answer(const Message& request);
  std::string Range(const std::string& target);
  std::string Watch(const std::string& target);
  std::string Transaction(const std::string& body);
  std::string Grant(const std::string& body);
  void PutLocked(const std::string& key, const std::string& value, std::uint64_t lease);
  void RemoveLocked(const std::string& key);
  void EndLeaseLocked(std::uint64_t lease);
  void ExpireLeases();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  std::map<std::uint64_t, Lease> leases_;
  std::uint64_t revision_ = 1000;
  std::uint64_t last_lease_ = 0;
  std::unique_ptr<Listener> listener_;
};

// A replica: checks Expect-Instance, answers reports and orders, and hands all other requests for
// models that it holds to a handler. A plain replica has no models.
class Replica {
 public:
  using Handler = std::function<void(Connection*, const Message&)>;
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    std::vector<std::string> models;
    // Models on its disk, and how long a load of one takes.
    std::vector<std::string> on_disk;
    double load_s = 0.76;
  };

  Replica(Store* store, Options options, Handler run);
  const std::string& id() const { return options_.id; }
  const std::string& address() const { return listener_->address(); }
  // Ends like a process that crashes, and starts again `down_s` later: with a new id, empty, with
  // its models on its disk. Returns at once.
  void Crash(double down_s);

 private:
  void Restart(double down_s);
  void Serve(Connection* connection);
  void Register();
  std::string Report();
  std::string Order(const Message& request);
  std::string DescriptionLocked(bool entry) const;
  void FinishOrders();

  Store* store_;
  Options options_;
  Handler run_;
  std::mutex mutex_;
  std::uint64_t sequence_ = 0;
  std::uint64_t fence_ = 0;
  std::string loading_;
  double busy_until_ = 0;
  std::int64_t born_ = 0;
  int starts_ = 0;
  bool down_ = false;
  std::unique_ptr<Listener> listener_;
};

// The platform's part of starting gateways: a settings file from the values of a small deployment,
// the command of the deploy file, and signals.
class Fleet {
 public:
  Fleet(std::string root, const std::string& store, int count);
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;
  ~Fleet() { KillAll(); }

  // Kills all gateways and removes their folder, or keeps it if the environment has KEEP_LOGS.
  void KillAll();

  void Start(int index);
  void Signal(int index, int signal_number);
  // Whether the process has not ended.
  bool IsRunning(int index);
  bool IsReady(int index) const;
  // Waits until all gateways are ready.
  bool WaitUntilReady(double seconds);
  std::string front(int index) const;
  // Index of the gateway that the store names as leader; -1 for none.
  int Leader(Store* store) const;

 private:
  std::string Host(int index) const;

  std::string root_;
  std::string store_;
  std::string folder_;
  std::uint16_t front_port_;
  std::uint16_t ready_port_;
  std::uint16_t peer_port_;
  std::uint16_t metrics_port_;
  std::vector<pid_t> processes_;
};

// A new request id.
std::string NewId();

// The head and body of a client's request.
std::string Request(const std::string& id, const std::string& method, const std::string& target,
                    const std::vector<std::pair<std::string, std::string>>& headers,
                    const std::string& body);

// A route of the operator's configuration, as JSON.
std::string Route(const std::string& prefix, const std::string& type, const std::string& service,
                  int attempts, int timeout_ms, int target_ms, int gap_ms, bool resumable);

// The operator's configuration: `routes`, the service "models" with an engine that has these
// models, and the service "plain".
std::string Configuration(const std::vector<std::string>& routes,
                          const std::vector<std::string>& models, int version = 3);

// Ends the gateways and the driver. Exit codes: 1 if the rule was broken, 0 if it held, 2 if the
// case could not run.
[[noreturn]] void Finish(Fleet* fleet, bool broken, const std::string& summary);
[[noreturn]] void GiveUp(Fleet* fleet, const std::string& reason);

}  // namespace mimosabend::review

#endif  // MIMOSABEND_REVIEW_COMMON_HARNESS_H_
