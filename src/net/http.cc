#include "net/http.h"

#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

namespace vanillaloft::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

using Clock = std::chrono::steady_clock;
using Error = boost::system::error_code;

constexpr std::string_view kProtocol = "HTTP/1.";
constexpr std::size_t kReadBytes = 16UL * 1024;
// A body up to this size fits into the socket's buffers, so it is sent at once.
constexpr std::size_t kLongBodyBytes = 16UL * 1024;
constexpr unsigned kMaxInterimResponses = 16; // before one final response
// A response that is still arriving at the call's time limit may complete within this
// time, since a process that was delayed finds its bytes already in the socket buffer.
constexpr std::chrono::milliseconds kCompletionGrace{ 250 };

void ThrowOnError(const Error& aError, Stage aStage)
{
  if (aError) {
    throw CallError(aStage, aError == beast::error::timeout, aError.message());
  }
}

// Returns whether a write failed because the connection did, before the peer ended its
// side. A reset that comes after that end is a broken pipe for a write. The other errors
// here are those of a write that was cut short by closing the connection.
bool BrokeConnection(const Error& aSendError)
{
  return aSendError && aSendError != asio::error::broken_pipe &&
         aSendError != asio::error::operation_aborted &&
         aSendError != asio::error::bad_descriptor;
}

} // namespace

void EnableDeadPeerDetection(asio::ip::tcp::socket& aSocket)
{
  constexpr int kProbes = 2;
  int limit = static_cast<int>(kDeadPeerTimeout.count());
  int interval = limit / 1000 / (kProbes + 1);
  int fd = aSocket.native_handle();
  int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval, sizeof interval);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof kProbes);
}

Connection::Connection(const asio::any_io_executor& aExecutor)
  : mStream(aExecutor)
  , mSendingEnds(aExecutor, Clock::time_point::max())
{
}

Awaitable<void> Connection::Connect(base::HostPort aTo,
                                    std::chrono::milliseconds aTimeout)
{
  Error error;
  asio::ip::tcp::endpoint to(asio::ip::make_address(aTo.mHost), aTo.mPort);
  mStream.expires_after(aTimeout);
  co_await mStream.async_connect(to, asio::redirect_error(asio::use_awaitable, error));
  ThrowOnError(error, Stage::Connect);
  mStream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  ThrowOnError(error, Stage::Connect);
  EnableDeadPeerDetection(mStream.socket());
  mReusable = true;
}

Awaitable<Response> Connection::Call(const Request& aRequest,
                                     std::chrono::milliseconds aTimeout)
{
  return Call(aRequest, aTimeout, aTimeout);
}

// Waits for bytes, reads those available and parses them. Throws CallError.
Awaitable<void> Connection::ReadSome(Parser& aParser)
{
  Error error;
  std::size_t size = co_await mStream.async_read_some(
    mBuffer.prepare(kReadBytes), asio::redirect_error(asio::use_awaitable, error));
  if (error == asio::error::eof && aParser.got_some()) {
    aParser.put_eof(error);
    ThrowOnError(error, Stage::Sent);
    co_await ConfirmEnd();
    co_return;
  }
  ThrowOnError(error, Stage::Sent);
  mBuffer.commit(size);
  ParseBuffer(aParser);
}

Awaitable<void> Connection::StopSending()
{
  if (mSending) {
    mReusable = false;
    Close();
    Error cancelled;
    co_await mSendingEnds.async_wait(
      asio::redirect_error(asio::use_awaitable, cancelled));
  }
}

// The kernel reports the failure of a connection once. If a write is told of it, the read
// after it returns an ordinary end of the stream.
Awaitable<void> Connection::ConfirmEnd()
{
  co_await StopSending();
  if (BrokeConnection(mSendError)) {
    throw CallError(
      Stage::Sent, false, "the response broke off: " + mSendError.message());
  }
}

// Returns true once the buffer contains the whole head. Throws CallError if the bytes are
// no response, or if the head has no valid status, can be understood in two ways, since
// it tells no length then, or is too large.
bool Connection::HasWholeHead(HeadScanner& aHead)
{
  std::string_view bytes = BytesOf(mBuffer);
  bool scanned = aHead.Scan(bytes);
  bool isResponse = bytes.starts_with(kProtocol) || kProtocol.starts_with(bytes);
  bool tooLarge = !scanned && bytes.size() > kMaxUnparsedBytes;
  if (aHead.Fault() != FramingFault::None || !isResponse || tooLarge) {
    Close();
    throw CallError(Stage::Sent, false, "the head of the response is malformed");
  }
  return scanned;
}

// Parses the received bytes. Bytes behind the end of the response stay in the buffer. The
// parser gets no part of a head, because it consumes each whole field and the scanner
// reads the head from its beginning.
void Connection::ParseBuffer(Parser& aParser)
{
  if (!aParser.is_header_done() && !HasWholeHead(aParser.mHead)) {
    return;
  }
  Error error;
  mBuffer.consume(aParser.put(mBuffer.data(), error));
  if (error != http::error::need_more) {
    ThrowOnError(error, Stage::Sent);
  }
  if (!aParser.is_done() && mBuffer.size() > kMaxUnparsedBytes) {
    Close();
    throw CallError(Stage::Sent, false, "a chunk's head or the trailers are too large");
  }
}

// Waits until the budget has room for the next read. Meanwhile the peer's bytes stay in
// the socket buffer, and a full one stops the peer.
Awaitable<void> Connection::PauseForRoom(const Parser& aParser, ReadLimits aLimits)
{
  std::size_t held = aParser.get().body().size() + mBuffer.size() + kReadBytes;
  while (!mBudget->Grow(held)) {
    co_await mBudget->Pause();
    if (!mStream.socket().is_open()) {
      throw CallError(Stage::Sent, false, "the call was aborted");
    }
    if (Clock::now() >= aLimits.mEnd) {
      Close();
      throw CallError(
        Stage::Sent, true, "no room for the response within the time limit");
    }
  }
}

// The stream's timeout only ends a read that waits for bytes. It never expires while
// bytes keep arriving, so the loop checks the clock as well.
Awaitable<Response> Connection::ReadResponse(ReadLimits aLimits)
{
  Parser parser;
  parser.body_limit(kMaxResponseBodyBytes);
  parser.skip(aLimits.mWithoutBody);
  parser.eager(true);
  if (mBuffer.size() > 0) {
    ParseBuffer(parser);
  }
  while (!parser.is_done()) {
    Clock::time_point now = Clock::now();
    if (now >= aLimits.mEnd + kCompletionGrace) {
      Close();
      throw CallError(
        Stage::Sent, true, "the response did not complete within the time limit");
    }
    if (mBudget) {
      co_await PauseForRoom(parser, aLimits);
      now = Clock::now();
    }
    mStream.expires_at(std::min(aLimits.mEnd, now + aLimits.mStall));
    co_await ReadSome(parser);
  }
  co_return parser.ReleaseMessage();
}

// Interim responses such as "100 Continue" are skipped.
Awaitable<Response> Connection::ReadFinalResponse(ReadLimits aLimits)
{
  for (unsigned skipped = 0; skipped <= kMaxInterimResponses; ++skipped) {
    Response response = co_await ReadResponse(aLimits);
    if (response.result_int() >= kMinFinalStatus) {
      ++mResponsesRead;
      mReusable = response.keep_alive();
      co_return response;
    }
  }
  Close();
  throw CallError(Stage::Sent, false, "too many interim responses");
}

template<typename Message>
void Connection::BeginCall(const Message& aRequest,
                           std::chrono::milliseconds aTimeout,
                           std::chrono::milliseconds aStallTimeout)
{
  mReusable = false;
  mSendError = {};
  mLimits = { Clock::now() + aTimeout,
              aStallTimeout,
              aRequest.method() == http::verb::head };
}

template<typename Message>
Awaitable<Response> Connection::SendAndRead(const Message& aRequest,
                                            std::chrono::milliseconds aTimeout,
                                            std::chrono::milliseconds aStallTimeout)
{
  Error error;
  BeginCall(aRequest, aTimeout, aStallTimeout);
  mStream.expires_at(mLimits.mEnd);
  mSending = true;
  co_await http::async_write(
    mStream, aRequest, asio::redirect_error(asio::use_awaitable, error));
  mSending = false;
  ThrowOnError(error, Stage::Sent);
  co_return co_await ReadFinalResponse(mLimits);
}

// The time limit is that of the read. A write that fails does not end the call, because
// the response may have arrived before; if it has not, the read fails as well.
template<typename Message>
Awaitable<Response> Connection::SendWhileReading(const Message& aRequest,
                                                 std::chrono::milliseconds aTimeout)
{
  BeginCall(aRequest, aTimeout, aTimeout);
  mStream.expires_never();
  mSending = true;
  http::async_write(mStream, aRequest, [this](const Error& aError, std::size_t) {
    mSending = false;
    mSendError = aError;
    mSendingEnds.cancel();
  });
  Response response;
  std::exception_ptr failure;
  try {
    response = co_await ReadFinalResponse(mLimits);
  } catch (...) {
    failure = std::current_exception();
  }
  co_await StopSending();
  if (failure) {
    std::rethrow_exception(failure);
  }
  co_return response;
}

void Connection::CloseIfSending()
{
  if (mSending) {
    Close();
  }
}

Awaitable<Response> Connection::Call(const Request& aRequest,
                                     std::chrono::milliseconds aTimeout,
                                     std::chrono::milliseconds aStallTimeout)
{
  co_return co_await SendAndRead(aRequest, aTimeout, aStallTimeout);
}

Awaitable<Response> Connection::Call(const Request& aHead,
                                     std::string_view aBody,
                                     std::chrono::milliseconds aTimeout)
{
  http::request<http::span_body<const char>> message(aHead.base());
  message.body() = beast::span<const char>(aBody.data(), aBody.size());
  message.prepare_payload();
  if (aBody.size() > kLongBodyBytes) {
    co_return co_await SendWhileReading(message, aTimeout);
  }
  co_return co_await SendAndRead(message, aTimeout, aTimeout);
}

Awaitable<Response> Connection::ReadNext(std::chrono::milliseconds aTimeout)
{
  mReusable = false;
  mLimits.mEnd = Clock::now() + aTimeout;
  co_return co_await ReadFinalResponse(mLimits);
}

bool Connection::IsReusable()
{
  if (!mReusable || mBuffer.size() > 0) {
    return false;
  }
  Error error;
  char byte = 0;
  asio::ip::tcp::socket& socket = mStream.socket();
  socket.non_blocking(true, error);
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

Awaitable<Response> CallOnce(base::HostPort aTo,
                             Request aRequest,
                             std::chrono::milliseconds aTimeout)
{
  return CallOnce(std::move(aTo), std::move(aRequest), aTimeout, aTimeout);
}

// Connects a handle with the connection of a call during its life.
class CallHandleUse
{
public:
  CallHandleUse(std::shared_ptr<CallHandle> aHandle, Connection& aConnection)
    : mHandle(std::move(aHandle))
  {
    if (mHandle) {
      mHandle->mConnection = &aConnection;
    }
  }
  ~CallHandleUse()
  {
    if (mHandle) {
      mHandle->mConnection = nullptr;
    }
  }
  CallHandleUse(const CallHandleUse&) = delete;
  CallHandleUse& operator=(const CallHandleUse&) = delete;

private:
  std::shared_ptr<CallHandle> mHandle;
};

Awaitable<Response> CallOnce(base::HostPort aTo,
                             Request aRequest,
                             std::chrono::milliseconds aTimeout,
                             std::chrono::milliseconds aStallTimeout,
                             std::shared_ptr<CallHandle> aHandle)
{
  Connection connection(co_await asio::this_coro::executor);
  CallHandleUse use(std::move(aHandle), connection);
  co_await connection.Connect(aTo, std::min(aTimeout, kConnectTimeout));
  aRequest.set(http::field::host, aTo.mHost);
  aRequest.keep_alive(false);
  aRequest.prepare_payload();
  co_return co_await connection.Call(aRequest, aTimeout, aStallTimeout);
}

} // namespace vanillaloft::net
