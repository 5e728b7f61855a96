#include "connection_table.h"

#include "log.h"

namespace mimosabend {

namespace {

// A period of evictions has ended when none has happened for this long.
constexpr milliseconds kEvictionPause{1000};

}  // namespace

void EvictionLog::Record(EvictionCause cause, std::size_t connections, MonotonicTime now) {
  ++evictions_[static_cast<std::size_t>(cause)];
  if (!evicted_at_) {
    LOG4CPLUS_WARN(Log(), "connections: closing some for others, cause="
                              << kEvictionCauseNames[cause] << " connections=" << connections);
  }
  evicted_at_ = now;
}

void EvictionLog::Update(MonotonicTime now) {
  if (!evicted_at_ || now - *evicted_at_ < kEvictionPause) return;
  evicted_at_.reset();
  LOG4CPLUS_INFO(Log(), "connections: no longer closing some for others, evictions_memory="
                            << evictions(EvictionCause::kMemory)
                            << " evictions_connections=" << evictions(EvictionCause::kConnections));
}

}  // namespace mimosabend
