#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace mimosabend::review {

namespace json = boost::json;

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr double kStoreAnswerTime = 0.004;
constexpr double kHeartbeat = 1.2;
constexpr int kFirstHost = 41;

const SteadyClock::time_point kBegan = SteadyClock::now();

std::mutex record_mutex;
std::ofstream record;

std::string EncodeBase64(const std::string& bytes) {
  static constexpr char kAlphabet[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = (group << 8) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text += i + j <= bytes.size() ? kAlphabet[(group >> (18 - 6 * j)) & 63] : '=';
    }
  }
  return text;
}

std::string DecodeBase64(const std::string& text) {
  std::string bytes;
  std::uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    int value = -1;
    if (c >= 'A' && c <= 'Z') value = c - 'A';
    if (c >= 'a' && c <= 'z') value = c - 'a' + 26;
    if (c >= '0' && c <= '9') value = c - '0' + 52;
    if (c == '+') value = 62;
    if (c == '/') value = 63;
    if (value < 0) break;
    group = (group << 6) | static_cast<std::uint32_t>(value);
    bits += 6;
    if (bits < 8) continue;
    bits -= 8;
    bytes += static_cast<char>((group >> bits) & 255);
  }
  return bytes;
}

std::string Parameter(const std::string& target, const std::string& name) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string pair = target.substr(at + 1, end - at - 1);
    if (pair.rfind(name + "=", 0) == 0) return pair.substr(name.size() + 1);
    at = end;
  }
  return "";
}

sockaddr_in ParseAddress(const std::string& address) {
  const std::size_t colon = address.find(':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  return parsed;
}

int PollMillis(double deadline) {
  return static_cast<int>(std::max(0.0, std::min(3600.0, deadline - Now())) * 1000);
}

std::string Reason(int status) { return status < 300 ? "OK" : "Other"; }

std::int64_t UnixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

double Now() { return std::chrono::duration<double>(SteadyClock::now() - kBegan).count(); }

void SleepFor(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void SleepUntil(double time) { SleepFor(time - Now()); }

void Log(const std::string& line) {
  const std::lock_guard lock(record_mutex);
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f  ", Now());
  record << time << line << "\n" << std::flush;
  std::cout << time << line << "\n" << std::flush;
}

void BeginRecord(const std::string& folder) {
  std::signal(SIGPIPE, SIG_IGN);
  record.open(folder + "/record.txt", std::ios::trunc);
}

bool TroubleIsOn() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

std::string Message::Header(const std::string& name) const {
  for (const auto& [header, value] : headers) {
    if (strcasecmp(header.c_str(), name.c_str()) == 0) return value;
  }
  return "";
}

Connection::~Connection() {
  if (owned_ && socket_ >= 0) ::close(socket_);
}

std::unique_ptr<Connection> Connection::Open(const std::string& address, double deadline) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto connection = std::make_unique<Connection>(socket);
  const int flags = ::fcntl(socket, F_GETFL);
  ::fcntl(socket, F_SETFL, flags | O_NONBLOCK);
  const sockaddr_in peer = ParseAddress(address);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) != 0) {
    if (errno != EINPROGRESS) return nullptr;
    pollfd wait{socket, POLLOUT, 0};
    if (::poll(&wait, 1, PollMillis(deadline)) != 1) return nullptr;
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return nullptr;
  }
  ::fcntl(socket, F_SETFL, flags);
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return connection;
}

bool Connection::Send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool Connection::Fill(double deadline) {
  if (ended_) return false;
  pollfd wait{socket_, POLLIN, 0};
  if (::poll(&wait, 1, PollMillis(deadline)) != 1) return false;
  char bytes[16384];
  const ssize_t count = ::recv(socket_, bytes, sizeof bytes, 0);
  if (count <= 0) {
    // A connection that was reset doesn't end a body properly.
    ended_ = count == 0;
    return false;
  }
  buffer_.append(bytes, static_cast<std::size_t>(count));
  return true;
}

bool Connection::ReadLine(std::string* line, double deadline) {
  std::size_t end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill(deadline)) return false;
    end = buffer_.find("\r\n");
  }
  *line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return true;
}

bool Connection::ReadExactly(std::size_t count, std::string* bytes, double deadline) {
  while (buffer_.size() < count) {
    if (!Fill(deadline)) return false;
  }
  bytes->append(buffer_, 0, count);
  buffer_.erase(0, count);
  return true;
}

bool Connection::ReadHead(std::string* start, Message* message, double deadline) {
  *message = Message();
  if (!ReadLine(start, deadline)) return false;
  last_start_ = *start;
  std::string line;
  for (;;) {
    if (!ReadLine(&line, deadline)) return false;
    if (line.empty()) return true;
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) return false;
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    message->headers.emplace_back(line.substr(0, colon), line.substr(value));
  }
}

bool Connection::ReadChunks(std::string* body, double deadline) {
  std::string line;
  for (;;) {
    if (!ReadLine(&line, deadline)) return false;
    const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
    if (size > 0 && !ReadExactly(size, body, deadline)) return false;
    if (!ReadLine(&line, deadline)) return false;
    if (size == 0) return true;
  }
}

bool Connection::ReadRequest(Message* message, double deadline) {
  std::string start;
  if (!ReadHead(&start, message, deadline)) return false;
  std::istringstream words(start);
  words >> message->method >> message->target;
  if (!message->Header("Transfer-Encoding").empty()) return ReadChunks(&message->body, deadline);
  const std::string length = message->Header("Content-Length");
  return length.empty() || ReadExactly(std::stoul(length), &message->body, deadline);
}

bool Connection::ReadResponseHead(Message* message, double deadline) {
  std::string start;
  if (!ReadHead(&start, message, deadline)) return false;
  if (start.size() < 12 || start.rfind("HTTP/1.1 ", 0) != 0) return false;
  message->status = std::atoi(start.c_str() + 9);
  return true;
}

bool Connection::ReadResponseBody(Message* message, double deadline) {
  if (!message->Header("Transfer-Encoding").empty()) return ReadChunks(&message->body, deadline);
  const std::string length = message->Header("Content-Length");
  if (!length.empty()) return ReadExactly(std::stoul(length), &message->body, deadline);
  while (Fill(deadline)) {
  }
  message->body = std::move(buffer_);
  buffer_.clear();
  return ended_;
}

void Connection::Close() { ::shutdown(socket_, SHUT_RDWR); }

bool Connection::PeerHasClosed() const {
  char byte;
  const ssize_t count = ::recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Listener::Listener(const std::string& ip, std::function<void(Connection*)> serve)
    : serve_(std::move(serve)), address_(ip + ":0") {
  Open();
}

void Listener::Open() {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in own = ParseAddress(address_);
  if (::bind(socket, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0 ||
      ::listen(socket, 512) != 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  socklen_t size = sizeof own;
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&own), &size);
  address_ = address_.substr(0, address_.find(':') + 1) + std::to_string(ntohs(own.sin_port));
  {
    const std::lock_guard lock(mutex_);
    socket_ = socket;
  }
  std::thread([this, socket] { Accept(socket); }).detach();
}

void Listener::Accept(int socket) {
  for (;;) {
    const int accepted = ::accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
    const std::lock_guard lock(mutex_);
    if (socket_ != socket) {
      if (accepted >= 0) ::close(accepted);
      ::close(socket);
      return;
    }
    if (accepted < 0) continue;
    const int on = 1;
    ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    connections_.insert(accepted);
    std::thread([this, accepted] { Handle(accepted); }).detach();
  }
}

void Listener::Handle(int socket) {
  {
    Connection connection(socket, false);
    serve_(&connection);
  }
  const std::lock_guard lock(mutex_);
  connections_.erase(socket);
  ::close(socket);
}

void Listener::Break() {
  const std::lock_guard lock(mutex_);
  // Ends the wait in Accept, which closes the socket.
  ::shutdown(socket_, SHUT_RDWR);
  socket_ = -1;
  for (const int connection : connections_) ::shutdown(connection, SHUT_RDWR);
}

std::string Response(int status, const std::vector<std::pair<std::string, std::string>>& headers,
                     const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " + Reason(status) + "\r\n";
  for (const auto& [name, value] : headers) text.append(name).append(": ").append(value + "\r\n");
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::uint16_t FreePort() {
  static std::mt19937 random(std::random_device{}());
  for (;;) {
    // Below the range from which the system takes the ports of outgoing connections.
    const auto port =
        static_cast<std::uint16_t>(std::uniform_int_distribution<int>(11000, 29000)(random));
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in any = ParseAddress("0.0.0.0:" + std::to_string(port));
    const bool free = ::bind(socket, reinterpret_cast<const sockaddr*>(&any), sizeof any) == 0;
    ::close(socket);
    if (free) return port;
  }
}

Store::Store()
    : listener_(std::make_unique<Listener>("127.0.0.1",
                                           [this](Connection* connection) { Serve(connection); })) {
  std::thread([this] { ExpireLeases(); }).detach();
}

void Store::PutLocked(const std::string& key, const std::string& value, std::uint64_t lease) {
  Item& item = items_[key];
  item.value = value;
  item.revision = ++revision_;
  if (item.created == 0) item.created = revision_;
  item.lease = lease;
  history_.push_back({key, revision_, false, item});
  changed_.notify_all();
}

void Store::RemoveLocked(const std::string& key) {
  if (items_.erase(key) == 0) return;
  history_.push_back({key, ++revision_, true, {}});
  changed_.notify_all();
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  PutLocked(key, value, 0);
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  RemoveLocked(key);
}

std::string Store::Get(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto it = items_.find(key);
  return it == items_.end() ? "" : it->second.value;
}

void Store::EndLeaseLocked(std::uint64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) keys.push_back(key);
  }
  for (const std::string& key : keys) RemoveLocked(key);
}

void Store::ExpireLeases() {
  for (;;) {
    SleepFor(0.01);
    const std::lock_guard lock(mutex_);
    std::vector<std::uint64_t> expired;
    for (const auto& [lease, state] : leases_) {
      if (Now() >= state.expires) expired.push_back(lease);
    }
    for (const std::uint64_t lease : expired) EndLeaseLocked(lease);
  }
}

void Store::Serve(Connection* connection) {
  Message request;
  while (connection->ReadRequest(&request, Now() + 3600)) {
    SleepFor(kStoreAnswerTime);
    if (!connection->Send(Answer(request))) return;
  }
}

std::string Store::Answer(const Message& request) {
  const std::vector<std::pair<std::string, std::string>> type{{"Content-Type", "application/json"}};
  const std::string path = request.target.substr(0, request.target.find('?'));
  const std::string prefix = "/mimosabend/";
  const std::string call = path.rfind(prefix, 0) == 0 ? path.substr(prefix.size()) : "";
  if (call == "kv-range") return Response(200, type, Range(request.target));
  if (call == "kv-watch") return Response(200, type, Watch(request.target));
  if (call == "kv-txn") return Transaction(request.body);
  if (call == "kv-lease") return Response(200, type, Grant(request.body));
  const std::lock_guard lock(mutex_);
  if (call == "kv-key") {
    const std::string key = Parameter(request.target, "key");
    const auto it = items_.find(key);
    json::object body{{"key", key}, {"store-revision", revision_}};
    if (it == items_.end()) return Response(404, type, json::serialize(body));
    body["value"] = EncodeBase64(it->second.value);
    body["revision"] = it->second.revision;
    body["create-revision"] = it->second.created;
    body["lease"] = it->second.lease;
    return Response(200, type, json::serialize(body));
  }
  if (call.rfind("kv-keep/", 0) == 0) {
    const auto it = leases_.find(std::strtoull(call.c_str() + 8, nullptr, 10));
    if (it == leases_.end()) return Response(404, type, "{}");
    it->second.expires = Now() + it->second.ttl;
    return Response(200, type, "{}");
  }
  if (call.rfind("kv-lease-end/", 0) == 0) {
    EndLeaseLocked(std::strtoull(call.c_str() + 13, nullptr, 10));
    return Response(200, type, "{}");
  }
  return Response(404, type, "{}");
}

std::string Store::Range(const std::string& target) {
  const std::string prefix = Parameter(target, "prefix");
  const std::lock_guard lock(mutex_);
  json::array items;
  for (const auto& [key, item] : items_) {
    if (key.rfind(prefix, 0) != 0) continue;
    items.push_back(json::object{{"key", key},
                                 {"value", EncodeBase64(item.value)},
                                 {"revision", item.revision},
                                 {"create-revision", item.created},
                                 {"lease", item.lease}});
  }
  return json::serialize(
      json::object{{"items", items}, {"truncated", false}, {"store-revision", revision_}});
}

std::string Store::Watch(const std::string& target) {
  const std::string prefix = Parameter(target, "prefix");
  const std::uint64_t after = std::strtoull(Parameter(target, "after").c_str(), nullptr, 10);
  const double wait = std::atof(Parameter(target, "wait-ms").c_str()) / 1000;
  const auto end = SteadyClock::now() + std::chrono::duration_cast<SteadyClock::duration>(
                                            std::chrono::duration<double>(wait));
  std::unique_lock lock(mutex_);
  json::array events;
  for (;;) {
    for (const Change& change : history_) {
      if (change.revision <= after || change.key.rfind(prefix, 0) != 0) continue;
      json::object event{{"key", change.key}, {"revision", change.revision}};
      if (change.removed) {
        event["tombstone"] = true;
      } else {
        event["value"] = EncodeBase64(change.item.value);
        event["create-revision"] = change.item.created;
        event["lease"] = change.item.lease;
      }
      events.push_back(std::move(event));
    }
    if (!events.empty() || SteadyClock::now() >= end) break;
    changed_.wait_until(lock, end);
  }
  return json::serialize(json::object{{"events", events}, {"store-revision", revision_}});
}

std::string Store::Transaction(const std::string& body) {
  const std::vector<std::pair<std::string, std::string>> type{{"Content-Type", "application/json"}};
  const json::value parsed = json::parse(body);
  const std::lock_guard lock(mutex_);
  for (const json::value& row : parsed.at("expected").as_array()) {
    const auto it = items_.find(std::string(row.at("key").as_string()));
    const std::uint64_t revision = it == items_.end() ? 0 : it->second.revision;
    if (row.at("revision").to_number<std::uint64_t>() != revision) {
      return Response(412, type, R"({"items":[]})");
    }
  }
  for (const json::value& put : parsed.at("puts").as_array()) {
    const json::value* lease = put.as_object().if_contains("lease");
    if (lease != nullptr && !leases_.contains(lease->to_number<std::uint64_t>())) {
      return Response(404, type, "{}");
    }
  }
  for (const json::value& put : parsed.at("puts").as_array()) {
    const json::value* lease = put.as_object().if_contains("lease");
    PutLocked(std::string(put.at("key").as_string()),
              DecodeBase64(std::string(put.at("value").as_string())),
              lease == nullptr ? 0 : lease->to_number<std::uint64_t>());
  }
  for (const json::value& key : parsed.at("remove").as_array()) {
    RemoveLocked(std::string(key.as_string()));
  }
  return Response(200, type, json::serialize(json::object{{"revision", revision_}}));
}

std::string Store::Grant(const std::string& body) {
  const json::value parsed = json::parse(body);
  const double ttl = std::max(1000.0, parsed.at("ttl-ms").to_number<double>()) / 1000;
  const std::lock_guard lock(mutex_);
  leases_[++last_lease_] = {ttl, Now() + ttl};
  return json::serialize(
      json::object{{"lease", last_lease_}, {"ttl-ms", std::llround(ttl * 1000)}});
}

Replica::Replica(Store* store, Options options, Handler run)
    : store_(store),
      options_(std::move(options)),
      run_(std::move(run)),
      born_(UnixMillis()),
      listener_(std::make_unique<Listener>("127.0.0.1",
                                           [this](Connection* connection) { Serve(connection); })) {
  std::thread([this] { Register(); }).detach();
}

std::string Replica::DescriptionLocked(bool entry) const {
  json::array models;
  for (const std::string& model : options_.models) {
    models.push_back(json::object{{"name", model}, {"version", 1}, {"adapters", json::array()}});
  }
  json::array on_disk;
  for (const std::string& model : options_.on_disk) on_disk.push_back(json::value(model));
  json::object description{
      {"stage", "unified"},
      {"models", models},
      {"busy", Now() < busy_until_},
      {"seq-no", sequence_},
      {"waiting", 0},
      {"running", 0},
      {"kv-used", 0},
      {"kv-total", 233754},
      {"handles", 0},
      {"born", born_},
      {"at-hand", json::object{{"in-memory", json::array()}, {"on-disk", on_disk}}}};
  if (entry) {
    description["service"] = options_.service;
    description["address"] = address();
    description["zone"] = options_.zone;
    description["version"] = "v1";
    description["slots"] = 64;
    description["state"] = "ready";
    description["cold-left-ms"] = 0;
  }
  return json::serialize(description);
}

void Replica::FinishOrders() {
  if (loading_.empty() || Now() < busy_until_) return;
  options_.models.push_back(loading_);
  loading_.clear();
}

// Writes its entry when it has changed, as at a heartbeat.
void Replica::Register() {
  std::string written;
  for (;;) {
    {
      const std::lock_guard lock(mutex_);
      FinishOrders();
      const std::string description = DescriptionLocked(true);
      if (!down_ && description != written) store_->Put("servers/" + options_.id, description);
      written = description;
    }
    SleepFor(kHeartbeat);
  }
}

void Replica::Crash(double down_s) {
  {
    const std::lock_guard lock(mutex_);
    if (down_) return;
    down_ = true;
    Log("replica " + options_.id + " crashes");
  }
  listener_->Break();
  std::thread([this, down_s] { Restart(down_s); }).detach();
}

void Replica::Restart(double down_s) {
  SleepFor(down_s);
  // Three heartbeats of silence.
  std::thread([this, key = "servers/" + options_.id, wait = 3 * kHeartbeat - down_s] {
    SleepFor(wait);
    store_->Remove(key);
  }).detach();
  {
    const std::lock_guard lock(mutex_);
    ++starts_;
    options_.id = options_.id.substr(0, options_.id.find('.')) + "." + std::to_string(starts_);
    for (const std::string& model : options_.models) {
      const auto& disk = options_.on_disk;
      if (std::find(disk.begin(), disk.end(), model) == disk.end()) {
        options_.on_disk.push_back(model);
      }
    }
    options_.models.clear();
    loading_.clear();
    sequence_ = 0;
    fence_ = 0;
    busy_until_ = 0;
    born_ = UnixMillis();
    down_ = false;
    store_->Put("servers/" + options_.id, DescriptionLocked(true));
  }
  listener_->Open();
}

std::string Replica::Report() {
  const std::lock_guard lock(mutex_);
  FinishOrders();
  return DescriptionLocked(false);
}

std::string Replica::Order(const Message& request) {
  const json::value order = json::parse(request.body);
  const std::string kind(order.at("op-type").as_string());
  const std::string model(order.at("model").as_string());
  const auto fence = order.at("fence-token").to_number<std::uint64_t>();
  const std::lock_guard lock(mutex_);
  FinishOrders();
  const json::value* expected = order.as_object().if_contains("expected");
  const auto held = std::find(options_.models.begin(), options_.models.end(), model);
  int status = 202;
  if (fence < fence_) {
    status = 412;
  } else if (Now() < busy_until_ ||
             (expected != nullptr && expected->to_number<std::uint64_t>() != sequence_)) {
    status = 409;
  } else if ((kind == "load") == (held != options_.models.end())) {
    status = 200;
  } else if (kind == "load") {
    ++sequence_;
    loading_ = model;
    busy_until_ = Now() + options_.load_s;
  } else {
    ++sequence_;
    options_.models.erase(held);
  }
  fence_ = std::max(fence_, fence);
  Log("replica " + options_.id + " gets the order " + kind + " " + model + " from " +
      std::string(order.at("holder").as_string()) + ", fence " + std::to_string(fence) +
      ", answers " + std::to_string(status));
  return Response(status, {}, "{}");
}

void Replica::Serve(Connection* connection) {
  Message request;
  while (connection->ReadRequest(&request, Now() + 3600)) {
    const std::string id = request.Header("Request-Id");
    const std::string expected = request.Header("Expect-Instance");
    bool other = false;
    {
      const std::lock_guard lock(mutex_);
      other = !expected.empty() && expected != options_.id;
    }
    if (other) {
      if (!connection->Send(Response(421, {{"Request-Id", id}}, ""))) return;
      continue;
    }
    if (request.target == "/mimosabend/report") {
      if (!connection->Send(Response(200, {{"Content-Type", "application/json"}}, Report()))) {
        return;
      }
      continue;
    }
    if (request.target == "/mimosabend/order") {
      if (!connection->Send(Order(request))) return;
      continue;
    }
    const std::string model = request.Header("Model");
    if (!model.empty()) {
      bool held = false;
      {
        const std::lock_guard lock(mutex_);
        FinishOrders();
        held = std::find(options_.models.begin(), options_.models.end(), model) !=
               options_.models.end();
      }
      if (!held) {
        if (!connection->Send(Response(421, {{"Request-Id", id}}, ""))) return;
        continue;
      }
    }
    run_(connection, request);
  }
}

Fleet::Fleet(std::string root, const std::string& store, int count)
    : root_(std::move(root)),
      store_(store),
      front_port_(FreePort()),
      ready_port_(FreePort()),
      peer_port_(FreePort()),
      metrics_port_(FreePort()),
      processes_(static_cast<std::size_t>(count), 0) {
  std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) std::_Exit(2);
  folder_ = pattern;
  for (int i = 0; i < count; ++i) Start(i);
}

void Fleet::KillAll() {
  for (pid_t& process : processes_) {
    if (process <= 0) continue;
    ::kill(process, SIGKILL);
    ::waitpid(process, nullptr, 0);
    process = 0;
  }
  std::error_code ignored;
  if (std::getenv("KEEP_LOGS") == nullptr) std::filesystem::remove_all(folder_, ignored);
}

std::string Fleet::Host(int index) const { return "127.0.0." + std::to_string(kFirstHost + index); }

std::string Fleet::front(int index) const {
  return Host(index) + ":" + std::to_string(front_port_);
}

// Writes what the platform makes of deploy/gateway.ini.tmpl for the deployment sertao-forno.
void Fleet::Start(int index) {
  static constexpr const char* kZones[] = {"nordeste-a", "sudeste-a", "sul-a"};
  static constexpr const char* kRegions[] = {"nordeste", "sudeste", "sul"};
  const std::string name =
      "edge-" + std::string(kZones[index % 3]) + "-" + std::to_string(index / 3 + 1);
  const std::string config = folder_ + "/" + name + ".ini";
  const std::string host = Host(index) + ":";
  std::string seeds;
  for (int i = 0; i < std::min<int>(3, static_cast<int>(processes_.size())); ++i) {
    seeds += (i == 0 ? "" : ",") + Host(i) + ":" + std::to_string(front_port_);
  }
  std::ofstream file(config);
  file << "[gateway]\nname = " << name << "\nregion = " << kRegions[index % 3]
       << "\nfailure_domain = " << kZones[index % 3] << "\nseeds = " << seeds
       << "\ndomains = nordeste-a:nordeste,sudeste-a:sudeste,sul-a:sul\n"
       << "\n[listen]\ncaller = " << host << front_port_ << "\nreadiness = " << host << ready_port_
       << "\npeer = " << host << peer_port_ << "\nmetrics = " << host << metrics_port_
       << "\n\n[platform]\nstore = " << store_ << "\n\n[host]\ncores = 0.25\nlink_mbps = 1000.0\n"
       << "\n[bounds]\nendpoint_drain_ms = 2500\nconfig_apply_ms = 2500\nshutdown_grace_s = 8\n"
       << "retry_ratio = 0.2\nretry_extra = 52\nretry_window_s = 10\nholder_gap_ms = 3000\n"
       << "fencing_required = true\nceiling_window_s = 5\nceiling_over = 1.1\n"
       << "\n[log]\nlevel = info\nformat = logfmt\n";
  file.close();
  const std::string program = root_ + "/target/mimosabend";
  const std::string flag = "--config=" + config;
  const std::string log = folder_ + "/" + name + ".log";
  const pid_t process = ::fork();
  if (process == 0) {
    // It must not outlive the driver, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    // One that aborts leaves no core file behind.
    const rlimit no_core{0, 0};
    ::setrlimit(RLIMIT_CORE, &no_core);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, 1);
    ::dup2(output, 2);
    if (::chdir(root_.c_str()) != 0) ::_exit(127);
    ::execl(program.c_str(), program.c_str(), "gateway", flag.c_str(), nullptr);
    ::_exit(127);
  }
  processes_[static_cast<std::size_t>(index)] = process;
}

void Fleet::Signal(int index, int signal_number) {
  const pid_t process = processes_[static_cast<std::size_t>(index)];
  if (process > 0) ::kill(process, signal_number);
}

bool Fleet::IsRunning(int index) {
  pid_t& process = processes_[static_cast<std::size_t>(index)];
  if (process <= 0) return false;
  int status = 0;
  if (::waitpid(process, &status, WNOHANG) != process) return true;
  process = 0;
  return false;
}

bool Fleet::IsReady(int index) const {
  const double deadline = Now() + 0.5;
  auto connection = Connection::Open(Host(index) + ":" + std::to_string(ready_port_), deadline);
  if (connection == nullptr) return false;
  Message answer;
  return connection->Send("GET /mimosabend/ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
         connection->ReadResponseHead(&answer, deadline) && answer.status == 200;
}

bool Fleet::WaitUntilReady(double seconds) {
  const double deadline = Now() + seconds;
  for (int i = 0; i < static_cast<int>(processes_.size()); ++i) {
    while (!IsReady(i)) {
      if (Now() > deadline || !IsRunning(i)) return false;
      SleepFor(0.05);
    }
  }
  return true;
}

int Fleet::Leader(Store* store) const {
  const std::string record = store->Get("mimosabend/leader");
  for (int i = 0; i < static_cast<int>(processes_.size()); ++i) {
    if (record.rfind(Host(i) + ":", 0) == 0) return i;
  }
  return -1;
}

std::string NewId() {
  static std::atomic<std::uint64_t> count{0};
  static const std::uint64_t kSeed = std::random_device{}();
  char text[32];
  std::snprintf(text, sizeof text, "%08llx%08llx", static_cast<unsigned long long>(kSeed),
                static_cast<unsigned long long>(++count));
  return text;
}

std::string Request(const std::string& id, const std::string& method, const std::string& target,
                    const std::vector<std::pair<std::string, std::string>>& headers,
                    const std::string& body) {
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id;
  for (const auto& [name, value] : headers) text.append("\r\n").append(name + ": " + value);
  return text + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Route(const std::string& prefix, const std::string& type, const std::string& service,
                  int attempts, int timeout_ms, int target_ms, int gap_ms, bool resumable) {
  json::object route{{"name", prefix},
                     {"host", "a.example"},
                     {"prefix", prefix},
                     {"route-type", type},
                     {"service", service},
                     {"max-attempts", attempts},
                     {"timeout-ms", timeout_ms},
                     {"target-latency-ms", target_ms},
                     {"priority", 0}};
  if (type == "streaming") {
    route["gap-aim-ms"] = gap_ms;
    route["resumable"] = resumable;
    route["sticky"] = true;
  }
  return json::serialize(route);
}

std::string Configuration(const std::vector<std::string>& routes,
                          const std::vector<std::string>& models, int version) {
  json::array route_list;
  for (const std::string& route : routes) route_list.push_back(json::parse(route));
  json::array model_list;
  for (const std::string& model : models) {
    model_list.push_back(json::object{{"name", model},
                                      {"weights-mb", 65100},
                                      {"load-time-s", 6.0},
                                      {"warm-s", 0.38},
                                      {"disk-s", 0.76},
                                      {"adapters", 0},
                                      {"adapter-mb", 12}});
  }
  const json::object engine{{"slots", 64},         {"kv-capacity", 233754}, {"weights-mb", 220000},
                            {"adapter-slots", 8},  {"loads-per-s", 2.1},    {"pin-ms", 4000},
                            {"models", model_list}};
  const json::object configuration{
      {"version", version},
      {"routes", route_list},
      {"services",
       json::array{json::object{{"name", "models"},
                                {"health-path", "/health"},
                                {"max-conns", 360},
                                {"engine", engine}},
                   json::object{{"name", "plain"}, {"health-path", "/health"}, {"max-conns", 96}}}},
      {"limits", json::object{{"max-header-bytes", 16384},
                              {"max-body-bytes", 1048576},
                              {"header-timeout-ms", 5000},
                              {"idle-timeout-ms", 20000}}}};
  return json::serialize(configuration);
}

void Finish(Fleet* fleet, bool broken, const std::string& summary) {
  fleet->KillAll();
  Log((broken ? "BROKEN: " : "HELD: ") + summary);
  // The threads of the stand-ins still run, so nothing is destroyed.
  std::_Exit(broken ? 1 : 0);
}

void GiveUp(Fleet* fleet, const std::string& reason) {
  fleet->KillAll();
  Log("COULD NOT RUN: " + reason);
  std::_Exit(2);
}

}  // namespace mimosabend::review
