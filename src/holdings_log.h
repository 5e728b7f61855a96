#ifndef MIMOSABEND_HOLDINGS_LOG_H_
#define MIMOSABEND_HOLDINGS_LOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "codec.h"

namespace mimosabend {

// A model that an engine holds.
struct ModelNews {
  std::string name;
  std::vector<std::string> adapters;

  bool operator==(const ModelNews&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    SerializeName(archive, name);
    SerializeNames(archive, adapters);
  }
};

// What an engine holds, as the placement leader knows it.
struct EndpointNews {
  std::uint32_t number = 0;
  // Rises with each change, also from one leader to the next.
  std::uint64_t version = 0;
  std::vector<ModelNews> models;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(number, version);
    SerializeList(archive, models);
  }
};

// What the engines hold by the leader's versions, so that other daemons can pass it on. Not
// thread-safe.
class HoldingsLog {
 public:
  // Notes news. False if it is not newer than what is known.
  bool Note(const EndpointNews& news);
  // Forgets engines that the predicate does not want to keep.
  template <class Predicate>
  void KeepIf(Predicate keep) {
    std::erase_if(news_, [&](const auto& item) { return !keep(item.first); });
  }

  // Versions between these were published by a former leader and have not all been noted here, so a
  // daemon that knows one of them is told everything.
  void SetGap(std::uint64_t after, std::uint64_t before) {
    gap_after_ = after;
    gap_before_ = before;
  }

  // The highest version that was noted.
  std::uint64_t version() const { return version_; }

  // News for a daemon that knows all up to a version.
  std::vector<EndpointNews> Since(std::uint64_t version) const;

  // nullptr if nothing is known of the engine.
  const EndpointNews* Find(std::uint32_t number) const;

 private:
  std::uint64_t version_ = 0;
  std::uint64_t gap_after_ = 0;
  std::uint64_t gap_before_ = 0;
  std::map<std::uint32_t, EndpointNews> news_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_HOLDINGS_LOG_H_
