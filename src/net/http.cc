#include "net/http.h"

#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace vanillaloft::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

using Error = boost::system::error_code;

void ThrowIf(const Error& aError, Stage aStage)
{
  if (aError) {
    throw CallError(aStage, aError == beast::error::timeout, aError.message());
  }
}

} // namespace

void LimitSilence(asio::ip::tcp::socket& aSocket)
{
  constexpr int kProbes = 2;
  int limit = static_cast<int>(kSilenceLimit.count());
  int interval = limit / 1000 / (kProbes + 1);
  int fd = aSocket.native_handle();
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval, sizeof interval);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof kProbes);
}

Connection::Connection(const asio::any_io_executor& aExecutor)
  : mStream(aExecutor)
{
}

Awaitable<void> Connection::Connect(base::HostPort aTo,
                                    std::chrono::milliseconds aTimeout)
{
  Error error;
  asio::ip::tcp::endpoint to(asio::ip::make_address(aTo.mHost), aTo.mPort);
  mStream.expires_after(aTimeout);
  co_await mStream.async_connect(to, asio::redirect_error(asio::use_awaitable, error));
  ThrowIf(error, Stage::Connect);
  mStream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  ThrowIf(error, Stage::Connect);
  LimitSilence(mStream.socket());
  mKeepsAlive = true;
}

Awaitable<Response> Connection::Call(const Request& aRequest,
                                     std::chrono::milliseconds aTimeout)
{
  Error error;
  mKeepsAlive = false;
  mStream.expires_after(aTimeout);
  co_await http::async_write(
    mStream, aRequest, asio::redirect_error(asio::use_awaitable, error));
  ThrowIf(error, Stage::Sent);
  http::response_parser<http::string_body> parser;
  parser.body_limit(kLargestAnswer);
  parser.skip(aRequest.method() == http::verb::head);
  co_await http::async_read(
    mStream, mBuffer, parser, asio::redirect_error(asio::use_awaitable, error));
  ThrowIf(error, Stage::Sent);
  Response response = parser.release();
  mKeepsAlive = response.keep_alive();
  co_return response;
}

bool Connection::IsIdle()
{
  if (!mKeepsAlive || mBuffer.size() > 0) {
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
  Connection connection(co_await asio::this_coro::executor);
  co_await connection.Connect(aTo, std::min(aTimeout, kConnectLimit));
  aRequest.set(http::field::host, aTo.mHost);
  aRequest.keep_alive(false);
  aRequest.prepare_payload();
  co_return co_await connection.Call(aRequest, aTimeout);
}

} // namespace vanillaloft::net
