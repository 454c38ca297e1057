#include "entry/session.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "entry/dump.h"

namespace vanillaloft::entry {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

namespace {

constexpr std::chrono::seconds kWriteTimeout{ 10 };
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 50 };
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

} // namespace

namespace {

void BindAndListen(asio::ip::tcp::acceptor& aAcceptor, const base::HostPort& aAt)
{
  asio::ip::tcp::endpoint address(asio::ip::make_address(aAt.mHost), aAt.mPort);
  aAcceptor.open(address.protocol());
  aAcceptor.set_option(asio::socket_base::reuse_address(true));
  aAcceptor.bind(address);
  aAcceptor.listen();
}

// True if the peer has closed its side of the connection; false while unread bytes wait
// or nothing has arrived. Consumes no bytes.
bool PeerHasClosed(asio::ip::tcp::socket& aSocket)
{
  Error error;
  char byte = 0;
  aSocket.non_blocking(true, error);
  std::size_t count =
    aSocket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error != asio::error::would_block && (error || count == 0);
}

// Records in aConnection that the caller closed its connection while the request is
// served, and calls mOnDisconnect. A pipelined request ends the watch, since a close
// after it cannot be detected without reading it.
void WatchForDisconnect(asio::ip::tcp::socket& aSocket,
                        const std::shared_ptr<CallerConnection>& aConnection)
{
  std::weak_ptr<CallerConnection> watched = aConnection;
  aSocket.async_wait(asio::socket_base::wait_read,
                     [&aSocket, watched](const Error& aEnded) {
                       std::shared_ptr<CallerConnection> connection = watched.lock();
                       if (aEnded || !connection || !PeerHasClosed(aSocket)) {
                         return;
                       }
                       connection->mDisconnected = true;
                       if (connection->mOnDisconnect) {
                         connection->mOnDisconnect();
                       }
                     });
}

} // namespace

Listener::Listener(Core& aCore, const Format& aFormat)
  : mCore(aCore)
  , mFormat(aFormat)
{
}

void Listener::Open(const base::HostPort& aAt, Handler aHandler)
{
  mEndpoints.push_back({ Acceptor(mCore.mContext), std::move(aHandler) });
  BindAndListen(mEndpoints.back().mAcceptor, aAt);
  asio::co_spawn(mCore.mContext, AcceptConnections(mEndpoints.back()), asio::detached);
}

void Listener::Close()
{
  for (Endpoint& endpoint : mEndpoints) {
    endpoint.mAcceptor.close();
  }
}

Awaitable<void> Listener::AcceptConnections(Endpoint& aEndpoint)
{
  while (aEndpoint.mAcceptor.is_open()) {
    Error error;
    auto socket = co_await aEndpoint.mAcceptor.async_accept(
      asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      // E.g. out of file descriptors: keep serving open connections and retry.
      asio::steady_timer retryTimer(mCore.mContext, kAcceptRetryDelay);
      co_await retryTimer.async_wait(asio::use_awaitable);
      continue;
    }
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    net::EnableDeadPeerDetection(socket);
    asio::co_spawn(mCore.mContext,
                   ServeConnection(std::move(socket), aEndpoint.mHandler),
                   asio::detached);
  }
}

Awaitable<Listener::ReadOutcome> Listener::ReadRequest(Stream& aStream,
                                                       beast::flat_buffer& aBuffer)
{
  decide::CallerLimits limits;
  if (mCore.Config()) {
    limits = mCore.Config()->mLimits;
  }
  http::request_parser<http::string_body> parser;
  parser.header_limit(static_cast<std::uint32_t>(
    limits.mHeadBytes > 0 ? limits.mHeadBytes : kDefaultMaxHeadBytes));
  parser.body_limit(limits.mBodyBytes > 0 ? limits.mBodyBytes : kDefaultMaxBodyBytes);
  auto read = std::make_shared<PendingRead>(PendingRead{ &aStream, false });
  Duration limit = limits.mIdleTime > Duration::zero()
                     ? limits.mIdleTime + kIdleCloseMargin
                     : mCore.mSettings.mRequestTimeout;
  asio::steady_timer timer(mCore.mContext, limit);
  timer.async_wait(
    [read](const Error& aCancelled) { CancelOnTimeout(*read, aCancelled); });
  aStream.expires_never();
  Error error;
  co_await http::async_read(
    aStream, aBuffer, parser, asio::redirect_error(asio::use_awaitable, error));
  read->mStream = nullptr;
  timer.cancel();
  ReadOutcome outcome;
  if (error) {
    Error cause = read->mTimedOut ? Error(beast::error::timeout) : error;
    outcome.mFailure = ReadErrorResult(cause, parser.got_some());
    outcome.mClosed = outcome.mFailure == Result::Ok;
  } else {
    outcome.mRequest = parser.release();
  }
  co_return outcome;
}

Awaitable<net::Response> Listener::HandleRequest(Stream& aStream,
                                                 const Handler& aHandler,
                                                 net::Request aRequest)
{
  Error error;
  auto remote = aStream.socket().remote_endpoint(error).address();
  auto connection = std::make_shared<CallerConnection>();
  connection->mAddress = remote.is_v4() ? remote.to_v4().to_uint() : 0;
  connection->mProbeClosed = [&aStream] { return PeerHasClosed(aStream.socket()); };
  WatchForDisconnect(aStream.socket(), connection);
  net::Response response;
  try {
    response = co_await aHandler(std::move(aRequest), *connection);
  } catch (const std::exception& failure) {
    // It is unknown whether the request ran, so the result must not promise that it did
    // not.
    base::Log(spdlog::level::err, base::Event::RequestBroken, "cause={}", failure.what());
    decide::Outcome outcome;
    outcome.mResult = Result::AnswerLost;
    response = mFormat.ToCaller(std::move(outcome));
  }
  aStream.socket().cancel(error);
  co_return response;
}

// Serves requests one after the other, also if they arrive pipelined. Closes the
// connection after a request that could not be read completely, since the bytes that
// follow it cannot be trusted.
Awaitable<void> Listener::ServeConnection(asio::ip::tcp::socket aSocket,
                                          const Handler& aHandler)
{
  Stream stream(std::move(aSocket));
  beast::flat_buffer buffer;
  bool keepAlive = true;
  Error error;
  while (keepAlive) {
    ReadOutcome received = co_await ReadRequest(stream, buffer);
    if (received.mClosed) {
      break;
    }
    net::Response response;
    keepAlive = false;
    if (received.mFailure != Result::Ok) {
      decide::Outcome refusal;
      refusal.mResult = received.mFailure;
      response = mFormat.ToCaller(std::move(refusal));
    } else {
      keepAlive = received.mRequest.keep_alive();
      response = co_await HandleRequest(stream, aHandler, std::move(received.mRequest));
    }
    keepAlive = keepAlive && !mCore.mLeaving;
    response.keep_alive(keepAlive);
    response.prepare_payload();
    stream.expires_after(kWriteTimeout);
    co_await http::async_write(
      stream, response, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      break;
    }
  }
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
}

net::Response NativeApi::Lookup(const net::Request& aRequest, std::uint32_t aClient) const
{
  Exchange exchange = mFormat.FromCaller(aRequest);
  decide::Outcome outcome;
  try {
    if (!exchange.mHasKey) {
      throw base::RequestError(Result::KeyMissing);
    }
    outcome.mBody = mLookUps.Handle(aRequest, aClient, exchange.mKey);
    outcome.mResult = Result::Ok;
    outcome.mStatus = unsigned(http::status::ok);
    outcome.mContentType = "application/json";
  } catch (const base::RequestError& error) {
    outcome.mResult = error.Code();
  }
  return mFormat.ToCaller(std::move(outcome));
}

Awaitable<net::Response> NativeApi::HandleCaller(net::Request aRequest,
                                                 CallerConnection& aConnection)
{
  if (ToStringView(aRequest.target()).starts_with("/v1/lookup")) {
    co_return Lookup(aRequest, aConnection.mAddress);
  }
  Exchange exchange = mFormat.FromCaller(std::move(aRequest));
  exchange.mRequestId = fmt::format("{:x}-{}", mCore.Self().mStartId, ++mRequestCount);
  exchange.mArrival = mCore.Now();
  exchange.mCaller = &aConnection;
  co_return mFormat.ToCaller(co_await mPipeline.Serve(std::move(exchange)));
}

Awaitable<net::Response> NativeApi::HandleOperator(net::Request aRequest)
{
  net::Response response(http::status::ok, net::kHttp11);
  std::string_view target = ToStringView(aRequest.target());
  if (target == "/state") {
    response.set(http::field::content_type, "application/json");
    response.body() = DumpState(mCore);
  } else if (target == "/metrics") {
    RefreshGauges(mCore);
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.body() = mCore.mMetrics.Text();
  } else if (target == "/ready") {
    response.result(mCore.IsReady() ? http::status::ok
                                    : http::status::service_unavailable);
    response.body() = mCore.IsReady() ? "ready\n" : "not ready\n";
  } else {
    decide::Outcome refusal;
    refusal.mResult = Result::UnknownRoute;
    response = mFormat.ToCaller(std::move(refusal));
  }
  co_return response;
}

} // namespace vanillaloft::entry
