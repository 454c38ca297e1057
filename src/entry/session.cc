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
#include <nlohmann/json.hpp>

#include "entry/dump.h"

namespace vanillaloft::entry {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::chrono::seconds kWriteTimeout{ 10 };
constexpr std::chrono::milliseconds kAcceptPause{ 50 };

std::string_view View(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

// The presented key, if any.
std::optional<std::string> KeyOf(const net::Request& aRequest)
{
  std::string_view value = View(aRequest[http::field::authorization]);
  if (!value.starts_with(kBearer)) {
    return std::nullopt;
  }
  return std::string(value.substr(kBearer.size()));
}

net::Response Refusal(Result aResult)
{
  const base::ResultRow& row = base::Row(aResult);
  nlohmann::json body = { { "result", static_cast<unsigned>(aResult) },
                          { "name", row.mName },
                          { "ran", base::Name(row.mRan) },
                          { "meaning", row.mMeaning } };
  net::Response response(http::int_to_status(row.mStatus), net::kHttp11);
  response.set(http::field::content_type, "application/json");
  if (aResult == Result::RateExceeded) {
    response.set(http::field::retry_after, "1");
  }
  response.body() = body.dump() + "\n";
  return response;
}

net::Response ToResponse(decide::Outcome aOutcome)
{
  if (aOutcome.mResult != Result::Ok) {
    return Refusal(aOutcome.mResult);
  }
  net::Response response(http::int_to_status(aOutcome.mStatus), net::kHttp11);
  if (!aOutcome.mContentType.empty()) {
    response.set(http::field::content_type, aOutcome.mContentType);
  }
  response.body() = std::move(aOutcome.mBody);
  return response;
}

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

Listener::Listener(Core& aCore, Pipeline& aPipeline, LookUps& aLookUps)
  : mCore(aCore)
  , mPipeline(aPipeline)
  , mLookUps(aLookUps)
  , mAcceptor(aCore.mContext)
  , mAdminAcceptor(aCore.mContext)
{
}

namespace {

void Bind(asio::ip::tcp::acceptor& aAcceptor, const base::HostPort& aAt)
{
  asio::ip::tcp::endpoint at(asio::ip::make_address(aAt.mHost), aAt.mPort);
  aAcceptor.open(at.protocol());
  aAcceptor.set_option(asio::socket_base::reuse_address(true));
  aAcceptor.bind(at);
  aAcceptor.listen();
}

} // namespace

void Listener::Open(base::HostPort aAt)
{
  Bind(mAcceptor, aAt);
  asio::co_spawn(mCore.mContext, Accept(mAcceptor, &Listener::Caller), asio::detached);
}

void Listener::OpenAdmin(base::HostPort aAt)
{
  Bind(mAdminAcceptor, aAt);
  asio::co_spawn(
    mCore.mContext, Accept(mAdminAcceptor, &Listener::Admin), asio::detached);
}

void Listener::Close()
{
  mAcceptor.close();
}

Awaitable<void> Listener::Accept(Acceptor& aAcceptor, Handle aHandle)
{
  while (aAcceptor.is_open()) {
    Error error;
    auto socket =
      co_await aAcceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) { // out of descriptors, for one: serve who is here and try again
      asio::steady_timer pause(mCore.mContext, kAcceptPause);
      co_await pause.async_wait(asio::use_awaitable);
      continue;
    }
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    asio::co_spawn(mCore.mContext, Session(std::move(socket), aHandle), asio::detached);
  }
}

// One request after the other, also when they arrive pipelined. After a request that
// could not be read whole the connection is closed: what follows on it cannot be trusted.
Awaitable<void> Listener::Session(asio::ip::tcp::socket aSocket, Handle aHandle)
{
  Error error;
  auto remote = aSocket.remote_endpoint(error).address();
  std::uint32_t client = remote.is_v4() ? remote.to_v4().to_uint() : 0;
  beast::tcp_stream stream(std::move(aSocket));
  beast::flat_buffer buffer;
  bool keepAlive = true;
  while (keepAlive) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(kLargestHead);
    parser.body_limit(kLargestBody);
    auto reading = std::make_shared<Reading>(Reading{ &stream, false });
    asio::steady_timer timer(mCore.mContext, mCore.mSettings.mRequestTimeout);
    timer.async_wait(
      [reading](const Error& aCancelled) { EndReading(*reading, aCancelled); });
    stream.expires_never();
    co_await http::async_read(
      stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    reading->mStream = nullptr;
    timer.cancel();
    net::Response response;
    if (error) {
      Error cause = reading->mTimedOut ? Error(beast::error::timeout) : error;
      Result failure = ReadFailure(cause, parser.got_some());
      if (failure == Result::Ok) {
        break;
      }
      response = Refusal(failure);
      keepAlive = false;
    } else {
      net::Request request = parser.release();
      keepAlive = request.keep_alive();
      response = co_await (this->*aHandle)(std::move(request), client);
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

std::string Listener::NextRequestId()
{
  return fmt::format("{:x}-{}", mCore.Self().mStart, ++mRequests);
}

Awaitable<net::Response> Listener::Caller(net::Request aRequest, std::uint32_t aClient)
{
  std::optional<std::string> key = KeyOf(aRequest);
  std::string_view target = View(aRequest.target());
  if (target.starts_with("/v1/lookup")) {
    if (!key) {
      co_return Refusal(Result::KeyMissing);
    }
    try {
      net::Response response(http::status::ok, net::kHttp11);
      response.set(http::field::content_type, "application/json");
      response.body() = mLookUps.Answer(aRequest, aClient, *key);
      co_return response;
    } catch (const base::RequestError& error) {
      co_return Refusal(error.Code());
    }
  }
  Exchange exchange;
  exchange.mRequestId = NextRequestId();
  exchange.mMethod = std::string(View(aRequest.method_string()));
  exchange.mTarget = std::string(target);
  exchange.mContentType = std::string(View(aRequest[http::field::content_type]));
  exchange.mTicket = std::string(View(aRequest["Idempotency-Key"]));
  exchange.mHasKey = key.has_value();
  exchange.mKey = key.value_or("");
  exchange.mBody = std::move(aRequest.body());
  exchange.mArrival = mCore.Now();
  co_return ToResponse(co_await mPipeline.Serve(std::move(exchange)));
}

Awaitable<net::Response> Listener::Admin(net::Request aRequest, std::uint32_t)
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
    response = Refusal(Result::UnknownRoute);
  }
  co_return response;
}

} // namespace vanillaloft::entry
