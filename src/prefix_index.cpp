#include "prefix_index.h"

#include <cassert>

#include "digest.h"

namespace mimosabend {

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
  }
  while (cache.tokens > capacity_tokens && !cache.parts.empty()) {
    const Part& oldest = cache.parts.back();
    cache.tokens -= oldest.tokens;
    cache.index.erase(oldest.hash);
    cache.parts.pop_back();
  }
}

}  // namespace mimosabend
