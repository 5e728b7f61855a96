#include "client_crowd.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>

#include "fleet.h"

namespace mimosabend::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

// What is written at once of a body in small chunks.
constexpr std::uint64_t kWriteBytes = 64 * 1024;
constexpr std::string_view kSmallField = "a:\r\n";
constexpr milliseconds kReturnDelay{10};
// Of the status code in "HTTP/1.1 200".
constexpr std::size_t kStatusStart = 9;
constexpr std::size_t kStatusEnd = 12;

// A part of a body as it is written, and how many bytes of the body it holds.
struct Piece {
  std::string bytes;
  std::uint64_t body_bytes = 0;
};

std::string Chunk(std::uint64_t size) {
  std::array<char, 20> length;
  const int digits = std::snprintf(length.data(), length.size(), "%lx\r\n", size);
  return std::string(length.data(), digits) + std::string(size, 'a') + "\r\n";
}

Piece MakePiece(const CrowdBehavior& behavior, std::uint64_t size) {
  if (behavior.framing != CrowdFraming::kChunks) return {std::string(size, 'a'), size};
  Piece piece{Chunk(size), size};
  const std::string chunk = piece.bytes;
  while (size == behavior.piece_bytes && piece.bytes.size() + chunk.size() <= kWriteBytes) {
    piece.bytes += chunk;
    piece.body_bytes += size;
  }
  return piece;
}

std::string Head(const CrowdBehavior& behavior, const std::string& id) {
  std::string head = "POST " + behavior.path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
                     "\r\nDeadline-Ms: 10000\r\nModel: m\r\nToken-Count: 100,10\r\nAuthorization: "
                     "Bearer background-key\r\n";
  for (std::uint64_t i = 0; i < behavior.small_field_bytes / kSmallField.size(); ++i) {
    head += kSmallField;
  }
  switch (behavior.framing) {
    case CrowdFraming::kLength:
      return head + "Content-Length: " + std::to_string(behavior.body_bytes) + "\r\n\r\n";
    case CrowdFraming::kChunks:
      return head + "Transfer-Encoding: chunked\r\n\r\n";
    case CrowdFraming::kHeader:
      return head + "Filler: ";
    case CrowdFraming::kPipelined:
      return head + "Content-Length: 0\r\n\r\n";
    case CrowdFraming::kFrame: {
      std::string prefix;
      for (int shift = 24; shift >= 0; shift -= 8) {
        prefix += static_cast<char>((behavior.body_bytes >> shift) & 0xff);
      }
      return prefix;
    }
    case CrowdFraming::kNothing:
      break;
  }
  return "";
}

}  // namespace

ClientCrowd::ClientCrowd(const Address& address, CrowdBehavior behavior)
    : address_(address), behavior_(std::move(behavior)) {
  for (int i = 0; i < behavior_.clients; ++i) asio::co_spawn(io_, Run(i), asio::detached);
  thread_ = std::thread([this] { io_.run(); });
}

ClientCrowd::~ClientCrowd() {
  io_.stop();
  thread_.join();
}

bool ClientCrowd::WaitUntilSent(milliseconds timeout) const {
  return WaitFor(timeout, [this] { return settled_ >= behavior_.clients; });
}

std::map<std::string, int> ClientCrowd::Statuses() const {
  const std::lock_guard lock(mutex_);
  return statuses_;
}

void ClientCrowd::SetStatus(const std::string& id, int status) {
  const std::lock_guard lock(mutex_);
  statuses_[id] = status;
}

Task<void> ClientCrowd::SendRequest(tcp::socket* socket, int number, std::string id) {
  boost::system::error_code error;
  co_await asio::async_write(*socket, asio::buffer(Head(behavior_, id)),
                             asio::redirect_error(asio::use_awaitable, error));
  if (!error && !behavior_.body.empty()) {
    co_await asio::async_write(*socket, asio::buffer(behavior_.body),
                               asio::redirect_error(asio::use_awaitable, error));
    co_return;
  }
  const bool whole = behavior_.whole_every > 0 && number % behavior_.whole_every == 0;
  const std::uint64_t end = whole ? behavior_.body_bytes : behavior_.sent_bytes;
  const Piece full = MakePiece(behavior_, behavior_.piece_bytes);
  for (std::uint64_t sent = 0; !error && sent < end;) {
    const std::uint64_t left = end - sent;
    const Piece last = left < full.body_bytes ? MakePiece(behavior_, left) : Piece();
    const Piece& piece = left < full.body_bytes ? last : full;
    co_await asio::async_write(*socket, asio::buffer(piece.bytes),
                               asio::redirect_error(asio::use_awaitable, error));
    sent += piece.body_bytes;
  }
  if (error || !whole || behavior_.framing != CrowdFraming::kChunks) co_return;
  co_await asio::async_write(*socket, http::make_chunk_last(),
                             asio::redirect_error(asio::use_awaitable, error));
}

Task<void> ClientCrowd::Run(int number) {
  for (int turn = 0; turn == 0 || behavior_.returns; ++turn) {
    const std::string id = "crowd" + std::to_string(number) + "t" + std::to_string(turn);
    tcp::socket socket(io_, tcp::v4());
    boost::system::error_code error;
    co_await socket.async_connect({asio::ip::make_address(address_.ip), address_.port},
                                  asio::redirect_error(asio::use_awaitable, error));
    if (!error) co_await SendRequest(&socket, number, id);
    if (turn == 0) ++settled_;
    std::array<char, 512> block;
    std::string received;
    while (!error) {
      const std::size_t size = co_await socket.async_read_some(
          asio::buffer(block), asio::redirect_error(asio::use_awaitable, error));
      if (received.size() >= kStatusEnd) continue;
      received.append(block.data(), size);
      if (received.size() >= kStatusEnd) SetStatus(id, std::stoi(received.substr(kStatusStart)));
    }
    if (behavior_.returns) co_await Sleep(kReturnDelay);
  }
}

}  // namespace mimosabend::testing
