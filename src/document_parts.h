#ifndef MIMOSABEND_DOCUMENT_PARTS_H_
#define MIMOSABEND_DOCUMENT_PARTS_H_

#include <string>
#include <string_view>
#include <vector>

namespace mimosabend {

// Splits a document at section lines chosen by their hash (content-defined chunking), so that a
// change of one section changes one part. The parts concatenated are the document. Thread-safe.
std::vector<std::string> SplitDocument(std::string_view document);

// Splits a JSON text in the same way, after items of arrays. Thread-safe.
std::vector<std::string> SplitJsonDocument(std::string_view document);

}  // namespace mimosabend

#endif  // MIMOSABEND_DOCUMENT_PARTS_H_
