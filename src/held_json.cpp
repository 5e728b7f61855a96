#include "held_json.h"

#include <cassert>
#include <cstddef>
#include <new>

namespace mimosabend {

namespace json = boost::json;

std::optional<json::value> HeldJsonMemory::Parse(std::string_view text) {
  // The parser keeps elements of arrays that are not complete in memory of its own.
  json::parser parser{json::storage_ptr(this)};
  parser.reset(json::storage_ptr(this));
  json::error_code error;
  parser.write(text.data(), text.size(), error);
  if (error) return std::nullopt;
  return parser.release();
}

void* HeldJsonMemory::do_allocate(std::size_t bytes, [[maybe_unused]] std::size_t alignment) {
  assert(alignment <= alignof(std::max_align_t));
  const bool held =
      hold_ == nullptr || hold_->TryGrow(bytes, HoldShare::kBriefly) == MemoryResult::kHeld;
  if (!held) throw std::bad_alloc();
  return ::operator new(bytes);
}

void HeldJsonMemory::do_deallocate(void* memory, std::size_t bytes, std::size_t /*alignment*/) {
  ::operator delete(memory);
  if (hold_ != nullptr) hold_->Shrink(bytes);
}

}  // namespace mimosabend
