#include "request_forwarder.h"

#include <array>
#include <boost/beast/core/string.hpp>
#include <charconv>

#include "digest.h"
#include "platform/request_headers.h"

namespace mimosabend {

namespace {

// Requests whose sending time differs more from the local clock are rejected as possible replays.
constexpr std::int64_t kReplayWindowMs = 30000;

std::string HexMac(const Mac& mac) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const std::uint8_t byte : mac) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 0xf];
  }
  return text;
}

// Removes the text after the last space from `text` and returns it.
std::string_view TakeLastWord(std::string_view* text) {
  const std::size_t space = text->rfind(' ');
  if (space == std::string_view::npos) return {};
  const std::string_view word = text->substr(space + 1);
  *text = text->substr(0, space);
  return word;
}

}  // namespace

ForwardAction DecideForward(ForwardEnd end, int forwards) {
  const bool may_try_next = forwards < kMaxForwards;
  switch (end) {
    case ForwardEnd::kNotSent:
      return may_try_next ? ForwardAction::kTryNext : ForwardAction::kRefuse;
    case ForwardEnd::kNotRun:
      return may_try_next ? ForwardAction::kTryNext : ForwardAction::kReturnResponse;
    case ForwardEnd::kAnswered:
      return ForwardAction::kReturnResponse;
    case ForwardEnd::kUnknown:
      break;
  }
  return ForwardAction::kFail;
}

void RemoveForwardHeader(HttpHeaders* headers) {
  std::erase_if(*headers, [](const auto& header) {
    return boost::beast::iequals(header.first, kForwardHeader);
  });
}

std::optional<Address> RequestForwarder::NextHelper(const std::set<Address>& tried,
                                                    MonotonicTime now) {
  std::vector<Address> fallback;
  for (const Address& peer : fallback_()) fallback.push_back(ForwardAddress(peer));
  return helpers_.Next(fallback, tried, now);
}

void RequestForwarder::RecordFailure(const Address& helper, MonotonicTime now) {
  helpers_.RecordFailure(helper, now);
  client_->CloseIdle(helper);
}

void RequestForwarder::SetHelpers(const std::vector<Address>& peers, bool complete,
                                  MonotonicTime now) {
  std::vector<Address> helpers;
  for (const Address& peer : peers) helpers.push_back(ForwardAddress(peer));
  helpers_.SetNamed(std::move(helpers), complete, now);
}

std::string RequestForwarder::MacOf(const std::string& sender_and_time,
                                    const HttpRequest& request) const {
  const std::string id_header = platform::RequestIdHeader("").first;
  const std::array<std::string_view, 4> parts{request.method, request.target,
                                              request.header("Host"), request.header(id_header)};
  std::string data = sender_and_time;
  for (const std::string_view part : parts) {
    data += '\n';
    data += part;
  }
  data += '\n' + std::to_string(request.body.size()) + ' ' + Hex64(Hash64(request.body));
  return HexMac(ComputeMac(settings_.shared_key, data));
}

std::pair<std::string, std::string> RequestForwarder::Sign(const HttpRequest& request,
                                                           WallTime now) const {
  const std::string sender_and_time = settings_.name + " " + std::to_string(ToUnixMillis(now));
  return {kForwardHeader, sender_and_time + " " + MacOf(sender_and_time, request)};
}

std::optional<std::string> RequestForwarder::Verify(const HttpRequest& request,
                                                    WallTime now) const {
  std::string_view rest = request.header(kForwardHeader);
  const std::string_view mac = TakeLastWord(&rest);
  if (!ConstantTimeEqual(mac, MacOf(std::string(rest), request))) return std::nullopt;
  const std::string_view time = TakeLastWord(&rest);
  std::int64_t sent_ms = 0;
  const auto parsed = std::from_chars(time.data(), time.data() + time.size(), sent_ms);
  if (parsed.ec != std::errc()) return std::nullopt;
  const std::int64_t now_ms = ToUnixMillis(now);
  const bool current = sent_ms >= now_ms - kReplayWindowMs && sent_ms <= now_ms + kReplayWindowMs;
  if (!current) return std::nullopt;
  return std::string(rest);
}

}  // namespace mimosabend
