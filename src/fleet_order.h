#ifndef MIMOSABEND_FLEET_ORDER_H_
#define MIMOSABEND_FLEET_ORDER_H_

#include <concepts>
#include <cstdint>
#include <string>

#include "clock.h"
#include "engine.h"
#include "fleet_endpoint.h"
#include "http_client.h"
#include "name_table.h"
#include "result.h"

namespace mimosabend {

// An order to one incarnation of an engine to load or unload a model or adapter.
struct FleetOrder {
  std::string endpoint_id;
  Address address;
  OrderKind kind = OrderKind::kLoad;
  std::string model;
  // Empty for the model itself.
  std::string adapter;
  // The engine rejects the order unless it has accepted exactly this many orders before.
  std::uint64_t expected_sequence = 0;
  std::string holder;
  std::uint64_t fence = 0;
};

// kUnknown: the order may have been accepted, or may still be executed later.
enum class OrderOutcome : std::uint8_t {
  kAccepted,
  kAlreadyHolds,
  kConflict,
  kStaleFence,
  kOtherEndpoint,
  kRejected,
  kNotSent,
  kUnknown
};
inline constexpr NameTable<OrderOutcome, 8> kOrderOutcomeNames{
    {"accepted", "already holds", "conflict", "stale fence", "other endpoint", "rejected",
     "not sent", "unknown"}};

// Client for the control calls of engines.
template <class T>
concept FleetEngines = requires(T& engines, Address address, FleetOrder order,
                                milliseconds timeout) {
  { engines.Report(address, timeout) } -> std::same_as<Task<Result<EngineReport, HttpError>>>;
  { engines.Send(order, timeout) } -> std::same_as<Task<OrderOutcome>>;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_FLEET_ORDER_H_
