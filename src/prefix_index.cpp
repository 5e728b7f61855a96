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
  const auto engine = engines_.find(endpoint);
  if (engine == engines_.end()) return 0;
  std::uint32_t tokens = 0;
  for (std::size_t i = 0; i < hashes.size(); ++i) {
    if (!engine->second.index.contains(hashes[i])) break;
    tokens += prompt[i].tokens;
  }
  return tokens;
}

void PrefixIndex::Note(const std::string& endpoint, const std::vector<std::uint64_t>& hashes,
                       const std::vector<PromptPart>& prompt, std::uint64_t capacity_tokens) {
  assert(hashes.size() == prompt.size());
  Engine& engine = engines_[endpoint];
  // The last part first, so that a prefix outlives what is built on it.
  for (std::size_t i = hashes.size(); i-- > 0;) {
    const auto known = engine.index.find(hashes[i]);
    if (known != engine.index.end()) {
      engine.parts.splice(engine.parts.begin(), engine.parts, known->second);
      continue;
    }
    engine.parts.push_front({hashes[i], prompt[i].tokens});
    engine.index[hashes[i]] = engine.parts.begin();
    engine.tokens += prompt[i].tokens;
  }
  while (engine.tokens > capacity_tokens && !engine.parts.empty()) {
    const Part& oldest = engine.parts.back();
    engine.tokens -= oldest.tokens;
    engine.index.erase(oldest.hash);
    engine.parts.pop_back();
  }
}

}  // namespace mimosabend
