#ifndef MIMOSABEND_MULTIPART_DOCUMENT_H_
#define MIMOSABEND_MULTIPART_DOCUMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "document_head.h"
#include "peer_message.h"

namespace mimosabend {

// A document split into content-addressed parts, so that a daemon that has an older version is sent
// only the parts that it lacks. Not thread-safe.
class MultipartDocument {
 public:
  MultipartDocument() = default;

  // `parts` are the parts in document order. Precondition: `version` is above 0.
  MultipartDocument(std::uint64_t version, const std::vector<std::string>& parts);

  // 0 if there is no document.
  std::uint64_t version() const { return head_.version; }
  std::string Text() const;

  // A request for another daemon's document, with the digests of the parts that are known here.
  DocumentRequest MakeRequest() const;
  // The response to such a request: the head, and the parts that the other daemon lacks.
  DocumentAnswer HandleRequest(const DocumentRequest& request) const;
  // The document of a response, assembled with the parts that are known here; std::nullopt if parts
  // are missing or the text doesn't match the digest of its head.
  std::optional<MultipartDocument> ApplyAnswer(const DocumentAnswer& answer) const;

 private:
  DocumentHead head_;
  std::map<std::string, std::string> parts_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_MULTIPART_DOCUMENT_H_
