#include "host_resources.h"

#include <sys/resource.h>

#include <algorithm>
#include <limits>

namespace mimosabend {

namespace {

constexpr double kMaxMemoryMb = 1e6;
constexpr double kMaxRelayShare = 0.8;
constexpr double kBytesPerMb = 1 << 20;
constexpr double kMaxDescriptors = 1e10;
// The largest frame has room in the least memory.
constexpr double kMinPeerMb = 32;
constexpr double kMaxPeerMb = 1024;
constexpr std::int64_t kMaxReceiveBufferKb = 1024;
constexpr std::int64_t kMinReceiveBufferKb = 4;
constexpr std::int64_t kBytesPerKb = 1024;
// Connections that are allowed however little memory and however few descriptors there are.
constexpr double kMinDerivedConnections = 16;
// Descriptors for files and the like, as many as the platform sets apart for them.
constexpr double kFileDescriptors = 200;
// Share of the other descriptors for callers. Each of their requests may need as many again for an
// endpoint; the rest is for other daemons, the store and the other listeners.
constexpr double kCallerDescriptorShare = 0.4;
// Share of them for connections from other daemons, and their largest number.
constexpr double kPeerDescriptorShare = 0.15;
constexpr double kMaxPeerConnections = 4096;
// Share of the memory for connections: this part of what is not for requests and responses, and no
// more than kMaxConnectionShare.
constexpr double kConnectionShareOfRest = 0.4;
constexpr double kMaxConnectionShare = 0.25;
// Memory of a connection beside its header and its receive buffer. The system doubles the latter.
constexpr double kConnectionBytes = 12 * 1024;
constexpr double kReceiveBufferFactor = 2;

// Descriptors that may be used for connections.
double ConnectionDescriptors(const HostResources& resources, std::uint64_t process_descriptors) {
  const std::uint64_t own = resources.descriptors > 0 ? resources.descriptors : process_descriptors;
  return static_cast<double>(std::min(own, process_descriptors)) - kFileDescriptors;
}

}  // namespace

void ReadHostResources(IniSection* section, HostResources* resources) {
  const double memory = section->Number("memory_mb", 0, kMaxMemoryMb, 0.0);
  resources->memory_bytes = static_cast<std::uint64_t>(memory * kBytesPerMb);
  resources->descriptors =
      static_cast<std::uint64_t>(section->Number("descriptors", 0, kMaxDescriptors, 0.0));
}

void ReadMemoryShares(IniSection* section, HostResources* resources) {
  resources->relay_share =
      section->Number("relay_share", 0, kMaxRelayShare, resources->relay_share);
  const double peer = section->Number("peer_mb", kMinPeerMb, kMaxPeerMb,
                                      static_cast<double>(resources->peer_bytes) / kBytesPerMb);
  resources->peer_bytes = static_cast<std::uint64_t>(peer * kBytesPerMb);
}

void ReadReceiveBuffer(IniSection* section, HostResources* resources) {
  const std::int64_t kilobytes =
      section->Integer("receive_buffer_kb", kMinReceiveBufferKb, kMaxReceiveBufferKb,
                       resources->receive_buffer_bytes / kBytesPerKb);
  resources->receive_buffer_bytes = static_cast<int>(kilobytes * kBytesPerKb);
}

std::size_t CallerConnections(const HostResources& resources, std::uint64_t header_bytes,
                              std::uint64_t process_descriptors) {
  double derived = ConnectionDescriptors(resources, process_descriptors) * kCallerDescriptorShare;
  if (resources.memory_bytes > 0) {
    const double share =
        std::min(kMaxConnectionShare, kConnectionShareOfRest * (1 - resources.relay_share));
    const double each = kConnectionBytes + static_cast<double>(header_bytes) +
                        kReceiveBufferFactor * resources.receive_buffer_bytes;
    derived = std::min(derived, static_cast<double>(resources.memory_bytes) * share / each);
  }
  derived = std::max(derived, kMinDerivedConnections);
  return static_cast<std::size_t>(
      std::min(derived, static_cast<double>(resources.caller_connections)));
}

std::size_t PeerConnections(const HostResources& resources, std::uint64_t process_descriptors) {
  const double derived =
      ConnectionDescriptors(resources, process_descriptors) * kPeerDescriptorShare;
  return static_cast<std::size_t>(std::clamp(derived, kMinDerivedConnections, kMaxPeerConnections));
}

std::uint64_t DescriptorLimit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return std::numeric_limits<std::uint64_t>::max();
  return limit.rlim_cur;
}

}  // namespace mimosabend
