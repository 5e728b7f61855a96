#include "store_era.h"

#include <charconv>

#include "log.h"

namespace mimosabend {

namespace {

// Position of the era in a fencing token. Tokens stay below 2^53, the largest integer that all JSON
// implementations represent exactly.
constexpr int kEraShift = 32;

}  // namespace

std::string ToString(const StoreRevision& revision) {
  const std::string number = std::to_string(revision.revision);
  return revision.era == 0 ? number : std::to_string(revision.era) + ":" + number;
}

std::uint64_t FencingToken(const StoreRevision& revision) {
  assert(revision.era <= kMaxStoreEra);
  return (static_cast<std::uint64_t>(revision.era) << kEraShift) + revision.revision;
}

std::optional<std::uint32_t> ParseStoreEra(std::string_view text) {
  std::uint32_t era = 0;
  const char* end = text.data() + text.size();
  const auto [stopped, error] = std::from_chars(text.data(), end, era);
  if (error != std::errc() || stopped != end || era > kMaxStoreEra) return std::nullopt;
  return era;
}

EraDecision DecideEra(std::uint32_t known, std::uint32_t stated) {
  if (stated < known) return EraDecision::kDrop;
  return stated > known ? EraDecision::kBegin : EraDecision::kUse;
}

bool StoreEra::HandleResponse(std::string_view header, const std::string& call) {
  std::uint32_t stated = 0;
  if (!header.empty()) {
    const auto parsed = ParseStoreEra(header);
    if (!parsed) {
      ++invalid_;
      LOG4CPLUS_WARN(Log(), "response of the store has an invalid era, taken for era 0, call=\""
                                << call << "\"");
    }
    stated = parsed.value_or(0);
  }
  const EraDecision decision = DecideEra(current_, stated);
  if (decision == EraDecision::kDrop) {
    ++dropped_;
    LOG4CPLUS_WARN(Log(), "dropped a response of the store, era="
                              << stated << " known_era=" << current_ << " call=\"" << call << "\"");
    return false;
  }
  if (decision == EraDecision::kBegin) Begin(stated, "the store");
  return true;
}

void StoreEra::Learn(std::uint32_t era, const std::string& daemon) {
  if (DecideEra(current_, era) == EraDecision::kBegin) Begin(era, daemon);
}

void StoreEra::Begin(std::uint32_t era, const std::string& source) {
  assert(era > current_);
  LOG4CPLUS_WARN(Log(), "the store was restored from an older copy, era="
                            << era << " former_era=" << current_ << " source=\"" << source << "\"");
  current_ = era;
  ++begun_;
  listener_(era);
}

}  // namespace mimosabend
