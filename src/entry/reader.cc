#include "entry/reader.h"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>

namespace vanillaloft::entry {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

namespace {

constexpr std::size_t kMinReadBytes = 512;
constexpr std::size_t kMaxReadBytes = 64UL * 1024;
// An idle connection is closed this much later than the configured idle time, which
// callers are told, so that no request is in flight when the connection closes.
constexpr Duration kIdleCloseMargin = std::chrono::seconds(2);

// A read with a timeout that cancels only the read. The timeout of the stream itself
// would close the connection, so that no error response could be sent to the caller.
struct PendingRead
{
  beast::tcp_stream* mStream; // null once the read has ended
  bool mTimedOut;
};

void CancelOnTimeout(PendingRead& aRead, const Error& aCancelled)
{
  if (!aCancelled && aRead.mStream) {
    aRead.mTimedOut = true;
    aRead.mStream->cancel();
  }
}

// Capacity of a buffer that makes room for aBytes more.
std::size_t CapacityAfter(const beast::flat_buffer& aBuffer, std::size_t aBytes)
{
  std::size_t size = aBuffer.size();
  if (size + aBytes <= aBuffer.capacity()) {
    return aBuffer.capacity();
  }
  return std::min(aBuffer.max_size(), std::max(2 * size, size + aBytes));
}

// Maps an error while reading a request to a result code. Ok: the connection is closed
// without a response, since the caller closed the connection or sent nothing in time.
Result ReadErrorResult(const Error& aError, bool aStarted)
{
  if (aError == http::error::end_of_stream) {
    return Result::Ok;
  }
  if (aError == beast::error::timeout) {
    return aStarted ? Result::RequestTimeout : Result::Ok;
  }
  if (aError == http::error::header_limit || aError == http::error::buffer_overflow) {
    return Result::HeadTooLarge;
  }
  if (aError == http::error::body_limit) {
    return Result::BodyTooLarge;
  }
  if (aError == http::error::partial_message) {
    return Result::BodyIncomplete;
  }
  if (aError == http::error::bad_content_length ||
      aError == http::error::multiple_content_length ||
      aError == http::error::bad_transfer_encoding) {
    return Result::ConflictingLength;
  }
  return aError.category() == http::make_error_code(http::error::bad_method).category()
           ? Result::MalformedRequest
           : Result::Ok;
}

// HTTP forbids a body there, and servers disagree on where such a request ends.
bool IsTraceWithBody(const net::Request& aRequest)
{
  return aRequest.method() == http::verb::trace && !aRequest.body().empty();
}

// Maps a fault of a head to a result code.
Result FaultResult(net::FramingFault aFault)
{
  switch (aFault) {
    case net::FramingFault::Length:
      return Result::ConflictingLength;
    case net::FramingFault::UnknownCoding:
      return Result::UnknownTransferCoding;
    default:
      return Result::MalformedRequest;
  }
}

} // namespace

// Waits until the request may hold aBytes. A connection may always hold a few.
Awaitable<Error> RequestReader::AwaitRoom(Session& aSession, std::size_t aBytes)
{
  while (aBytes > kMaxSpareBytes && !aSession.mHold.GrowMessage(aBytes)) {
    co_await aSession.mHold.Pause();
    if (aSession.mHold.MustEnd() || aSession.mCutByStop) {
      co_return asio::error::operation_aborted;
    }
    if (!aSession.mStream.socket().is_open()) {
      co_return http::error::end_of_stream;
    }
    if (std::chrono::steady_clock::now() >= aSession.mReadEnd) {
      co_return beast::error::timeout;
    }
  }
  co_return Error();
}

// Reads bytes into the buffer once there is room for them. aBodyBytes: held beside it.
Awaitable<Error> RequestReader::FillBuffer(Session& aSession, std::size_t aBodyBytes)
{
  beast::flat_buffer& buffer = aSession.mBuffer;
  std::size_t spare = buffer.capacity() - buffer.size();
  std::size_t size = std::min(std::clamp(spare, kMinReadBytes, kMaxReadBytes),
                              buffer.max_size() - buffer.size());
  if (size == 0) {
    co_return http::error::buffer_overflow;
  }
  Error error = co_await AwaitRoom(aSession, aBodyBytes + CapacityAfter(buffer, size));
  if (error) {
    co_return error;
  }
  std::size_t count = co_await aSession.mStream.async_read_some(
    buffer.prepare(size), asio::redirect_error(asio::use_awaitable, error));
  buffer.commit(count);
  aSession.mMovedAt = mCore.Now();
  aSession.mHold.RecordProgress(count);
  co_return error;
}

Awaitable<ReadOutcome> RequestReader::Read(Session& aSession)
{
  decide::CallerLimits limits;
  if (mCore.Config()) {
    limits = mCore.Config()->mLimits;
  }
  std::size_t headBytes =
    limits.mHeadBytes > 0 ? limits.mHeadBytes : kDefaultMaxHeadBytes;
  aSession.mBuffer.max_size(headBytes + net::kMaxUnparsedBytes);
  RequestParser parser;
  parser.header_limit(static_cast<std::uint32_t>(headBytes));
  parser.body_limit(limits.mBodyBytes > 0 ? limits.mBodyBytes : kDefaultMaxBodyBytes);
  auto read = std::make_shared<PendingRead>(PendingRead{ &aSession.mStream, false });
  Duration limit = limits.mIdleTime > Duration::zero()
                     ? limits.mIdleTime + kIdleCloseMargin
                     : mCore.mSettings.mRequestTimeout;
  asio::steady_timer timer(mCore.mContext, limit);
  timer.async_wait(
    [read](const Error& aCancelled) { CancelOnTimeout(*read, aCancelled); });
  aSession.mReadEnd = timer.expiry();
  aSession.mStream.expires_never();
  aSession.mParser = &parser;
  auto endWait = [&] {
    if (aSession.HasPartialRequest()) {
      aSession.mCutByStop = true;
      aSession.mStream.cancel();
    }
  };
  WaitRegistration wait(mCore.mWaits, { decide::StopWait::Arrival, endWait });
  net::HeadScanner head(net::MessageKind::Request);
  Error error = co_await ReadHead(aSession, headBytes, head);
  bool started = aSession.mBuffer.size() > 0;
  if (!error && head.Fault() == net::FramingFault::None) {
    error = co_await ReadMessage(aSession, parser);
  }
  aSession.mParser = nullptr;
  read->mStream = nullptr;
  timer.cancel();
  ReadOutcome outcome;
  if (aSession.mHold.MustEnd()) {
    outcome.mFailure = Result::MemoryFull;
    outcome.mClosed = !started;
  } else if (error && aSession.mCutByStop) {
    outcome.mFailure = Result::NotReady;
  } else if (head.Fault() != net::FramingFault::None) {
    outcome.mFailure = FaultResult(head.Fault());
  } else if (error) {
    Error cause = read->mTimedOut ? Error(beast::error::timeout) : error;
    outcome.mFailure = ReadErrorResult(cause, started);
    outcome.mClosed = outcome.mFailure == Result::Ok;
  } else if (IsTraceWithBody(parser.get())) {
    outcome.mFailure = Result::MethodNotAllowed;
  } else {
    outcome.mRequest = parser.ReleaseMessage();
  }
  co_return outcome;
}

// Reads until the head is complete or has a fault. Returns the error that ended the read.
Awaitable<Error> RequestReader::ReadHead(Session& aSession,
                                         std::size_t aMaxBytes,
                                         net::HeadScanner& aScanner)
{
  Error error;
  while (!aScanner.Scan(net::BytesOf(aSession.mBuffer))) {
    if (aSession.mBuffer.size() > aMaxBytes) {
      co_return http::error::header_limit;
    }
    error = co_await FillBuffer(aSession, 0);
    if (error == asio::error::eof) {
      co_return aSession.mBuffer.size() > 0 ? http::error::partial_message
                                            : http::error::end_of_stream;
    }
    if (error) {
      co_return error;
    }
  }
  co_return error;
}

// Reads a request whose head is in the buffer. Bytes that are in the buffer come first.
Awaitable<Error> RequestReader::ReadMessage(Session& aSession, RequestParser& aParser)
{
  beast::flat_buffer& buffer = aSession.mBuffer;
  aParser.eager(true);
  while (!aParser.is_done()) {
    Error error;
    if (buffer.size() > 0) {
      buffer.consume(aParser.put(buffer.data(), error));
    }
    if (error && error != http::error::need_more) {
      co_return error;
    }
    if (aParser.is_done()) {
      break;
    }
    error = co_await FillBuffer(aSession, aParser.get().body().size());
    if (error == asio::error::eof) {
      co_return http::error::partial_message;
    }
    if (error) {
      co_return error;
    }
  }
  co_return Error();
}

} // namespace vanillaloft::entry
