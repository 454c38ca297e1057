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
constexpr std::chrono::milliseconds kAcceptPause{ 50 };
// An idle connection is closed this much later than callers are told, so that none of
// their requests crosses the closing.
constexpr Duration kIdleMargin = std::chrono::seconds(2);

// A request that is being read. The stream's own timeout would close the connection, so
// that the caller could not be told why; this one only ends the read.
struct Reading
{
  beast::tcp_stream* mStream; // null once the read has ended
  bool mTimedOut;
};

void EndReading(Reading& aReading, const Error& aCancelled)
{
  if (!aCancelled && aReading.mStream) {
    aReading.mTimedOut = true;
    aReading.mStream->cancel();
  }
}

// The result code for an error while a request is read; Ok if the caller just went away.
Result ReadFailure(const Error& aError, bool aStarted)
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

void Bind(asio::ip::tcp::acceptor& aAcceptor, const base::HostPort& aAt)
{
  asio::ip::tcp::endpoint at(asio::ip::make_address(aAt.mHost), aAt.mPort);
  aAcceptor.open(at.protocol());
  aAcceptor.set_option(asio::socket_base::reuse_address(true));
  aAcceptor.bind(at);
  aAcceptor.listen();
}

// True if the peer has closed its side; false while bytes wait or nothing has happened.
bool HasClosed(asio::ip::tcp::socket& aSocket)
{
  Error error;
  char byte = 0;
  aSocket.non_blocking(true, error);
  std::size_t count =
    aSocket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error != asio::error::would_block && (error || count == 0);
}

// Watches for the caller's closing while its request is served. Bytes of a next request
// end the watch, since what comes behind them cannot be seen.
void WatchForClosing(asio::ip::tcp::socket& aSocket,
                     const std::shared_ptr<CallerConnection>& aLink)
{
  std::weak_ptr<CallerConnection> watched = aLink;
  aSocket.async_wait(asio::socket_base::wait_read,
                     [&aSocket, watched](const Error& aEnded) {
                       std::shared_ptr<CallerConnection> link = watched.lock();
                       if (aEnded || !link || !HasClosed(aSocket)) {
                         return;
                       }
                       link->mDisconnected = true;
                       if (link->mOnDisconnect) {
                         link->mOnDisconnect();
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
  mPorts.push_back({ Acceptor(mCore.mContext), std::move(aHandler) });
  Bind(mPorts.back().mAcceptor, aAt);
  asio::co_spawn(mCore.mContext, Accept(mPorts.back()), asio::detached);
}

void Listener::Close()
{
  for (Port& port : mPorts) {
    port.mAcceptor.close();
  }
}

Awaitable<void> Listener::Accept(Port& aPort)
{
  while (aPort.mAcceptor.is_open()) {
    Error error;
    auto socket = co_await aPort.mAcceptor.async_accept(
      asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) { // out of descriptors, for one: serve who is here and try again
      asio::steady_timer pause(mCore.mContext, kAcceptPause);
      co_await pause.async_wait(asio::use_awaitable);
      continue;
    }
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    net::LimitSilence(socket);
    asio::co_spawn(
      mCore.mContext, Session(std::move(socket), aPort.mHandler), asio::detached);
  }
}

Awaitable<Listener::Received> Listener::Receive(Stream& aStream,
                                                beast::flat_buffer& aBuffer)
{
  decide::CallerLimits limits;
  if (mCore.Config()) {
    limits = mCore.Config()->mLimits;
  }
  http::request_parser<http::string_body> parser;
  parser.header_limit(
    static_cast<std::uint32_t>(limits.mHeadBytes > 0 ? limits.mHeadBytes : kLargestHead));
  parser.body_limit(limits.mBodyBytes > 0 ? limits.mBodyBytes : kLargestBody);
  auto reading = std::make_shared<Reading>(Reading{ &aStream, false });
  Duration limit = limits.mIdleTime > Duration::zero() ? limits.mIdleTime + kIdleMargin
                                                       : mCore.mSettings.mRequestTimeout;
  asio::steady_timer timer(mCore.mContext, limit);
  timer.async_wait(
    [reading](const Error& aCancelled) { EndReading(*reading, aCancelled); });
  aStream.expires_never();
  Error error;
  co_await http::async_read(
    aStream, aBuffer, parser, asio::redirect_error(asio::use_awaitable, error));
  reading->mStream = nullptr;
  timer.cancel();
  Received received;
  if (error) {
    Error cause = reading->mTimedOut ? Error(beast::error::timeout) : error;
    received.mFailure = ReadFailure(cause, parser.got_some());
    received.mClosed = received.mFailure == Result::Ok;
  } else {
    received.mRequest = parser.release();
  }
  co_return received;
}

Awaitable<net::Response> Listener::Handle(Stream& aStream,
                                          const Handler& aHandler,
                                          net::Request aRequest)
{
  Error error;
  auto remote = aStream.socket().remote_endpoint(error).address();
  auto link = std::make_shared<CallerConnection>();
  link->mAddress = remote.is_v4() ? remote.to_v4().to_uint() : 0;
  link->mProbeClosed = [&aStream] { return HasClosed(aStream.socket()); };
  WatchForClosing(aStream.socket(), link);
  net::Response response;
  try {
    response = co_await aHandler(std::move(aRequest), *link);
  } catch (const std::exception& failure) {
    // Nothing is known about what became of the request, so nothing is promised.
    base::Log(spdlog::level::err, base::Event::RequestBroken, "cause={}", failure.what());
    decide::Outcome outcome;
    outcome.mResult = Result::AnswerLost;
    response = mFormat.ToCaller(std::move(outcome));
  }
  aStream.socket().cancel(error);
  co_return response;
}

// One request after the other, also when they arrive pipelined. After a request that
// could not be read whole the connection is closed: what follows on it cannot be trusted.
Awaitable<void> Listener::Session(asio::ip::tcp::socket aSocket, const Handler& aHandler)
{
  Stream stream(std::move(aSocket));
  beast::flat_buffer buffer;
  bool keepAlive = true;
  Error error;
  while (keepAlive) {
    Received received = co_await Receive(stream, buffer);
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
      response = co_await Handle(stream, aHandler, std::move(received.mRequest));
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

net::Response OwnApi::LookUp(const net::Request& aRequest, std::uint32_t aClient) const
{
  Exchange exchange = mFormat.FromCaller(aRequest);
  decide::Outcome outcome;
  try {
    if (!exchange.mHasKey) {
      throw base::RequestError(Result::KeyMissing);
    }
    outcome.mBody = mLookUps.Answer(aRequest, aClient, exchange.mKey);
    outcome.mResult = Result::Ok;
    outcome.mStatus = unsigned(http::status::ok);
    outcome.mContentType = "application/json";
  } catch (const base::RequestError& error) {
    outcome.mResult = error.Code();
  }
  return mFormat.ToCaller(std::move(outcome));
}

Awaitable<net::Response> OwnApi::Caller(net::Request aRequest, CallerConnection& aLink)
{
  if (View(aRequest.target()).starts_with("/v1/lookup")) {
    co_return LookUp(aRequest, aLink.mAddress);
  }
  Exchange exchange = mFormat.FromCaller(std::move(aRequest));
  exchange.mRequestId = fmt::format("{:x}-{}", mCore.Self().mStartId, ++mRequests);
  exchange.mArrival = mCore.Now();
  exchange.mCaller = &aLink;
  co_return mFormat.ToCaller(co_await mPipeline.Serve(std::move(exchange)));
}

Awaitable<net::Response> OwnApi::Operator(net::Request aRequest)
{
  net::Response response(http::status::ok, net::kHttp11);
  std::string_view target = View(aRequest.target());
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
