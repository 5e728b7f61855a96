#ifndef MIMOSABEND_HOST_RESOURCES_H_
#define MIMOSABEND_HOST_RESOURCES_H_

#include <cstddef>
#include <cstdint>

#include "ini_file.h"

namespace mimosabend {

// What a process may use of its host, and how much of it is for callers.
struct HostResources {
  // Memory that this process may use; 0 for no limit.
  std::uint64_t memory_bytes = 0;
  // Part of it that may hold requests, responses and events; 0 for no limit on these.
  double relay_share = 0.4;
  // Memory for frames of other daemons, in bytes. Applies with or without a memory limit.
  std::uint64_t peer_bytes = 32 << 20;
  // Descriptors that this process may use; 0 for no limit but that of the process.
  std::uint64_t descriptors = 0;
  // Most connections of callers, whatever memory and descriptors allow.
  std::uint64_t caller_connections = 2000;
  // Receive buffer of each of them in the system, in bytes. Applies with a memory limit.
  int receive_buffer_bytes = 16 * 1024;

  bool operator==(const HostResources&) const = default;

  // Bytes that may be held for callers and endpoints, 0 for no limit. See MemoryBudget.
  std::uint64_t relay_bytes() const {
    return static_cast<std::uint64_t>(static_cast<double>(memory_bytes) * relay_share);
  }
};

// Read the keys of these resources from the settings: memory_mb and descriptors, relay_share and
// peer_mb, and receive_buffer_kb. Report invalid values. Thread-safe.
void ReadHostResources(IniSection* section, HostResources* resources);
void ReadMemoryShares(IniSection* section, HostResources* resources);
void ReadReceiveBuffer(IniSection* section, HostResources* resources);

// Number of connections of callers that may be open: `caller_connections`, or fewer if the memory
// or the descriptors suffice for fewer. `header_bytes`: largest header of a request.
// `process_descriptors`: the limit of the process, see DescriptorLimit. Thread-safe.
std::size_t CallerConnections(const HostResources& resources, std::uint64_t header_bytes,
                              std::uint64_t process_descriptors);

// Number of connections of other daemons that may be open, as their descriptors suffice for.
// Otherwise as above.
std::size_t PeerConnections(const HostResources& resources, std::uint64_t process_descriptors);

// Number of descriptors that the system lets this process open. Thread-safe.
std::uint64_t DescriptorLimit();

}  // namespace mimosabend

#endif  // MIMOSABEND_HOST_RESOURCES_H_
