#ifndef MIMOSABEND_DOCUMENT_STORE_H_
#define MIMOSABEND_DOCUMENT_STORE_H_

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "digest.h"
#include "document_head.h"
#include "document_parts.h"
#include "kv_store.h"

namespace mimosabend {

// The prefix of all keys of an environment in the key-value service. Thread-safe.
inline std::string EnvironmentKeyPrefix(const std::string& environment) {
  return "env/" + environment + "/";
}

// Stores the documents of one environment in the key-value service. The parts of a document are
// content-addressed and written first; a compare-and-swap of the head then publishes the version.
// Not thread-safe.
template <KvStore Kv>
class DocumentStore {
 public:
  // Precondition: `kv` outlives this object.
  DocumentStore(Kv* kv, const std::string& environment)
      : kv_(kv), prefix_(EnvironmentKeyPrefix(environment)) {}

  std::string head_key() const { return prefix_ + "head"; }

  // The head in force; version 0 if there is none.
  Task<Result<StoredHead, StoreError>> ReadHead() { co_return co_await ReadHeadAt(head_key()); }

  // The head on trial; version 0 if there is none.
  Task<Result<StoredHead, StoreError>> ReadTrial() {
    co_return co_await ReadHeadAt(prefix_ + "trial");
  }

  // Stores a document and puts it on trial in place of the one that was on trial before.
  Task<Result<DocumentHead, StoreError>> StartTrial(std::string document, std::string author,
                                                    WallTime now) {
    DocumentHead head;
    head.digest = Sha256Hex(document);
    head.author = std::move(author);
    head.time_ms = ToUnixMillis(now);
    for (const std::string& part : SplitDocument(document)) {
      head.parts.push_back(Sha256Hex(part));
      auto stored = co_await StorePart(head.parts.back(), part);
      if (!stored) co_return outcome::failure(stored.error());
    }
    auto current = co_await ReadTrial();
    if (!current) co_return outcome::failure(current.error());
    head.version = current.value().head.version + 1;
    auto swapped = co_await Swap(prefix_ + "trial", current.value().kv_version, head);
    if (!swapped) co_return outcome::failure(swapped.error());
    co_return head;
  }

  // Puts the document on trial in force. Fails with kNotOnTrial if another digest is on trial, and
  // with kConflict if the version in force is not the expected one.
  Task<Result<DocumentHead, StoreError>> Promote(Promotion promotion, WallTime now) {
    auto trial = co_await ReadTrial();
    if (!trial) co_return outcome::failure(trial.error());
    if (trial.value().head.digest != promotion.digest) {
      co_return outcome::failure(StoreError::kNotOnTrial);
    }
    auto current = co_await ReadHead();
    if (!current) co_return outcome::failure(current.error());
    if (current.value().head.version != promotion.expected_version) {
      co_return outcome::failure(StoreError::kConflict);
    }
    // Record the head before it is replaced: its author, whose response may have been lost, can
    // then still find out that the version was accepted after a later one is in force.
    if (current.value().head.version > 0) {
      auto recorded = co_await RecordInHistory(current.value().head);
      if (!recorded) co_return outcome::failure(recorded.error());
    }
    DocumentHead head = trial.value().head;
    head.version = current.value().head.version + 1;
    head.author = std::move(promotion.author);
    head.summary = std::move(promotion.summary);
    head.time_ms = ToUnixMillis(now);
    head.previous_digest = current.value().head.digest;
    auto swapped = co_await Swap(head_key(), current.value().kv_version, head);
    if (!swapped && swapped.error() == StoreError::kConflict) {
      swapped = co_await FindInHistory(head);
    }
    if (!swapped) co_return outcome::failure(swapped.error());
    auto recorded = co_await RecordInHistory(head);
    static_cast<void>(recorded);  // Daemons that adopt the head record it, too.
    co_return head;
  }

  // Adds a head to the audit trail unless it is there, and deletes the entry that exceeds
  // kHistoryLength. Entries are copies of heads, so that a daemon can record a promotion whose
  // operator process died.
  Task<Result<void, StoreError>> RecordInHistory(DocumentHead head) {
    auto swap = co_await kv_->CompareAndSwap(HistoryKey(head.version), Encode(head), 0);
    for (int i = 1; !swap && swap.error() == KvError::kOutcomeUnknown && i < kMaxAttempts; ++i) {
      swap = co_await kv_->CompareAndSwap(HistoryKey(head.version), Encode(head), 0);
    }
    if (!swap) co_return outcome::failure(StoreError::kUnavailable);
    if (head.version > kHistoryLength) {
      const std::string expired = HistoryKey(head.version - kHistoryLength);
      auto entry = co_await kv_->Read(expired);
      if (entry && entry.value().exists()) {
        auto ignored = co_await kv_->Delete(expired, entry.value().version);
        static_cast<void>(ignored);
      }
    }
    co_return outcome::success();
  }

  // The audit trail, oldest version first.
  Task<Result<std::vector<DocumentHead>, StoreError>> History() {
    auto items = co_await kv_->List(prefix_ + "history/");
    if (!items) co_return outcome::failure(StoreError::kUnavailable);
    std::vector<DocumentHead> heads;
    for (const KvItem& item : items.value()) {
      std::optional<DocumentHead> head = Decode<DocumentHead>(item.entry.value);
      if (!head) co_return outcome::failure(StoreError::kCorrupt);
      heads.push_back(std::move(*head));
    }
    std::sort(heads.begin(), heads.end(),
              [](const auto& a, const auto& b) { return a.version < b.version; });
    co_return heads;
  }

  // The text of a document; kCorrupt if it doesn't match the digest of its head.
  Task<Result<std::string, StoreError>> ReadDocument(DocumentHead head) {
    std::string document;
    for (const std::string& digest : head.parts) {
      auto part = co_await ReadPart(digest);
      if (!part) co_return outcome::failure(part.error());
      document += part.value();
    }
    if (Sha256Hex(document) != head.digest) co_return outcome::failure(StoreError::kCorrupt);
    co_return document;
  }

  // The text of a part; kCorrupt if it is missing or doesn't match its digest.
  Task<Result<std::string, StoreError>> ReadPart(std::string digest) {
    auto entry = co_await ReadKey(prefix_ + "part/" + digest);
    if (!entry) co_return outcome::failure(StoreError::kUnavailable);
    if (!entry.value().exists() || Sha256Hex(entry.value().value) != digest) {
      co_return outcome::failure(StoreError::kCorrupt);
    }
    co_return std::move(entry.value().value);
  }

 private:
  // Attempts of an operation whose outcome is unknown.
  static constexpr int kMaxAttempts = 5;
  // Versions that the audit trail keeps.
  static constexpr std::uint64_t kHistoryLength = 2000;

  std::string HistoryKey(std::uint64_t version) const {
    std::string digits = std::to_string(version);
    digits.insert(0, digits.size() < 12 ? 12 - digits.size() : 0, '0');
    return prefix_ + "history/" + digits;
  }

  Task<Result<StoredHead, StoreError>> ReadHeadAt(std::string key) {
    auto entry = co_await ReadKey(key);
    if (!entry) co_return outcome::failure(StoreError::kUnavailable);
    StoredHead stored;
    stored.kv_version = entry.value().version;
    if (entry.value().exists()) {
      std::optional<DocumentHead> head = Decode<DocumentHead>(entry.value().value);
      if (!head) co_return outcome::failure(StoreError::kCorrupt);
      stored.head = std::move(*head);
    }
    co_return stored;
  }

  Task<Result<void, StoreError>> StorePart(std::string digest, std::string part) {
    const std::string key = prefix_ + "part/" + digest;
    auto entry = co_await ReadKey(key);
    if (!entry) co_return outcome::failure(StoreError::kUnavailable);
    if (entry.value().value == part) co_return outcome::success();
    auto swap = co_await kv_->CompareAndSwap(key, part, entry.value().version);
    if (!swap && swap.error() == KvError::kTooLarge)
      co_return outcome::failure(StoreError::kCorrupt);
    auto check = co_await ReadKey(key);
    if (!check || check.value().value != part) co_return outcome::failure(StoreError::kUnavailable);
    co_return outcome::success();
  }

  // Retries a read whose response was lost; reads are idempotent.
  Task<Result<KvEntry, KvError>> ReadKey(std::string key) {
    auto entry = co_await kv_->Read(key);
    for (int i = 1; !entry && entry.error() == KvError::kOutcomeUnknown && i < kMaxAttempts; ++i) {
      entry = co_await kv_->Read(key);
    }
    co_return entry;
  }

  // Succeeds if `head` was accepted and has been replaced since; kConflict if it never was
  // accepted. Precondition: the stored head is another one of the same or a later version.
  Task<Result<void, StoreError>> FindInHistory(DocumentHead head) {
    auto current = co_await ReadHead();
    if (!current) co_return outcome::failure(StoreError::kOutcomeUnknown);
    if (current.value().head.version <= head.version) {
      co_return outcome::failure(StoreError::kConflict);
    }
    auto entry = co_await ReadKey(HistoryKey(head.version));
    if (!entry) co_return outcome::failure(StoreError::kOutcomeUnknown);
    if (entry.value().value == Encode(head)) co_return outcome::success();
    co_return outcome::failure(StoreError::kConflict);
  }

  // Replaces a head by compare-and-swap. If the outcome is unknown, reads the key back and retries
  // the swap as long as the key is unchanged.
  Task<Result<void, StoreError>> Swap(std::string key, std::uint64_t expected, DocumentHead head) {
    const std::string bytes = Encode(head);
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      auto swap = co_await kv_->CompareAndSwap(key, bytes, expected);
      if (swap && swap.value().swapped) co_return outcome::success();
      if (swap && attempt == 0) co_return outcome::failure(StoreError::kConflict);
      if (!swap && swap.error() != KvError::kOutcomeUnknown) {
        co_return outcome::failure(attempt == 0 ? StoreError::kUnavailable
                                                : StoreError::kOutcomeUnknown);
      }
      // A changed key may be the effect of an earlier attempt.
      auto entry = co_await ReadKey(key);
      if (!entry) co_return outcome::failure(StoreError::kOutcomeUnknown);
      if (entry.value().value == bytes) co_return outcome::success();
      if (entry.value().version != expected) co_return outcome::failure(StoreError::kConflict);
    }
    co_return outcome::failure(StoreError::kOutcomeUnknown);
  }

  Kv* kv_;
  std::string prefix_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_DOCUMENT_STORE_H_
