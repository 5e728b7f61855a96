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

// Identifies each prefix of a prompt: item i stands for parts 0 to i under the given weights.
// Thread-safe.
std::vector<std::uint64_t> PrefixHashes(const std::string& model, const std::string& adapter,
                                        const std::vector<PromptPart>& prompt);

// What the engines are believed to keep of the prompts that were sent to them. The least recently
// used parts are forgotten when an engine's memory is full. Not thread-safe.
class PrefixIndex {
 public:
  // Tokens of the longest prefix that an engine keeps. `hashes` belongs to `prompt`.
  std::uint32_t CachedTokens(const std::string& endpoint, const std::vector<std::uint64_t>& hashes,
                             const std::vector<PromptPart>& prompt) const;

  // Notes that an engine has read a prompt.
  void Note(const std::string& endpoint, const std::vector<std::uint64_t>& hashes,
            const std::vector<PromptPart>& prompt, std::uint64_t capacity_tokens);

  void Forget(const std::string& endpoint) { engines_.erase(endpoint); }

 private:
  struct Part {
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;
  };
  struct Engine {
    // The most recently used first.
    std::list<Part> parts;
    std::unordered_map<std::uint64_t, std::list<Part>::iterator> index;
    std::uint64_t tokens = 0;
  };

  std::map<std::string, Engine> engines_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_PREFIX_INDEX_H_
