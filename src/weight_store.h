#ifndef MIMOSABEND_WEIGHT_STORE_H_
#define MIMOSABEND_WEIGHT_STORE_H_

#include <concepts>
#include <cstdint>

#include "name_table.h"
#include "result.h"

namespace mimosabend {

enum class WeightStoreError : std::uint8_t { kUnavailable, kBadAnswer };
inline constexpr NameTable<WeightStoreError, 2> kWeightStoreErrorNames{
    {"service unavailable", "malformed answer"}};

struct WeightStoreStatus {
  // Loads in progress.
  std::uint32_t model_loads = 0;
  std::uint32_t adapter_loads = 0;
  // Loads that wait for the rate limit.
  std::uint32_t queued = 0;
};

// The platform's rate-limited store of model weights. Engines load weights from it; daemons only
// read its status.
template <class T>
concept WeightStore = requires(T& store) {
  { store.Status() } -> std::same_as<Task<Result<WeightStoreStatus, WeightStoreError>>>;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_WEIGHT_STORE_H_
