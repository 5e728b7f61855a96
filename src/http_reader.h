#ifndef MIMOSABEND_HTTP_READER_H_
#define MIMOSABEND_HTTP_READER_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>

#include "name_table.h"
#include "result.h"

namespace mimosabend {

// Why a message could not be read to its end.
enum class HttpReadError : std::uint8_t {
  // The peer closed the connection before the first byte of the message.
  kClosed,
  // The connection was lost or closed within the message.
  kBroken,
  kTimedOut,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
  kFramingTooLarge,
  // The memory budget has no room for the body.
  kNoMemory,
  // The connection is closed in favour of another one.
  kEvicted
};
inline constexpr NameTable<HttpReadError, 9> kHttpReadErrorNames{
    {"connection closed", "connection broken", "timed out", "malformed message", "header too large",
     "body too large", "chunk framing or trailers too large", "no memory for the body",
     "closed for another"}};

using HttpRequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;
using HttpResponseParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

// Called with the memory that a header takes so far, in bytes, before more of it is received.
// Returns false if there is no room for it.
using HeaderHold = std::function<bool(std::uint64_t bytes)>;

// Reads the messages of one connection. The parser limits headers and bodies. This class limits
// the framing of a chunked body, which the parser does not: size lines, extensions and trailers. It
// calls the parser in the reading coroutine and not in a completion handler, so that an exception
// of the parser fails one message instead of ending the process. Not thread-safe.
class HttpReader {
 public:
  // Framing that is allowed for each byte of a chunked body, beside `max_framing_bytes`. A chunk of
  // one byte takes 5 bytes of framing.
  static constexpr std::uint64_t kFramingPerBodyByte = 16;

  // `max_framing_bytes`: longest size line with extensions, and longest trailers, in bytes.
  explicit HttpReader(std::size_t max_framing_bytes) : max_framing_bytes_(max_framing_bytes) {}

  // Limit for the messages that are read from now on.
  void set_max_framing_bytes(std::size_t bytes) { max_framing_bytes_ = bytes; }

  // Limits the buffer to a header of `header_bytes` and what is received with it.
  void LimitBuffer(std::size_t header_bytes);

  // Releases the buffer if it is empty and larger than most requests need.
  void ReleaseBuffer();

  // Waits until a byte of a message has been received. Fails with kClosed or kTimedOut. The caller
  // sets the time limit of `stream`. Precondition: as for ReadHeader.
  Task<Result<void, HttpReadError>> AwaitMessage(boost::beast::tcp_stream* stream);

  // Reads until the header is complete. Fails with kNoMemory if `hold` returns false; it may be
  // empty. The caller sets the time limit of `stream`. Precondition: `parser` is new, and both
  // pointers are valid until the coroutine has ended.
  template <class Parser>
  Task<Result<void, HttpReadError>> ReadHeader(boost::beast::tcp_stream* stream, Parser* parser,
                                               HeaderHold hold);

  // Memory that the last header takes, in bytes. Small fields take many times their size.
  std::uint64_t header_memory() const { return header_memory_; }

  // Reads until the parser has advanced: by a part of the body, a size line or the end of the
  // message. Preconditions: the message is not complete, and both pointers are valid until the
  // coroutine has ended.
  template <class Parser>
  Task<Result<void, HttpReadError>> ReadSome(boost::beast::tcp_stream* stream, Parser* parser);

  // Whether no bytes have been received that belong to a later message.
  bool empty() const { return buffer_.size() == 0; }

 private:
  template <class Parser>
  Result<bool, HttpReadError> Parse(Parser* parser);
  void CountHeader(std::size_t bytes);
  Task<boost::system::error_code> Receive(boost::beast::tcp_stream* stream);
  template <class Parser>
  Task<Result<void, HttpReadError>> Fill(boost::beast::tcp_stream* stream, Parser* parser);
  bool FramingExceedsLimit() const;

  std::size_t max_framing_bytes_;
  boost::beast::flat_buffer buffer_;
  // Of the message that is being read.
  std::uint64_t header_memory_ = 0;
  std::uint64_t framing_bytes_ = 0;
  std::uint64_t body_bytes_ = 0;
};

extern template Task<Result<void, HttpReadError>> HttpReader::ReadHeader(boost::beast::tcp_stream*,
                                                                         HttpRequestParser*,
                                                                         HeaderHold);
extern template Task<Result<void, HttpReadError>> HttpReader::ReadHeader(boost::beast::tcp_stream*,
                                                                         HttpResponseParser*,
                                                                         HeaderHold);
extern template Task<Result<void, HttpReadError>> HttpReader::ReadSome(boost::beast::tcp_stream*,
                                                                       HttpRequestParser*);
extern template Task<Result<void, HttpReadError>> HttpReader::ReadSome(boost::beast::tcp_stream*,
                                                                       HttpResponseParser*);

}  // namespace mimosabend

#endif  // MIMOSABEND_HTTP_READER_H_
