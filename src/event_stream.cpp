#include "event_stream.h"

#include <charconv>

namespace mimosabend {

namespace {

constexpr std::string_view kIdField = "id:";

// The number in an "id" line; std::nullopt for other lines and for ids that don't start with a
// number.
std::optional<std::uint64_t> ParseId(std::string_view line) {
  if (!line.starts_with(kIdField)) return std::nullopt;
  line.remove_prefix(kIdField.size());
  while (line.starts_with(' ')) line.remove_prefix(1);
  std::uint64_t id = 0;
  const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
  return parsed.ec == std::errc() ? std::optional(id) : std::nullopt;
}

}  // namespace

std::string EventSplitter::Add(std::string_view bytes) {
  std::size_t search_from = buffer_.size();
  std::size_t complete_length = 0;
  buffer_ += bytes;
  for (;;) {
    const std::size_t end = buffer_.find('\n', search_from);
    if (end == std::string::npos) break;
    std::string_view line(buffer_.data() + line_start_, end - line_start_);
    if (line.ends_with('\r')) line.remove_suffix(1);
    line_start_ = end + 1;
    search_from = line_start_;
    AddLine(line);
    if (line.empty()) complete_length = line_start_;
  }
  std::string complete = buffer_.substr(0, complete_length);
  buffer_.erase(0, complete_length);
  line_start_ -= complete_length;
  return complete;
}

// A blank line ends an event. Further blank lines are ignored.
void EventSplitter::AddLine(std::string_view line) {
  if (!line.empty()) {
    in_event_ = true;
    if (const auto id = ParseId(line)) event_id_ = id;
    return;
  }
  if (in_event_) ++events_;
  if (event_id_) last_id_ = event_id_;
  in_event_ = false;
  event_id_.reset();
}

}  // namespace mimosabend
