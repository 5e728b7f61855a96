#include "event_stream.h"

#include <charconv>

namespace mimosabend {

namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kIdField = "id:";

}  // namespace

std::string EventSplitter::Add(std::string_view bytes) {
  // A blank line may begin in the bytes of before.
  const std::size_t scanned = rest_.empty() ? 0 : rest_.size() - 1;
  rest_ += bytes;
  const std::size_t last_end = rest_.rfind(kEventEnd);
  if (last_end == std::string::npos || last_end < scanned) return {};
  const std::size_t length = last_end + kEventEnd.size();
  std::string whole = rest_.substr(0, length);
  rest_.erase(0, length);
  std::string_view left = whole;
  while (!left.empty()) {
    const std::size_t end = left.find(kEventEnd);
    Scan(left.substr(0, end));
    left.remove_prefix(end + kEventEnd.size());
  }
  return whole;
}

// Reads the id of one event.
void EventSplitter::Scan(std::string_view event) {
  ++events_;
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
    if (!line.starts_with(kIdField)) continue;
    line.remove_prefix(kIdField.size());
    while (line.starts_with(' ')) line.remove_prefix(1);
    std::uint64_t id = 0;
    const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
    if (parsed.ec == std::errc()) last_id_ = id;
  }
}

}  // namespace mimosabend
