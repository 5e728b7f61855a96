#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iterator>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace review {

namespace json = boost::json;

namespace {

constexpr int kBacklog = 512;
constexpr std::size_t kReadBytes = 16384;
constexpr std::int64_t kLeaseCheckMs = 10;
constexpr std::int64_t kPollMs = 10;
// Events that the store keeps, far more than a run writes in its `history-s`.
constexpr std::size_t kMaxEvents = 100000;
// The stand-ins listen at the first address, and the gateways at the others.
constexpr const char* kHosts[] = {"127.0.0.1",  "127.0.0.41", "127.0.0.42",
                                  "127.0.0.43", "127.0.0.44", "127.0.0.45"};
constexpr int kFirstHost = 41;
constexpr char kTemplate[] = "deploy/gateway.ini.tmpl";

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

std::string Trim(const std::string& text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string::npos) return "";
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

constexpr char kBase64[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = (group << 8) | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j > text.size() ? '=' : kBase64[(group >> (18 - 6 * j)) & 63];
    }
  }
  return out;
}

std::string DecodeBase64(const std::string& text) {
  std::string out;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    const char* found = std::strchr(kBase64, c);
    if (found == nullptr || c == '\0') break;
    group = (group << 6) | static_cast<std::uint32_t>(found - kBase64);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>((group >> bits) & 255);
    }
  }
  return out;
}

std::string Str(const json::value& value, const char* name) {
  const json::value* member = value.is_object() ? value.get_object().if_contains(name) : nullptr;
  return member != nullptr && member->is_string() ? std::string(member->get_string().c_str())
                                                  : std::string();
}

std::uint64_t Num(const json::value& value, const char* name) {
  const json::value* member = value.is_object() ? value.get_object().if_contains(name) : nullptr;
  return member != nullptr && member->is_number() ? member->to_number<std::uint64_t>() : 0;
}

const json::array& Arr(const json::value& value, const char* name) {
  static const json::array kEmpty;
  const json::value* member = value.is_object() ? value.get_object().if_contains(name) : nullptr;
  return member != nullptr && member->is_array() ? member->get_array() : kEmpty;
}

std::uint64_t ToNumber(const std::string& text) {
  return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

sockaddr_in MakeAddress(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// Reads what has come into `buffer`, waiting until `deadline`. Returns 1, 0 at the end of the
// connection, -1 on an error and -2 at the deadline.
int Receive(int socket, std::string* buffer, std::int64_t deadline) {
  const std::int64_t left = deadline - NowMs();
  pollfd wait{socket, POLLIN, 0};
  if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) == 0) return -2;
  char bytes[kReadBytes];
  const ssize_t count = recv(socket, bytes, sizeof bytes, 0);
  if (count > 0) buffer->append(bytes, static_cast<std::size_t>(count));
  if (count > 0) return 1;
  return count == 0 ? 0 : -1;
}

bool SendAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// Parses the lines of a head behind its first one.
Headers ParseHeaders(const std::string& head) {
  Headers headers;
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    headers.fields.emplace_back(line.substr(0, colon), Trim(line.substr(colon + 1)));
  }
  return headers;
}

constexpr std::int64_t kForever = std::int64_t{1} << 30;

// Takes a body with chunks from `buffer`. Returns Receive's result, 1 for a whole one.
int ReadChunks(int socket, std::string* buffer, std::string* body, std::int64_t deadline) {
  for (;;) {
    auto end = buffer->find("\r\n");
    while (end == std::string::npos) {
      const int result = Receive(socket, buffer, deadline);
      if (result != 1) return result;
      end = buffer->find("\r\n");
    }
    const std::size_t size = std::strtoul(buffer->c_str(), nullptr, 16);
    while (buffer->size() < end + 2 + size + 2) {
      const int result = Receive(socket, buffer, deadline);
      if (result != 1) return result;
    }
    body->append(*buffer, end + 2, size);
    buffer->erase(0, end + 2 + size + 2);
    if (size == 0) return 1;
  }
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Fills in a template as DEPLOY.md says, as far as deploy/gateway.ini.tmpl uses it: values, and
// sections on a list of pairs or on a value.
std::string Render(std::string text, const std::map<std::string, std::string>& values,
                   const std::vector<std::pair<std::string, std::string>>& zones) {
  const auto replace = [](std::string* in, const std::string& from, const std::string& to) {
    for (auto at = in->find(from); at != std::string::npos; at = in->find(from, at + to.size())) {
      in->replace(at, from.size(), to);
    }
  };
  for (auto open = text.find("{{#"); open != std::string::npos; open = text.find("{{#")) {
    const auto name_end = text.find("}}", open);
    const std::string name = text.substr(open + 3, name_end - open - 3);
    const std::string close = "{{/" + name + "}}";
    const auto end = text.find(close, open);
    const std::string inner = text.substr(name_end + 2, end - name_end - 2);
    std::string rendered;
    if (name == "zones") {
      for (std::size_t i = 0; i < zones.size(); ++i) {
        std::string part = inner;
        replace(&part, "{{@}}", zones[i].first);
        replace(&part, "{{.}}", zones[i].second);
        replace(&part, "{{,}}", i + 1 < zones.size() ? "," : "");
        rendered += part;
      }
    } else if (values.contains(name)) {
      rendered = inner;
      replace(&rendered, "{{.}}", values.at(name));
    }
    text.replace(open, end + close.size() - open, rendered);
  }
  for (const auto& [name, value] : values) replace(&text, "{{" + name + "}}", value);
  return text;
}

}  // namespace

std::int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               start)
      .count();
}

void SleepMs(std::int64_t milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string NewRequestId() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard lock(mutex);
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  file_ << NowMs() << " ms " << text << std::endl;
}

std::string Headers::Find(const std::string& name) const {
  for (const auto& [field, value] : fields) {
    if (Lower(field) == Lower(name)) return value;
  }
  return "";
}

std::string Request::Query(const std::string& name) const {
  const auto question = target.find('?');
  if (question == std::string::npos) return "";
  std::istringstream pairs(target.substr(question + 1));
  std::string pair;
  while (std::getline(pairs, pair, '&')) {
    if (pair.starts_with(name + "=")) return pair.substr(name.size() + 1);
  }
  return "";
}

Connection::~Connection() { close(socket_); }

bool Connection::Write(const std::string& bytes) const { return SendAll(socket_, bytes); }

bool Connection::Reply(int status, const std::string& headers, const std::string& body) const {
  return Write("HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool Connection::IsClosed() const {
  char byte = 0;
  const ssize_t count = recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::optional<Request> Connection::Read() {
  auto end = buffer_.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (Receive(socket_, &buffer_, NowMs() + kForever) != 1) return std::nullopt;
    end = buffer_.find("\r\n\r\n");
  }
  const std::string head = buffer_.substr(0, end + 2);
  buffer_.erase(0, end + 4);
  Request request;
  std::istringstream first(head);
  first >> request.method >> request.target;
  request.headers = ParseHeaders(head);
  if (Lower(request.headers.Find("Transfer-Encoding")).find("chunked") != std::string::npos) {
    if (ReadChunks(socket_, &buffer_, &request.body, NowMs() + kForever) != 1) return std::nullopt;
    return request;
  }
  const std::size_t length = ToNumber(request.headers.Find("Content-Length"));
  while (buffer_.size() < length) {
    if (Receive(socket_, &buffer_, NowMs() + kForever) != 1) return std::nullopt;
  }
  request.body = buffer_.substr(0, length);
  buffer_.erase(0, length);
  return request;
}

std::uint16_t Serve(const std::string& ip, std::uint16_t port, Handler handler) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = MakeAddress(ip, port);
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(listener, kBacklog) != 0) {
    throw std::runtime_error("can't listen at " + ip);
  }
  socklen_t size = sizeof address;
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  std::thread([listener, handler] {
    for (;;) {
      const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) continue;
      const int no_delay = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
      std::thread([accepted, handler] {
        Connection connection(accepted);
        while (!connection.closes()) {
          const auto request = connection.Read();
          if (!request) break;
          handler(connection, *request);
        }
      }).detach();
    }
  }).detach();
  return ntohs(address.sin_port);
}

std::vector<std::uint16_t> FreePorts(int count) {
  std::set<std::uint16_t> ports;
  std::mt19937 random(std::random_device{}());
  while (static_cast<int>(ports.size()) < count) {
    const auto port = static_cast<std::uint16_t>(12000 + random() % 18000);
    const bool is_free = std::all_of(std::begin(kHosts), std::end(kHosts), [&](const char* ip) {
      const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in address = MakeAddress(ip, port);
      const int bound = bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof address);
      close(probe);
      return bound == 0;
    });
    if (is_free) ports.insert(port);
  }
  return {ports.begin(), ports.end()};
}

Store::Store() {
  port_ = Serve("127.0.0.1", 0, [this](Connection& connection, const Request& request) {
    Handle(connection, request);
  });
  std::thread([this] { ExpireLeases(); }).detach();
}

json::object Store::ToJson(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", EncodeBase64(item.value)},
          {"revision", item.revision},
          {"create-revision", item.created},
          {"lease", item.lease}};
}

void Store::PutLocked(const std::string& key, const std::string& value, std::uint64_t lease) {
  Item& item = items_[key];
  if (item.revision == 0) item.created = revision_;
  item.value = value;
  item.revision = revision_;
  item.lease = lease;
  events_.push_back({key, revision_, item});
  if (events_.size() > kMaxEvents) events_.pop_front();
}

void Store::RemoveLocked(const std::string& key) {
  if (items_.erase(key) == 0) return;
  events_.push_back({key, revision_, std::nullopt});
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  ++revision_;
  PutLocked(key, value, 0);
  changed_.notify_all();
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  ++revision_;
  RemoveLocked(key);
  changed_.notify_all();
}

std::string Store::Get(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = items_.find(key);
  return found == items_.end() ? "" : found->second.value;
}

void Store::EndLeaseLocked(std::uint64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) keys.push_back(key);
  }
  if (keys.empty()) return;
  ++revision_;
  for (const std::string& key : keys) RemoveLocked(key);
  changed_.notify_all();
}

void Store::ExpireLeases() {
  for (;;) {
    SleepMs(kLeaseCheckMs);
    const std::lock_guard lock(mutex_);
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : leases_) {
      if (NowMs() >= lease.expires_at) ended.push_back(id);
    }
    for (const std::uint64_t id : ended) EndLeaseLocked(id);
  }
}

json::object Store::Transact(const json::value& body, int* status) {
  const std::lock_guard lock(mutex_);
  json::array current;
  bool holds = true;
  for (const json::value& row : Arr(body, "expected")) {
    const std::string key = Str(row, "key");
    const auto found = items_.find(key);
    const std::uint64_t revision = found == items_.end() ? 0 : found->second.revision;
    holds = holds && revision == Num(row, "revision");
    if (found != items_.end()) current.push_back(ToJson(key, found->second));
  }
  if (!holds) {
    *status = 412;
    return {{"items", current}};
  }
  for (const json::value& put : Arr(body, "puts")) {
    const std::uint64_t lease = Num(put, "lease");
    if (lease != 0 && !leases_.contains(lease)) {
      *status = 404;
      return {};
    }
  }
  ++revision_;
  for (const json::value& put : Arr(body, "puts")) {
    PutLocked(Str(put, "key"), DecodeBase64(Str(put, "value")), Num(put, "lease"));
  }
  for (const json::value& key : Arr(body, "remove")) {
    RemoveLocked(std::string(key.get_string().c_str()));
  }
  changed_.notify_all();
  *status = 200;
  return {{"revision", revision_}};
}

void Store::Watch(Connection& connection, const Request& request) {
  const std::string prefix = request.Query("prefix");
  const std::uint64_t after = ToNumber(request.Query("after"));
  const auto until = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(ToNumber(request.Query("wait-ms")));
  json::array found;
  std::unique_lock lock(mutex_);
  const auto collect = [&] {
    for (auto event = events_.rbegin(); event != events_.rend() && event->revision > after;
         ++event) {
      if (!event->key.starts_with(prefix)) continue;
      if (event->item) {
        found.insert(found.begin(), ToJson(event->key, *event->item));
      } else {
        found.insert(
            found.begin(),
            json::object{{"key", event->key}, {"revision", event->revision}, {"tombstone", true}});
      }
    }
    return !found.empty();
  };
  while (!collect()) {
    if (changed_.wait_until(lock, until) == std::cv_status::timeout) break;
  }
  const json::object answer{{"events", found}, {"store-revision", revision_}};
  lock.unlock();
  connection.Reply(200, "Content-Type: application/json\r\n", json::serialize(answer));
}

void Store::Handle(Connection& connection, const Request& request) {
  const std::string path = request.Path();
  if (path == "/mimosabend/kv-watch") {
    Watch(connection, request);
    return;
  }
  int status = 200;
  json::object answer;
  json::error_code error;
  const json::value body = request.body.empty() ? json::value() : json::parse(request.body, error);
  if (path == "/mimosabend/kv-txn") {
    answer = Transact(body, &status);
  } else {
    const std::lock_guard lock(mutex_);
    if (path == "/mimosabend/kv-key") {
      const auto found = items_.find(request.Query("key"));
      status = found == items_.end() ? 404 : 200;
      if (found != items_.end()) answer = ToJson(found->first, found->second);
    } else if (path == "/mimosabend/kv-range") {
      json::array items;
      for (const auto& [key, item] : items_) {
        if (key.starts_with(request.Query("prefix"))) items.push_back(ToJson(key, item));
      }
      answer["items"] = items;
      answer["truncated"] = false;
    } else if (path == "/mimosabend/kv-lease") {
      const auto ttl = static_cast<std::int64_t>(Num(body, "ttl-ms"));
      leases_[++next_lease_] = {ttl, NowMs() + ttl};
      answer["lease"] = next_lease_;
      answer["ttl-ms"] = ttl;
    } else if (path.starts_with("/mimosabend/kv-keep/")) {
      const auto lease = leases_.find(ToNumber(path.substr(20)));
      status = lease == leases_.end() ? 404 : 200;
      if (status == 200) lease->second.expires_at = NowMs() + lease->second.ttl_ms;
    } else if (path.starts_with("/mimosabend/kv-lease-end/")) {
      EndLeaseLocked(ToNumber(path.substr(25)));
    } else {
      status = 404;
    }
    answer["store-revision"] = revision_;
  }
  connection.Reply(status, "Content-Type: application/json\r\n", json::serialize(answer));
}

Fleet::Fleet(int gateways, std::uint16_t store_port, FleetSettings settings, Record* record)
    : store_port_(store_port),
      settings_(settings),
      record_(record),
      ports_(FreePorts(5)),
      pids_(static_cast<std::size_t>(gateways), -1) {
  std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("mkdtemp failed");
  directory_ = pattern;
}

Fleet::~Fleet() {
  for (std::size_t i = 0; i < pids_.size(); ++i) Kill(static_cast<int>(i));
  std::error_code ignored;
  if (std::getenv("KEEP_LOGS") == nullptr) std::filesystem::remove_all(directory_, ignored);
}

std::string Fleet::Ip(int index) const { return "127.0.0." + std::to_string(kFirstHost + index); }

std::string Fleet::Settings(int index) const {
  const std::string ip = Ip(index);
  const auto at = [&](int port) { return ip + ":" + std::to_string(ports_[port]); };
  const auto last = static_cast<int>(settings_.cpu_shares.size()) - 1;
  const double cpu_share = settings_.cpu_shares.at(static_cast<std::size_t>(std::min(index, last)));
  std::string seeds;
  for (int i = 0; i < std::min<int>(3, static_cast<int>(pids_.size())); ++i) {
    seeds += std::string(i == 0 ? "" : ",") + Ip(i) + ":" + std::to_string(ports_[4]);
  }
  const std::map<std::string, std::string> values{
      {"node-name", Name(index)},
      {"region", "tbilisi"},
      {"zone", "tbilisi-a"},
      {"seeds", seeds},
      {"listen.front", at(0)},
      {"listen.readiness", at(1)},
      {"listen.control", at(4)},
      {"ip", ip},
      {"internal-ports.0", std::to_string(ports_[2])},
      {"internal-ports.1", std::to_string(ports_[3])},
      {"platform.address", "127.0.0.1:" + std::to_string(store_port_)},
      {"limits.cpu-share", std::to_string(cpu_share)},
      {"limits.link-mbps", "1000.0"},
      {"limits.memory-mb", "260"},
      {"limits.max-fds", "4100"},
      {"bounds.drain-ms", std::to_string(settings_.drain_ms)},
      {"bounds.config-apply-ms", std::to_string(settings_.config_apply_ms)},
      {"bounds.grace-s", "8"},
      {"bounds.retry-budget-ratio", "0.2"},
      {"bounds.budget-slack", std::to_string(settings_.budget_slack)},
      {"bounds.budget-window-s", "10"},
      {"bounds.lease-ms", "3000"},
      {"bounds.require-fencing", settings_.require_fencing ? "true" : "false"},
      {"bounds.ceiling-window-s", "5"},
      {"bounds.ceiling-over", "1.1"}};
  return Render(ReadFile(kTemplate), values, {{"tbilisi-a", "tbilisi"}});
}

void Fleet::Start(int index) {
  const std::string base = directory_ + "/" + Name(index);
  std::ofstream(base + ".conf") << Settings(index);
  const std::string config = "--config=" + base + ".conf";
  const std::string log = base + ".log";
  const pid_t pid = fork();
  if (pid == 0) {
    // Ends with this process, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    execl("target/mimosabend", "target/mimosabend", "gateway", config.c_str(), nullptr);
    _exit(127);
  }
  pids_[static_cast<std::size_t>(index)] = pid;
  record_->Line("start " + Name(index));
}

void Fleet::Signal(int index, int number) {
  record_->Line("signal " + std::to_string(number) + " to " + Name(index));
  if (pids_[static_cast<std::size_t>(index)] > 0)
    kill(pids_[static_cast<std::size_t>(index)], number);
}

void Fleet::Kill(int index) {
  pid_t& pid = pids_[static_cast<std::size_t>(index)];
  if (pid <= 0) return;
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
  pid = -1;
  record_->Line("killed " + Name(index));
}

bool Fleet::IsRunning(int index) {
  pid_t& pid = pids_[static_cast<std::size_t>(index)];
  if (pid > 0 && waitpid(pid, nullptr, WNOHANG) == pid) pid = -1;
  return pid > 0;
}

bool Fleet::WaitExit(int index, std::int64_t timeout_ms) {
  const std::int64_t deadline = NowMs() + timeout_ms;
  while (IsRunning(index) && NowMs() < deadline) SleepMs(kPollMs);
  const bool ended = !IsRunning(index);
  if (ended) record_->Line("ended " + Name(index));
  return ended;
}

bool Fleet::WaitReady(int index, std::int64_t timeout_ms) const {
  const std::int64_t deadline = NowMs() + timeout_ms;
  while (NowMs() < deadline) {
    const Answer answer = Send(Ip(index), ports_[1], "GET", "/mimosabend/ready", "", "", 1000);
    if (answer.status == 200) return true;
    SleepMs(kPollMs);
  }
  return false;
}

std::string Fleet::Log(int index) const {
  return ReadFile(directory_ + "/" + Name(index) + ".log");
}

Answer Send(const std::string& ip, std::uint16_t port, const std::string& method,
            const std::string& target, const std::string& headers, const std::string& body,
            std::int64_t timeout_ms) {
  Answer answer;
  const std::int64_t deadline = NowMs() + timeout_ms;
  const int socket_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = MakeAddress(ip, port);
  if (connect(socket_fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    close(socket_fd);
    answer.end = "no connection";
    return answer;
  }
  std::string request = method + " " + target + " HTTP/1.1\r\n" + headers;
  if (headers.find("Host:") == std::string::npos) request += "Host: a.example\r\n";
  if (!body.empty() || method == "POST") {
    request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  SendAll(socket_fd, request + "\r\n" + body);
  std::string buffer;
  int result = 1;
  for (;;) {
    auto end = buffer.find("\r\n\r\n");
    while (end == std::string::npos && result == 1) {
      result = Receive(socket_fd, &buffer, deadline);
      end = buffer.find("\r\n\r\n");
    }
    if (end == std::string::npos) break;
    const std::string head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    answer.status = std::atoi(head.substr(std::min<std::size_t>(9, head.size())).c_str());
    answer.headers = ParseHeaders(head);
    if (answer.status >= 200) break;
  }
  if (answer.status >= 200) {
    const std::string length = answer.headers.Find("Content-Length");
    const bool chunked =
        Lower(answer.headers.Find("Transfer-Encoding")).find("chunked") != std::string::npos;
    if (chunked) {
      result = ReadChunks(socket_fd, &buffer, &answer.body, deadline);
      answer.complete = result == 1;
    } else if (!length.empty()) {
      while (result == 1 && buffer.size() < ToNumber(length)) {
        result = Receive(socket_fd, &buffer, deadline);
      }
      answer.complete = buffer.size() >= ToNumber(length);
      answer.body = buffer.substr(0, ToNumber(length));
    } else {
      while (result == 1) result = Receive(socket_fd, &buffer, deadline);
      answer.complete = result == 0;
      answer.body = buffer;
    }
  }
  close(socket_fd);
  answer.end = answer.complete ? "complete"
               : result == 0   ? "closed"
               : result == -2  ? "client's deadline"
                               : "broken";
  return answer;
}

json::object MakeRoute(const std::string& prefix, const std::string& type,
                       const std::string& service, int attempts, int timeout_ms) {
  return {{"name", prefix.substr(1, prefix.size() - 2)},
          {"host", "a.example"},
          {"prefix", prefix},
          {"route-type", type},
          {"service", service},
          {"max-attempts", attempts},
          {"timeout-ms", timeout_ms},
          {"target-latency-ms", 800},
          {"gap-aim-ms", 400},
          {"priority", 0},
          {"resumable", type == "streaming" && attempts > 1}};
}

json::object MakeEntry(const std::string& service, std::uint16_t port, std::int64_t born_ms) {
  return {{"service", service},  {"address", "127.0.0.1:" + std::to_string(port)},
          {"zone", "tbilisi-a"}, {"version", "v1"},
          {"slots", 64},         {"state", "ready"},
          {"cold-left-ms", 0},   {"seq-no", 1},
          {"born", born_ms}};
}

}  // namespace review
