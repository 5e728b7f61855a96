#ifndef MIMOSABEND_EVENT_STREAM_H_
#define MIMOSABEND_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mimosabend {

// Splits the bytes of a text/event-stream at event boundaries, so that a stream that breaks in the
// middle of an event can be resumed at another endpoint. Lines end with LF or CR LF. Not
// thread-safe.
class EventSplitter {
 public:
  // Adds bytes and returns all events that are now complete, including their blank lines.
  std::string Add(std::string_view bytes);

  // Whether an incomplete event is buffered.
  bool has_partial() const { return !buffer_.empty(); }

  // Size of the incomplete event.
  std::size_t partial_bytes() const { return buffer_.size(); }

  // The id of the last complete event that had one.
  std::optional<std::uint64_t> last_id() const { return last_id_; }

  // Number of complete events so far.
  std::uint64_t events() const { return events_; }

 private:
  void AddLine(std::string_view line);

  std::string buffer_;
  // Start of the incomplete line in `buffer_`.
  std::size_t line_start_ = 0;
  // Whether the incomplete event has a line yet, and its id.
  bool in_event_ = false;
  std::optional<std::uint64_t> event_id_;
  std::optional<std::uint64_t> last_id_;
  std::uint64_t events_ = 0;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_EVENT_STREAM_H_
