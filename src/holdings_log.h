#ifndef MIMOSABEND_HOLDINGS_LOG_H_
#define MIMOSABEND_HOLDINGS_LOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "codec.h"

namespace mimosabend {

// A model on an engine, with its loaded adapters.
struct ModelHoldings {
  std::string name;
  std::vector<std::string> adapters;

  bool operator==(const ModelHoldings&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeName(archive, name);
    SerializeNames(archive, adapters);
  }
};

// The holdings of an engine, as the placement leader knows them. Always complete, never a delta.
struct HoldingsUpdate {
  std::uint32_t number = 0;
  // Increases with each change, also across leaders.
  std::uint64_t version = 0;
  std::vector<ModelHoldings> models;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(number, version);
    SerializeList(archive, models);
  }
};

// The latest holdings of all engines, with the versions that the leader gave them, so that any
// daemon can pass on just those that another one lacks. Not thread-safe.
class HoldingsLog {
 public:
  // Replaces an engine's holdings. Returns false and changes nothing if they are not newer.
  bool Apply(const HoldingsUpdate& update);
  // Removes engines for whose number the predicate returns false.
  template <class Predicate>
  void KeepIf(Predicate keep) {
    std::erase_if(holdings_, [&](const auto& item) { return !keep(item.first); });
  }

  // Declares that versions between `after` and `before`, exclusive, were published by a former
  // leader and may be incomplete here. Since returns everything for a version in this range.
  void SetGap(std::uint64_t after, std::uint64_t before) {
    gap_after_ = after;
    gap_before_ = before;
  }

  // The highest version so far.
  std::uint64_t version() const { return version_; }

  // Holdings newer than `version`, for a daemon that knows all up to it.
  std::vector<HoldingsUpdate> Since(std::uint64_t version) const;

  // Returns nullptr if the engine is unknown.
  const HoldingsUpdate* Find(std::uint32_t number) const;

 private:
  std::uint64_t version_ = 0;
  std::uint64_t gap_after_ = 0;
  std::uint64_t gap_before_ = 0;
  std::map<std::uint32_t, HoldingsUpdate> holdings_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_HOLDINGS_LOG_H_
