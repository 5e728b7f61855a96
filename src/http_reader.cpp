#include "http_reader.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <exception>
#include <stdexcept>

#include "log.h"

namespace mimosabend {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t kMaxReadBytes = 64 * 1024;
// Space in a buffer beside a header of the largest size.
constexpr std::size_t kReadSlackBytes = 4096;
// A larger buffer is released between two messages.
constexpr std::size_t kKeptBufferBytes = 4096;
// Memory of a header field beside its bytes: two strings or an element of the parser's list, and
// what the allocator adds.
constexpr std::uint64_t kFieldOverheadBytes = 128;

// A position that grows by the number of body bytes that the parser stores.
std::int64_t BodyPosition(const std::string& body) {
  return static_cast<std::int64_t>(body.size());
}
std::int64_t BodyPosition(const http::buffer_body::value_type& body) {
  return -static_cast<std::int64_t>(body.size);
}

HttpReadError TranslateParserError(const boost::system::error_code& error) {
  if (error == http::error::header_limit) return HttpReadError::kHeaderTooLarge;
  if (error == http::error::body_limit) return HttpReadError::kBodyTooLarge;
  if (error == http::error::partial_message) return HttpReadError::kBroken;
  return HttpReadError::kMalformed;
}

}  // namespace

bool HttpReader::FramingExceedsLimit() const {
  return framing_bytes_ > max_framing_bytes_ + kFramingPerBodyByte * body_bytes_;
}

// Counts the memory of the part of a header that begins the buffer.
void HttpReader::CountHeader(std::size_t bytes) {
  const auto* begin = static_cast<const char*>(buffer_.cdata().data());
  const auto lines = static_cast<std::uint64_t>(std::count(begin, begin + bytes, '\n'));
  header_memory_ += bytes + lines * kFieldOverheadBytes;
}

// Passes the buffered bytes to the parser. Returns whether the parser has advanced; otherwise it
// needs more bytes.
template <class Parser>
Result<bool, HttpReadError> HttpReader::Parse(Parser* parser) {
  const bool in_body = parser->is_header_done();
  const std::int64_t body_position = BodyPosition(parser->get().body());
  boost::system::error_code error;
  std::size_t consumed = 0;
  parser->eager(false);
  try {
    consumed = parser->put(buffer_.cdata(), error);
  } catch (const std::length_error& thrown) {
    // The library's limit for one field, 64 KiB.
    LOG4CPLUS_WARN(Log(), "HTTP parser failed, error=\"" << thrown.what() << "\"");
    return outcome::failure(in_body ? HttpReadError::kFramingTooLarge
                                    : HttpReadError::kHeaderTooLarge);
  } catch (const std::exception& thrown) {
    LOG4CPLUS_WARN(Log(), "HTTP parser failed, error=\"" << thrown.what() << "\"");
    return outcome::failure(HttpReadError::kMalformed);
  }
  if (!in_body) CountHeader(consumed);
  buffer_.consume(consumed);
  if (in_body) {
    const auto stored =
        static_cast<std::uint64_t>(BodyPosition(parser->get().body()) - body_position);
    body_bytes_ += stored;
    framing_bytes_ += consumed - stored;
    if (FramingExceedsLimit()) return outcome::failure(HttpReadError::kFramingTooLarge);
  }
  if (error == http::error::need_more) {
    const bool full = parser->is_header_done() && buffer_.size() > max_framing_bytes_;
    if (full) return outcome::failure(HttpReadError::kFramingTooLarge);
    return false;
  }
  // The parser needs a new buffer for the next part of the body.
  if (error == http::error::need_buffer) return true;
  if (error) return outcome::failure(TranslateParserError(error));
  return true;
}

void HttpReader::LimitBuffer(std::size_t header_bytes) {
  buffer_.max_size(std::max(header_bytes + kReadSlackBytes, buffer_.capacity()));
}

void HttpReader::ReleaseBuffer() {
  if (empty() && buffer_.capacity() > kKeptBufferBytes) buffer_.shrink_to_fit();
}

// Receives more bytes.
Task<boost::system::error_code> HttpReader::Receive(beast::tcp_stream* stream) {
  boost::system::error_code error;
  const auto space = buffer_.prepare(beast::read_size(buffer_, kMaxReadBytes));
  const std::size_t received =
      co_await stream->async_read_some(space, asio::redirect_error(asio::use_awaitable, error));
  buffer_.commit(received);
  co_return error;
}

Task<Result<void, HttpReadError>> HttpReader::AwaitMessage(beast::tcp_stream* stream) {
  if (!empty()) co_return outcome::success();
  const boost::system::error_code error = co_await Receive(stream);
  if (!error) co_return outcome::success();
  co_return outcome::failure(error == beast::error::timeout ? HttpReadError::kTimedOut
                                                            : HttpReadError::kClosed);
}

// Receives more bytes, or tells the parser that there are none.
template <class Parser>
Task<Result<void, HttpReadError>> HttpReader::Fill(beast::tcp_stream* stream, Parser* parser) {
  if (buffer_.size() == buffer_.max_size()) {
    co_return outcome::failure(parser->is_header_done() ? HttpReadError::kFramingTooLarge
                                                        : HttpReadError::kHeaderTooLarge);
  }
  boost::system::error_code error = co_await Receive(stream);
  if (!error) co_return outcome::success();
  if (error == beast::error::timeout) co_return outcome::failure(HttpReadError::kTimedOut);
  const bool begun = parser->got_some();
  if (error != asio::error::eof) {
    co_return outcome::failure(begun ? HttpReadError::kBroken : HttpReadError::kClosed);
  }
  if (!begun) co_return outcome::failure(HttpReadError::kClosed);
  error = {};
  parser->put_eof(error);
  if (error) co_return outcome::failure(TranslateParserError(error));
  co_return outcome::success();
}

template <class Parser>
Task<Result<void, HttpReadError>> HttpReader::ReadSome(beast::tcp_stream* stream, Parser* parser) {
  for (;;) {
    if (!empty()) {
      const auto advanced = Parse(parser);
      if (!advanced) co_return outcome::failure(advanced.error());
      if (advanced.value()) co_return outcome::success();
    }
    auto filled = co_await Fill(stream, parser);
    if (!filled) co_return outcome::failure(filled.error());
    // The end of the connection has ended the message.
    if (parser->is_done()) co_return outcome::success();
  }
}

template <class Parser>
Task<Result<void, HttpReadError>> HttpReader::ReadHeader(beast::tcp_stream* stream, Parser* parser,
                                                         HeaderHold hold) {
  header_memory_ = 0;
  framing_bytes_ = 0;
  body_bytes_ = 0;
  for (;;) {
    if (!empty()) {
      const auto advanced = Parse(parser);
      if (!advanced) co_return outcome::failure(advanced.error());
      // The parser stores the fields of a header that is not complete, too.
      const bool held = !hold || hold(header_memory_);
      if (!held) co_return outcome::failure(HttpReadError::kNoMemory);
      if (parser->is_header_done()) co_return outcome::success();
      if (advanced.value()) continue;
    }
    auto filled = co_await Fill(stream, parser);
    if (!filled) co_return outcome::failure(filled.error());
  }
}

template Task<Result<void, HttpReadError>> HttpReader::ReadHeader(beast::tcp_stream*,
                                                                  HttpRequestParser*, HeaderHold);
template Task<Result<void, HttpReadError>> HttpReader::ReadHeader(beast::tcp_stream*,
                                                                  HttpResponseParser*, HeaderHold);
template Task<Result<void, HttpReadError>> HttpReader::ReadSome(beast::tcp_stream*,
                                                                HttpRequestParser*);
template Task<Result<void, HttpReadError>> HttpReader::ReadSome(beast::tcp_stream*,
                                                                HttpResponseParser*);

}  // namespace mimosabend
