#ifndef MIMOSABEND_CODEC_H_
#define MIMOSABEND_CODEC_H_

#include <cereal/archives/portable_binary.hpp>
#include <cstdint>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace mimosabend {

// Limits of the length fields in a message. cereal allocates as much as a length field says before
// it reads the elements, so with unchecked lengths a short message could exhaust the memory.
inline constexpr std::uint32_t kMaxEncodedTextBytes = 2 * 1024 * 1024;
inline constexpr std::uint32_t kMaxEncodedItems = 65536;
inline constexpr std::uint32_t kMaxEncodedNameBytes = UINT8_MAX;

namespace codec_internal {

inline void CheckLength(std::uint32_t length, std::uint32_t limit) {
  if (length > limit) throw cereal::Exception("length field exceeds its limit");
}

}  // namespace codec_internal

// Serializes a string with a checked length. Throws cereal::Exception.
template <class Archive>
void SerializeText(Archive& archive, std::string& text) {
  auto length = static_cast<std::uint32_t>(text.size());
  archive(length);
  codec_internal::CheckLength(length, kMaxEncodedTextBytes);
  if constexpr (Archive::is_loading::value) text.resize(length);
  archive(cereal::binary_data(text.data(), length));
}

// Serializes a bool as one byte. Loading rejects bytes other than 0 and 1, which are not valid
// values of a bool. Throws cereal::Exception.
template <class Archive>
void SerializeFlag(Archive& archive, bool& flag) {
  std::uint8_t byte = flag ? 1 : 0;
  archive(byte);
  if (byte > 1) throw cereal::Exception("flag is neither 0 nor 1");
  flag = byte == 1;
}

// Serializes a name of at most 255 bytes with one byte for its length. Throws cereal::Exception.
template <class Archive>
void SerializeName(Archive& archive, std::string& name) {
  codec_internal::CheckLength(static_cast<std::uint32_t>(name.size()), kMaxEncodedNameBytes);
  auto length = static_cast<std::uint8_t>(name.size());
  archive(length);
  if constexpr (Archive::is_loading::value) name.resize(length);
  archive(cereal::binary_data(name.data(), length));
}

// Serializes a list of names. Throws cereal::Exception.
template <class Archive>
void SerializeNames(Archive& archive, std::vector<std::string>& names) {
  auto length = static_cast<std::uint16_t>(names.size());
  archive(length);
  codec_internal::CheckLength(length, kMaxEncodedItems);
  if constexpr (Archive::is_loading::value) names.resize(length);
  for (std::string& name : names) SerializeName(archive, name);
}

// Serializes a list of numbers. Throws cereal::Exception.
template <class Archive>
void SerializeNumbers(Archive& archive, std::vector<std::uint32_t>& numbers) {
  auto length = static_cast<std::uint32_t>(numbers.size());
  archive(length);
  codec_internal::CheckLength(length, kMaxEncodedItems);
  if constexpr (Archive::is_loading::value) numbers.resize(length);
  for (std::uint32_t& number : numbers) archive(number);
}

// Serializes a list of structs with a `serialize` member. Throws cereal::Exception.
template <class Archive, class T>
void SerializeList(Archive& archive, std::vector<T>& items) {
  auto length = static_cast<std::uint32_t>(items.size());
  archive(length);
  codec_internal::CheckLength(length, kMaxEncodedItems);
  if constexpr (Archive::is_loading::value) {
    items.clear();
    for (std::uint32_t i = 0; i < length; ++i) {
      T item;
      item.serialize(archive);
      items.push_back(std::move(item));
    }
  } else {
    for (T& item : items) item.serialize(archive);
  }
}

// Serializes a list of strings. Throws cereal::Exception.
template <class Archive>
void SerializeList(Archive& archive, std::vector<std::string>& items) {
  auto length = static_cast<std::uint32_t>(items.size());
  archive(length);
  codec_internal::CheckLength(length, kMaxEncodedItems);
  if constexpr (Archive::is_loading::value) items.resize(length);
  for (std::string& item : items) SerializeText(archive, item);
}

// Serializes an enumerator as one byte. Precondition: the enumerators are 0 to `count` - 1. Throws
// cereal::Exception for other values.
template <class Archive, class Enum>
void SerializeEnum(Archive& archive, Enum& value, std::uint8_t count) {
  auto number = static_cast<std::uint8_t>(value);
  archive(number);
  if (number >= count) throw cereal::Exception("unknown enumerator");
  value = static_cast<Enum>(number);
}

// Encodes a struct with a `serialize` member. Thread-safe.
template <class T>
std::string Encode(const T& value) {
  std::ostringstream stream(std::ios::binary);
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    const_cast<T&>(value).serialize(archive);
  }
  return std::move(stream).str();
}

// Decodes what Encode wrote; std::nullopt if it is truncated, malformed or has trailing bytes.
// Thread-safe.
template <class T>
std::optional<T> Decode(std::string_view bytes) {
  std::istringstream stream(std::string(bytes), std::ios::binary);
  T value;
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    value.serialize(archive);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  if (stream.peek() != std::istringstream::traits_type::eof()) return std::nullopt;
  return value;
}

}  // namespace mimosabend

#endif  // MIMOSABEND_CODEC_H_
