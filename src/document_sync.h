#ifndef MIMOSABEND_DOCUMENT_SYNC_H_
#define MIMOSABEND_DOCUMENT_SYNC_H_

#include <algorithm>
#include <cassert>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "document_store.h"
#include "environment.h"
#include "log.h"
#include "metrics.h"
#include "notifier.h"
#include "peer_transport.h"
#include "supervisor.h"

namespace mimosabend {

// Keeps a daemon's environment document up to date: learns of newer versions from the key-value
// service and from peers, validates and adopts them. The version never decreases. Not thread-safe.
template <KvStore Kv>
class DocumentSync {
 public:
  // `is_watcher` tells whether this daemon is among those that watch the head in the service.
  // Precondition: all pointers and what `is_watcher` refers to outlive this object.
  DocumentSync(boost::asio::any_io_executor executor, std::string environment, Kv* kv,
               PeerClient* peers, Metrics* metrics, std::function<bool()> is_watcher)
      : name_(std::move(environment)),
        kv_(kv),
        store_(kv, name_),
        peers_(peers),
        metrics_(metrics),
        is_watcher_(std::move(is_watcher)),
        environment_(std::make_shared<Environment>()),
        newer_at_peer_(executor),
        start_time_(MonotonicNow()) {}

  std::uint64_t version() const { return head_.version; }
  const DocumentHead& head() const { return head_; }
  // The document in force; an empty one until the first is adopted.
  std::shared_ptr<const Environment> environment() const { return environment_; }

  // True once the document in force is at least as new as the versions that peers reported within
  // kPeerWait of the start. A daemon that hears from no peer waits for kPeerWait.
  bool caught_up(MonotonicTime now) const {
    const bool peers_known = heard_from_peer_ || now - start_time_ >= kPeerWait;
    return peers_known && head_.version > 0 && head_.version >= version_at_start_;
  }

  // Records the version that is in force at a peer.
  void OnPeerVersion(const Address& peer, std::uint64_t version, MonotonicTime now) {
    heard_from_peer_ = true;
    if (now - start_time_ < kPeerWait) version_at_start_ = std::max(version_at_start_, version);
    if (version <= head_.version || version < peer_version_) return;
    peer_version_ = version;
    peer_ = peer;
    newer_at_peer_.NotifyAll();
  }

  // Adopts new versions from the service: watches the head if this daemon is a watcher, and reads
  // it every kReadPeriod otherwise.
  Task<void> WatchService() {
    std::uint64_t known = 0;
    MonotonicTime next_read = MonotonicNow();
    for (;;) {
      const bool watches = is_watcher_();
      metrics_->document_watchers->Set(watches ? 1 : 0);
      if (!watches && head_.version > 0 && MonotonicNow() < next_read) {
        co_await Sleep(kRetryDelay);
        continue;
      }
      next_read = MonotonicNow() + kReadPeriod;
      // A watch for version 0 is a plain read: the service responds at once.
      auto entry = co_await kv_->Watch(store_.head_key(), watches ? known : 0, kWatchTimeout);
      if (!entry) {
        co_await Sleep(kRetryDelay);
        continue;
      }
      if (entry.value().version == known) {
        // No document yet: the service responds at once if the key doesn't exist.
        if (known == 0 || !watches) co_await Sleep(kRetryDelay);
        continue;
      }
      std::optional<DocumentHead> head = Decode<DocumentHead>(entry.value().value);
      bool adopted = false;
      if (head) adopted = co_await AdoptFromService(std::move(*head));
      if (adopted) {
        known = entry.value().version;
      } else {
        co_await Sleep(kRetryDelay);
      }
    }
  }

  // Fetches newer versions from peers, so that daemons that can't reach the service get them, too.
  Task<void> FollowPeers() {
    for (;;) {
      if (peer_version_ > head_.version) {
        co_await FetchFromPeer();
        co_await Sleep(kPeerRetryDelay);
      } else {
        co_await newer_at_peer_.WaitUntil(MonotonicNow() + kWatchTimeout);
      }
    }
  }

  // Returns the head in force and the parts of it that the requesting daemon lacks.
  DocumentAnswer HandleRequest(const DocumentRequest& request) const {
    DocumentAnswer answer;
    if (head_.version == 0) return answer;
    answer.head = Encode(head_);
    for (const std::string& digest : head_.parts) {
      const auto& known = request.known_parts;
      const bool lacks = std::find(known.begin(), known.end(), digest) == known.end();
      if (lacks) answer.parts.push_back(parts_.at(digest));
    }
    return answer;
  }

 private:
  // A version must be in force everywhere within 9 s. A watch on a dead connection fails after this
  // wait plus the client's margin of 2 s; with one retry, 2 s of the 9 s remain.
  static constexpr milliseconds kWatchTimeout{4000};
  static constexpr milliseconds kPeerWait{2000};
  // Daemons that aren't watchers learn of versions from peers. They read the head at this period in
  // case no watcher reaches the service; with 340 daemons that is 6 reads per second.
  static constexpr seconds kReadPeriod{60};
  static constexpr milliseconds kRetryDelay{500};
  static constexpr milliseconds kPeerRetryDelay{200};
  static constexpr milliseconds kFetchTimeout{2000};

  // False if the head must be tried again, because its document couldn't be read or is not valid.
  Task<bool> AdoptFromService(DocumentHead head) {
    if (head.version <= head_.version) {
      if (head.version < head_.version) metrics_->stale_documents_total->Increment();
      co_return true;
    }
    std::map<std::string, std::string> parts;
    for (const std::string& digest : head.parts) {
      const auto known = parts_.find(digest);
      if (known != parts_.end()) {
        parts[digest] = known->second;
        continue;
      }
      auto part = co_await store_.ReadPart(digest);
      if (!part) co_return false;
      parts[digest] = std::move(part).value();
    }
    const bool adopted = Adopt(head, std::move(parts));
    if (adopted) {
      auto recorded = co_await store_.RecordInHistory(std::move(head));
      static_cast<void>(recorded);  // The operator's process records it, too.
    }
    co_return adopted;
  }

  Task<void> FetchFromPeer() {
    DocumentRequest request;
    for (const auto& [digest, text] : parts_) request.known_parts.push_back(digest);
    auto answer = co_await peers_->Call<DocumentAnswer>(peer_, std::move(request), kFetchTimeout);
    if (!answer) {
      peer_version_ = head_.version;
      co_return;
    }
    std::optional<DocumentHead> head = Decode<DocumentHead>(answer.value().head);
    if (!head || head->version <= head_.version) {
      peer_version_ = head_.version;
      co_return;
    }
    std::map<std::string, std::string> parts = parts_;
    for (std::string& part : answer.value().parts) {
      std::string digest = Sha256Hex(part);
      parts[std::move(digest)] = std::move(part);
    }
    if (!Adopt(*head, std::move(parts))) peer_version_ = head_.version;
  }

  // Joins, validates and adopts a document. False if parts are missing, the digest doesn't match,
  // or the document is not valid.
  bool Adopt(const DocumentHead& head, std::map<std::string, std::string> parts) {
    if (head.version <= head_.version) return true;
    std::string document;
    std::map<std::string, std::string> kept_parts;
    for (const std::string& digest : head.parts) {
      const auto part = parts.find(digest);
      if (part == parts.end()) return false;
      document += part->second;
      kept_parts[digest] = part->second;
    }
    if (Sha256Hex(document) != head.digest) return false;
    auto parsed = ParseEnvironment(name_, document);
    if (!parsed) {
      LOG4CPLUS_ERROR(Log(), "document version " << head.version << " is not valid: "
                                                 << parsed.error().front().Format());
      return false;
    }
    assert(head.version > head_.version);
    head_ = head;
    parts_ = std::move(kept_parts);
    environment_ = std::make_shared<Environment>(std::move(parsed).value());
    metrics_->environment_version->Set(static_cast<double>(head_.version));
    LOG4CPLUS_INFO(
        Log(), "document version " << head_.version << " by " << head_.author << " is in force");
    return true;
  }

  std::string name_;
  Kv* kv_;
  DocumentStore<Kv> store_;
  PeerClient* peers_;
  Metrics* metrics_;
  std::function<bool()> is_watcher_;
  DocumentHead head_;
  std::map<std::string, std::string> parts_;
  std::shared_ptr<const Environment> environment_;
  Notifier newer_at_peer_;
  MonotonicTime start_time_;
  bool heard_from_peer_ = false;
  // Highest version that peers reported within kPeerWait of the start.
  std::uint64_t version_at_start_ = 0;
  // Newest version known at a peer, and that peer.
  std::uint64_t peer_version_ = 0;
  Address peer_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_DOCUMENT_SYNC_H_
