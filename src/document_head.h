#ifndef MIMOSABEND_DOCUMENT_HEAD_H_
#define MIMOSABEND_DOCUMENT_HEAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "codec.h"
#include "name_table.h"

namespace mimosabend {

enum class StoreError : std::uint8_t {
  kUnavailable,
  kOutcomeUnknown,
  kConflict,
  kNotOnTrial,
  kCorrupt
};
inline constexpr NameTable<StoreError, 5> kStoreErrorNames{
    {"service unavailable", "outcome unknown", "conflict", "not on trial", "corrupt"}};

// The manifest of one document version. The audit trail consists of copies of manifests.
struct DocumentHead {
  std::uint64_t version = 0;
  // SHA-256 of the whole document.
  std::string digest;
  // SHA-256 of each part, in document order.
  std::vector<std::string> parts;
  std::string author;
  std::int64_t time_ms = 0;
  // SHA-256 of the document that this version replaced.
  std::string previous_digest;
  // Differences from the document that this version replaced.
  std::string summary;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version);
    SerializeText(archive, digest);
    SerializeList(archive, parts);
    SerializeText(archive, author);
    archive(time_ms);
    SerializeText(archive, previous_digest);
    SerializeText(archive, summary);
  }
};

// An operator's request to put the document on trial in force.
struct Promotion {
  // SHA-256 of the document on trial.
  std::string digest;
  // The version in force that the operator compared it with.
  std::uint64_t expected_version = 0;
  std::string author;
  std::string summary;
};

// A head with the version of its key in the key-value service, which CompareAndSwap takes.
struct StoredHead {
  DocumentHead head;
  std::uint64_t kv_version = 0;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_DOCUMENT_HEAD_H_
