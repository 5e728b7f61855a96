#ifndef MIMOSABEND_JSON_H_
#define MIMOSABEND_JSON_H_

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mimosabend {

// Parses untrusted JSON; returns std::nullopt if it is malformed or nested too deeply. Thread-safe.
inline std::optional<boost::json::value> ParseJson(std::string_view text) {
  boost::json::error_code error;
  boost::json::value value =
      boost::json::parse(boost::json::string_view(text.data(), text.size()), error);
  if (error) return std::nullopt;
  return value;
}

// Replaces escapes of surrogates that form no pair by bytes: U+DC80 to U+DCFF, by which some
// encoders write the bytes 80 to ff, by that byte, others by the three bytes of their code point.
// Thread-safe.
std::string ReplaceLoneSurrogates(std::string_view text);

// Like ParseJson, but accepts strings that are not valid UTF-8, also escaped ones, such as the keys
// of other writers. Thread-safe.
inline std::optional<boost::json::value> ParseJsonOfAnyBytes(std::string_view text) {
  boost::json::parse_options options;
  options.allow_invalid_utf8 = true;
  boost::json::error_code error;
  boost::json::value value =
      boost::json::parse(boost::json::string_view(text.data(), text.size()), error, {}, options);
  if (!error) return value;
  const std::string replaced = ReplaceLoneSurrogates(text);
  value = boost::json::parse(replaced, error, {}, options);
  if (error) return std::nullopt;
  return value;
}

// Returns a member of an object, or nullptr if `value` is not an object or has no such member.
// Thread-safe.
inline const boost::json::value* JsonMember(const boost::json::value& value,
                                            std::string_view name) {
  const boost::json::object* object = value.if_object();
  if (object == nullptr) return nullptr;
  return object->if_contains(boost::json::string_view(name.data(), name.size()));
}

// Returns a string member; empty if it is absent or not a string. Thread-safe.
inline std::string StringMember(const boost::json::value& value, std::string_view name) {
  const boost::json::value* member = JsonMember(value, name);
  const boost::json::string* text = member == nullptr ? nullptr : member->if_string();
  return text == nullptr ? std::string() : std::string(text->data(), text->size());
}

// Returns a boolean member; false if it is absent or not a boolean. Thread-safe.
inline bool BoolMember(const boost::json::value& value, std::string_view name) {
  const boost::json::value* member = JsonMember(value, name);
  return member != nullptr && member->is_bool() && member->get_bool();
}

// Returns an integer member; std::nullopt if it is absent, not an integer or out of the range of
// int64_t. Thread-safe.
inline std::optional<std::int64_t> IntegerMember(const boost::json::value& value,
                                                 std::string_view name) {
  const boost::json::value* member = JsonMember(value, name);
  if (member == nullptr) return std::nullopt;
  if (const std::int64_t* number = member->if_int64()) return *number;
  return std::nullopt;
}

}  // namespace mimosabend

#endif  // MIMOSABEND_JSON_H_
