#ifndef MIMOSABEND_DOCUMENT_KEEPER_H_
#define MIMOSABEND_DOCUMENT_KEEPER_H_

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

// Keeps the environment document in force in a daemon: learns newer versions from the service
// and from peers, checks them, and adopts them. The version never goes down. Not thread-safe.
template <KvStore Kv>
class DocumentKeeper {
 public:
  // `watches` tells whether this daemon is one of those that watch the head in the service.
  // Precondition: all pointers and what `watches` refers to outlive this object.
  DocumentKeeper(boost::asio::any_io_executor executor, std::string environment, Kv* kv,
                 PeerClient* peers, Metrics* metrics, std::function<bool()> watches)
      : name_(std::move(environment)),
        kv_(kv),
        store_(kv, name_),
        peers_(peers),
        metrics_(metrics),
        watches_(std::move(watches)),
        environment_(std::make_shared<Environment>()),
        newer_at_peer_(executor),
        started_(MonotonicNow()) {}

  std::uint64_t version() const { return head_.version; }
  const DocumentHead& head() const { return head_; }
  // The document in force; an empty one before the first was adopted.
  std::shared_ptr<const Environment> environment() const { return environment_; }

  // True once a document is in force that is no older than what the peers had at the start. A
  // daemon without peers waits for them for kPeerWait.
  bool settled(MonotonicTime now) const {
    const bool asked = heard_from_peer_ || now - started_ >= kPeerWait;
    return asked && head_.version > 0 && head_.version >= start_version_;
  }

  // Notes the version that is in force at a peer.
  void NotePeerVersion(const Address& peer, std::uint64_t version, MonotonicTime now) {
    heard_from_peer_ = true;
    if (now - started_ < kPeerWait) start_version_ = std::max(start_version_, version);
    if (version <= head_.version || version < peer_version_) return;
    peer_version_ = version;
    peer_ = peer;
    newer_at_peer_.NotifyAll();
  }

  // Watches the head in the service, or reads it from time to time if others watch it.
  Task<void> WatchService() {
    std::uint64_t known = 0;
    MonotonicTime next_read = MonotonicNow();
    for (;;) {
      const bool watches = watches_();
      metrics_->document_watchers->Set(watches ? 1 : 0);
      if (!watches && head_.version > 0 && MonotonicNow() < next_read) {
        co_await Sleep(kRetryDelay);
        continue;
      }
      next_read = MonotonicNow() + kReadPeriod;
      // The service answers a watch for version 0 at once.
      auto entry = co_await kv_->Watch(store_.head_key(), watches ? known : 0, kWatchTime);
      if (!entry) {
        co_await Sleep(kRetryDelay);
        continue;
      }
      if (entry.value().version == known) {
        // No document yet: the service answers at once for a key that does not exist.
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

  // Fetches newer versions from peers, for daemons that can't reach the service.
  Task<void> FollowPeers() {
    for (;;) {
      if (peer_version_ > head_.version) {
        co_await FetchFromPeer();
        co_await Sleep(kPeerRetryDelay);
      } else {
        co_await newer_at_peer_.WaitUntil(MonotonicNow() + kWatchTime);
      }
    }
  }

  // Answers a daemon that lacks parts of the document in force.
  DocumentAnswer Answer(const DocumentRequest& request) const {
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
  // With the client's allowance of 2 s for a lost answer and one retry, a watch whose connection
  // went silent still leaves 2 s of the 9 s until a version is in force everywhere.
  static constexpr milliseconds kWatchTime{4000};
  static constexpr milliseconds kPeerWait{2000};
  // A daemon that does not watch learns versions from its peers. It reads the head at this period
  // in case no watcher reaches the service; 340 daemons make 6 reads a second.
  static constexpr seconds kReadPeriod{60};
  static constexpr milliseconds kRetryDelay{500};
  static constexpr milliseconds kPeerRetryDelay{200};
  static constexpr milliseconds kFetchTimeout{2000};

  // True if there is nothing more to do for this head.
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
      static_cast<void>(recorded);  // The operator's process enters it, too.
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

  // Joins, checks and adopts a document. False if it is not the one that the head names.
  bool Adopt(const DocumentHead& head, std::map<std::string, std::string> parts) {
    if (head.version <= head_.version) return true;
    std::string document;
    std::map<std::string, std::string> kept;
    for (const std::string& digest : head.parts) {
      const auto part = parts.find(digest);
      if (part == parts.end()) return false;
      document += part->second;
      kept[digest] = part->second;
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
    parts_ = std::move(kept);
    environment_ = std::make_shared<Environment>(std::move(parsed).value());
    metrics_->environment_version->Set(static_cast<double>(head_.version));
    LOG4CPLUS_INFO(
        Log(), "document version " << head_.version << " of " << head_.author << " is in force");
    return true;
  }

  std::string name_;
  Kv* kv_;
  DocumentStore<Kv> store_;
  PeerClient* peers_;
  Metrics* metrics_;
  std::function<bool()> watches_;
  DocumentHead head_;
  std::map<std::string, std::string> parts_;
  std::shared_ptr<const Environment> environment_;
  Notifier newer_at_peer_;
  MonotonicTime started_;
  bool heard_from_peer_ = false;
  // Highest version that a peer had soon after the start.
  std::uint64_t start_version_ = 0;
  std::uint64_t peer_version_ = 0;
  Address peer_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_DOCUMENT_KEEPER_H_
