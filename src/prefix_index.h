#ifndef MIMOSABEND_PREFIX_INDEX_H_
#define MIMOSABEND_PREFIX_INDEX_H_

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "relay_request.h"

namespace mimosabend {

// Hash of each prefix of a prompt: item i covers parts 0 to i. The model and the adapter are hashed
// too, as KV caches of different weights can't be shared. Thread-safe.
std::vector<std::uint64_t> PrefixHashes(const std::string& model, const std::string& adapter,
                                        const std::vector<PromptPart>& prompt);

// Estimates the content of the engines' prefix caches from the prompts that this daemon sent them.
// Models each cache as LRU. Not thread-safe.
class PrefixIndex {
 public:
  static constexpr std::size_t kDefaultMaxParts = 64 * 1024;

  // `max_parts`: parts that are remembered of all engines, each of which takes some 120 bytes. The
  // capacities of the engines do not limit parts of few tokens.
  explicit PrefixIndex(std::size_t max_parts = kDefaultMaxParts) : max_parts_(max_parts) {}

  // Tokens in the longest prefix of a prompt that the engine has cached. `hashes` are the
  // PrefixHashes of `prompt`.
  std::uint32_t CachedTokens(const std::string& endpoint, const std::vector<std::uint64_t>& hashes,
                             const std::vector<PromptPart>& prompt) const;

  // Adds a prompt that an engine has processed, and evicts the least recently used parts beyond
  // `capacity_tokens`, and those of the engine with the most parts beyond the limit of all. Logs
  // when that limit is reached first.
  void Insert(const std::string& endpoint, const std::vector<std::uint64_t>& hashes,
              const std::vector<PromptPart>& prompt, std::uint64_t capacity_tokens);

  // Drops the cache of an engine, for example because it restarted.
  void Forget(const std::string& endpoint);

  // Parts that are remembered of all engines.
  std::size_t parts() const { return parts_; }
  // Parts that were evicted because of the limit of all engines.
  std::uint64_t evictions() const { return evictions_; }

 private:
  struct Part {
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;
  };
  struct Cache {
    // Most recently used first.
    std::list<Part> parts;
    std::unordered_map<std::uint64_t, std::list<Part>::iterator> index;
    std::uint64_t tokens = 0;
  };

  void EvictOldest(Cache* cache);

  std::map<std::string, Cache> caches_;
  std::size_t max_parts_;
  std::size_t parts_ = 0;
  std::uint64_t evictions_ = 0;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_PREFIX_INDEX_H_
