#ifndef MIMOSABEND_EVENT_STREAM_H_
#define MIMOSABEND_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mimosabend {

// Cuts the bytes of a text/event-stream into whole events, so that a stream that breaks in the
// middle of one can go on elsewhere. Not thread-safe.
class EventSplitter {
 public:
  // Adds bytes and returns all events that are now whole, with their blank lines.
  std::string Add(std::string_view bytes);

  // Whether bytes of an unfinished event are left.
  bool has_partial() const { return !rest_.empty(); }

  // The id of the last whole event that had one.
  std::optional<std::uint64_t> last_id() const { return last_id_; }

  // Whole events so far.
  std::uint64_t events() const { return events_; }

 private:
  void Scan(std::string_view event);

  std::string rest_;
  std::optional<std::uint64_t> last_id_;
  std::uint64_t events_ = 0;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_EVENT_STREAM_H_
