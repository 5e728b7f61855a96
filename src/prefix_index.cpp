#include "prefix_index.h"

#include <algorithm>
#include <cassert>

#include "digest.h"
#include "log.h"

namespace mimosabend {

namespace {

// Part of the largest cache that is evicted at a time when there are too many parts.
constexpr std::size_t kEvictedDivisor = 8;

}  // namespace

std::vector<std::uint64_t> PrefixHashes(const std::string& model, const std::string& adapter,
                                        const std::vector<PromptPart>& prompt) {
  std::vector<std::uint64_t> hashes;
  std::uint64_t hash = Hash64(adapter, Hash64(model));
  for (const PromptPart& part : prompt) {
    hash = Hash64({reinterpret_cast<const char*>(&part.id), sizeof part.id}, hash);
    hashes.push_back(hash);
  }
  return hashes;
}

std::uint32_t PrefixIndex::CachedTokens(const std::string& endpoint,
                                        const std::vector<std::uint64_t>& hashes,
                                        const std::vector<PromptPart>& prompt) const {
  assert(hashes.size() == prompt.size());
  const auto cache = caches_.find(endpoint);
  if (cache == caches_.end()) return 0;
  std::uint32_t tokens = 0;
  for (std::size_t i = 0; i < hashes.size(); ++i) {
    if (!cache->second.index.contains(hashes[i])) break;
    tokens += prompt[i].tokens;
  }
  return tokens;
}

void PrefixIndex::Insert(const std::string& endpoint, const std::vector<std::uint64_t>& hashes,
                         const std::vector<PromptPart>& prompt, std::uint64_t capacity_tokens) {
  assert(hashes.size() == prompt.size());
  Cache& cache = caches_[endpoint];
  // Starts with the last part, so that a prefix is more recent than its extensions and is evicted
  // after them.
  for (std::size_t i = hashes.size(); i-- > 0;) {
    const auto known = cache.index.find(hashes[i]);
    if (known != cache.index.end()) {
      cache.parts.splice(cache.parts.begin(), cache.parts, known->second);
      continue;
    }
    cache.parts.push_front({hashes[i], prompt[i].tokens});
    cache.index[hashes[i]] = cache.parts.begin();
    cache.tokens += prompt[i].tokens;
    ++parts_;
  }
  while (cache.tokens > capacity_tokens && !cache.parts.empty()) EvictOldest(&cache);
  while (parts_ > max_parts_) {
    const auto largest =
        std::max_element(caches_.begin(), caches_.end(), [](const auto& left, const auto& right) {
          return left.second.parts.size() < right.second.parts.size();
        });
    if (evictions_ == 0) {
      LOG4CPLUS_WARN(Log(), "prefixes: forgetting parts beyond the limit, parts="
                                << parts_ << " engines=" << caches_.size());
    }
    const std::size_t count = largest->second.parts.size() / kEvictedDivisor + 1;
    for (std::size_t i = 0; i < count; ++i) EvictOldest(&largest->second);
    evictions_ += count;
  }
}

// Precondition: the cache is not empty.
void PrefixIndex::EvictOldest(Cache* cache) {
  const Part& oldest = cache->parts.back();
  cache->tokens -= oldest.tokens;
  cache->index.erase(oldest.hash);
  cache->parts.pop_back();
  --parts_;
}

void PrefixIndex::Forget(const std::string& endpoint) {
  const auto cache = caches_.find(endpoint);
  if (cache == caches_.end()) return;
  parts_ -= cache->second.parts.size();
  caches_.erase(cache);
}

}  // namespace mimosabend
