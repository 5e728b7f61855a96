#ifndef MIMOSABEND_STORE_ERA_H_
#define MIMOSABEND_STORE_ERA_H_

#include <cassert>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "codec.h"

namespace mimosabend {

// Eras are at most this large, so that a fencing token fits into 44 bits and a version that is
// derived from it (kVersionBits more) into 64.
inline constexpr std::uint32_t kMaxStoreEra = 4095;

// A revision of the store. The era counts how often the store was restored from an older copy of
// its contents: revisions are unique and increasing within an era, and reused in the next one. Era
// 0 is the one before any restore. Ordered by era first.
struct StoreRevision {
  std::uint32_t era = 0;
  std::uint64_t revision = 0;

  auto operator<=>(const StoreRevision&) const = default;

  // False for the default value, which stands for no revision.
  bool exists() const { return revision != 0; }

  // Throws cereal::Exception if the era is too large.
  template <class Archive>
  void serialize(Archive& archive) {
    auto short_era = static_cast<std::uint16_t>(era);
    archive(short_era, revision);
    if (short_era > kMaxStoreEra) throw cereal::Exception("era exceeds its limit");
    era = short_era;
  }
};

// Formats a revision for logs: "REVISION" in era 0, else "ERA:REVISION". Thread-safe.
std::string ToString(const StoreRevision& revision);

// The fencing token of a leader whose key was written at a revision: unique, and increasing across
// restores. Equals the revision in era 0. Precondition: the era is at most kMaxStoreEra.
// Thread-safe.
std::uint64_t FencingToken(const StoreRevision& revision);

// Parses the era that a response of the store states; std::nullopt unless it is an integer from 0
// to kMaxStoreEra. Thread-safe.
std::optional<std::uint32_t> ParseStoreEra(std::string_view text);

// What follows from the era of a response.
enum class EraDecision : std::uint8_t {
  // The era is the known one: use the response.
  kUse,
  // The era has ended: the response comes from an old connection and must not be used.
  kDrop,
  // The store was restored: begin the era, then use the response.
  kBegin
};

// Decides what follows from the era of a response, given the highest known era. Thread-safe.
EraDecision DecideEra(std::uint32_t known, std::uint32_t stated);

// The highest era of the store that this daemon knows, from the store's responses or from other
// daemons. Not thread-safe.
class StoreEra {
 public:
  // Called with the new era when one begins, before the response that states it is used.
  using Listener = std::function<void(std::uint32_t era)>;
  void set_listener(Listener listener) { listener_ = std::move(listener); }

  std::uint32_t current() const { return current_; }

  // Handles the era that a response states, as text; empty if it states none. Returns whether the
  // response may be used. `call` names the call in logs.
  bool HandleResponse(std::string_view header, const std::string& call);

  // Another daemon knows of an era. Precondition: it is at most kMaxStoreEra.
  void Learn(std::uint32_t era, const std::string& daemon);

  // Number of eras that began.
  std::uint64_t begun() const { return begun_; }
  // Number of responses that were dropped because their era had ended.
  std::uint64_t dropped() const { return dropped_; }
  // Number of responses whose era was not valid.
  std::uint64_t invalid() const { return invalid_; }

 private:
  void Begin(std::uint32_t era, const std::string& source);

  Listener listener_ = [](std::uint32_t) {};
  std::uint32_t current_ = 0;
  std::uint64_t begun_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t invalid_ = 0;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_STORE_ERA_H_
