#ifndef MIMOSABEND_EVENT_STREAM_H_
#define MIMOSABEND_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mimosabend {

// Cuts the bytes of a text/event-stream into whole events, so that a stream that breaks in the
// middle of one can go on elsewhere. Lines end with LF or CR LF. Not thread-safe.
class EventSplitter {
 public:
  // Adds bytes and returns all events that are now whole, with their blank lines.
  std::string Add(std::string_view bytes);

  // Whether bytes of an unfinished event are left.
  bool has_partial() const { return !rest_.empty(); }

  // Bytes that wait for the end of their event.
  std::size_t partial_bytes() const { return rest_.size(); }

  // The id of the last whole event that had one.
  std::optional<std::uint64_t> last_id() const { return last_id_; }

  // Whole events so far.
  std::uint64_t events() const { return events_; }

 private:
  void AddLine(std::string_view line);

  std::string rest_;
  // Where the unfinished line begins in `rest_`.
  std::size_t line_start_ = 0;
  // Of the unfinished event: whether it has a line yet, and its id.
  bool in_event_ = false;
  std::optional<std::uint64_t> event_id_;
  std::optional<std::uint64_t> last_id_;
  std::uint64_t events_ = 0;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_EVENT_STREAM_H_
