#ifndef MIMOSABEND_KV_ITEMS_H_
#define MIMOSABEND_KV_ITEMS_H_

#include <optional>
#include <string_view>
#include <vector>

#include "kv_store.h"

namespace mimosabend {

// Parses the store's response to a read or a listing. Items that can't be read are left out: other
// writers' keys may be any bytes. std::nullopt if `text` is no list. Thread-safe.
std::optional<std::vector<KvItem>> ParseKvItems(std::string_view text);

}  // namespace mimosabend

#endif  // MIMOSABEND_KV_ITEMS_H_
