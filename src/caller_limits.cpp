#include "caller_limits.h"

#include <utility>

#include "log.h"

namespace mimosabend {

void ApplyCallerLimits(const HostResources& resources, HttpLimits limits, HttpServer* server,
                       MemoryBudget* memory) {
  memory->set_limit(resources.relay_bytes());
  limits.connections = CallerConnections(resources, limits.header_bytes, DescriptorLimit());
  if (limits.connections != server->connection_limit()) {
    LOG4CPLUS_INFO(Log(), "connections of callers are limited, connections="
                              << limits.connections << " header_bytes=" << limits.header_bytes
                              << " receive_buffer_bytes=" << resources.receive_buffer_bytes);
  }
  server->set_limits(limits);
  if (resources.memory_bytes > 0) server->SetReceiveBuffer(resources.receive_buffer_bytes);
}

void ApplyForwardLimits(const HostResources& resources, HttpLimits limits, HttpServer* server) {
  // Room for the headers that the other gateway adds.
  constexpr std::uint32_t kAddedHeaderBytes = 1024;
  limits.header_bytes += kAddedHeaderBytes;
  limits.connections = PeerConnections(resources, DescriptorLimit());
  server->set_limits(limits);
  if (resources.memory_bytes > 0) server->SetReceiveBuffer(resources.receive_buffer_bytes);
}

void ApplyPeerLimits(const HostResources& resources, PeerServer* server) {
  server->SetLimits(resources.peer_bytes, PeerConnections(resources, DescriptorLimit()));
}

CallerMetrics::CallerMetrics(MetricsRegistry* registry) {
  auto& evictions = registry->CounterFamily(
      "evictions_total", "Connections of callers that were closed in favour of others.");
  for (std::size_t i = 0; i < kEvictionCauseCount; ++i) {
    evictions_total_[i] = &evictions.Add({{"cause", std::string(kEvictionCauseNames.names[i])}});
  }
  connections_ = registry->AddGauge("caller_connections", "Open connections of callers.");
  connection_limit_ =
      registry->AddGauge("caller_connection_limit", "Connections of callers that may be open.");
  memory_refusals_total_ = registry->AddCounter(
      "memory_refusals_total", "Requests refused since too many bytes were held for others.");
  auto& held = registry->GaugeFamily("held_bytes", "Bytes held for callers and endpoints.");
  for (std::size_t i = 0; i < kMemoryKindCount; ++i) {
    held_bytes_[i] = &held.Add({{"kind", std::string(kMemoryKindNames.names[i])}});
  }
}

void CallerMetrics::Update(const HttpServer& server, const MemoryBudget& memory) {
  for (std::size_t i = 0; i < kEvictionCauseCount; ++i) {
    const std::uint64_t now = server.evictions(static_cast<EvictionCause>(i));
    evictions_total_[i]->Increment(static_cast<double>(now - std::exchange(evictions_[i], now)));
  }
  connections_->Set(static_cast<double>(server.open_connections()));
  connection_limit_->Set(static_cast<double>(server.connection_limit()));
  const std::uint64_t refusals = memory.refusals();
  memory_refusals_total_->Increment(
      static_cast<double>(refusals - std::exchange(memory_refusals_, refusals)));
  for (std::size_t i = 0; i < kMemoryKindCount; ++i) {
    held_bytes_[i]->Set(static_cast<double>(memory.held(static_cast<MemoryKind>(i))));
  }
}

}  // namespace mimosabend
