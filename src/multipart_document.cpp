#include "multipart_document.h"

#include <algorithm>
#include <cassert>

#include "digest.h"

namespace mimosabend {

MultipartDocument::MultipartDocument(std::uint64_t version, const std::vector<std::string>& parts) {
  assert(version > 0);
  head_.version = version;
  for (const std::string& part : parts) {
    head_.parts.push_back(Sha256Hex(part));
    parts_[head_.parts.back()] = part;
  }
  head_.digest = Sha256Hex(Text());
}

std::string MultipartDocument::Text() const {
  std::string text;
  for (const std::string& digest : head_.parts) text += parts_.at(digest);
  return text;
}

DocumentRequest MultipartDocument::MakeRequest() const {
  DocumentRequest request;
  for (const auto& [digest, part] : parts_) request.known_parts.push_back(digest);
  return request;
}

DocumentAnswer MultipartDocument::HandleRequest(const DocumentRequest& request) const {
  DocumentAnswer answer;
  if (head_.version == 0) return answer;
  answer.head = Encode(head_);
  const auto& known = request.known_parts;
  for (const auto& [digest, part] : parts_) {
    const bool lacks = std::find(known.begin(), known.end(), digest) == known.end();
    if (lacks) answer.parts.push_back(part);
  }
  return answer;
}

std::optional<MultipartDocument> MultipartDocument::ApplyAnswer(
    const DocumentAnswer& answer) const {
  std::optional<DocumentHead> head = Decode<DocumentHead>(answer.head);
  if (!head || head->version == 0) return std::nullopt;
  std::map<std::string, const std::string*> known;
  for (const auto& [digest, part] : parts_) known[digest] = &part;
  for (const std::string& part : answer.parts) known[Sha256Hex(part)] = &part;
  std::vector<std::string> parts;
  for (const std::string& digest : head->parts) {
    const auto part = known.find(digest);
    if (part == known.end()) return std::nullopt;
    parts.push_back(*part->second);
  }
  MultipartDocument joined(head->version, parts);
  if (joined.head_.digest != head->digest) return std::nullopt;
  return joined;
}

}  // namespace mimosabend
