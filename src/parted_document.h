#ifndef MIMOSABEND_PARTED_DOCUMENT_H_
#define MIMOSABEND_PARTED_DOCUMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "document_head.h"
#include "peer_message.h"

namespace mimosabend {

// A document in parts that are named by their digests, so that a daemon that has an older version
// is sent only the parts that it lacks. Not thread-safe.
class PartedDocument {
 public:
  PartedDocument() = default;

  // A document cut into `parts`. Precondition: `version` is above 0.
  PartedDocument(std::uint64_t version, const std::vector<std::string>& parts);

  // 0 for no document.
  std::uint64_t version() const { return head_.version; }
  std::string Text() const;

  // Asks another daemon for its document, naming the parts that are known here.
  DocumentRequest Request() const;
  // Answers such a request.
  DocumentAnswer Answer(const DocumentRequest& request) const;
  // The document of an answer, joined with the parts that are known here; std::nullopt if parts are
  // missing or the text is not the one that its head names.
  std::optional<PartedDocument> Join(const DocumentAnswer& answer) const;

 private:
  DocumentHead head_;
  std::map<std::string, std::string> parts_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_PARTED_DOCUMENT_H_
