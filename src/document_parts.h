#ifndef MIMOSABEND_DOCUMENT_PARTS_H_
#define MIMOSABEND_DOCUMENT_PARTS_H_

#include <string>
#include <string_view>
#include <vector>

namespace mimosabend {

// Cuts a document at section lines that are chosen by a hash of the line, so that a change of one
// section changes one part. Joining the parts gives the document back. Thread-safe.
std::vector<std::string> SplitDocument(std::string_view document);

// The same for a JSON text: cuts it behind items of arrays. Thread-safe.
std::vector<std::string> SplitJsonDocument(std::string_view document);

}  // namespace mimosabend

#endif  // MIMOSABEND_DOCUMENT_PARTS_H_
