#include "kv_items.h"

#include <utility>

#include "base64.h"
#include "json.h"

namespace mimosabend {

namespace {

std::optional<KvItem> ParseItem(const boost::json::value& value) {
  const auto version = IntegerMember(value, "ModifyIndex");
  auto data = DecodeBase64(StringMember(value, "Value"));
  if (!version || *version <= 0 || !data) return std::nullopt;
  return KvItem{StringMember(value, "Key"),
                {std::move(*data), static_cast<std::uint64_t>(*version)}};
}

}  // namespace

std::optional<std::vector<KvItem>> ParseKvItems(std::string_view text) {
  const auto value = ParseJsonOfAnyBytes(text);
  const boost::json::array* array = value ? value->if_array() : nullptr;
  if (array == nullptr) return std::nullopt;
  std::vector<KvItem> items;
  for (const boost::json::value& element : *array) {
    std::optional<KvItem> item = ParseItem(element);
    if (item) items.push_back(std::move(*item));
  }
  return items;
}

}  // namespace mimosabend
