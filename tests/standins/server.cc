#include "server.h"

#include <charconv>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace vanillaloft::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

net::Awaitable<void> Session(asio::ip::tcp::socket aSocket, Handler aHandler)
{
  boost::system::error_code error;
  beast::tcp_stream stream(std::move(aSocket));
  beast::flat_buffer buffer;
  for (bool keepAlive = true; keepAlive;) {
    net::Request request;
    co_await http::async_read(
      stream, buffer, request, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      break;
    }
    net::Response response = co_await aHandler(request);
    keepAlive = request.keep_alive();
    response.keep_alive(keepAlive);
    response.prepare_payload();
    co_await http::async_write(
      stream, response, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      break;
    }
  }
}

net::Awaitable<void> Accept(asio::ip::tcp::acceptor& aAcceptor, Handler aHandler)
{
  for (;;) {
    auto socket = co_await aAcceptor.async_accept(asio::use_awaitable);
    socket.set_option(asio::ip::tcp::no_delay(true));
    asio::co_spawn(
      aAcceptor.get_executor(), Session(std::move(socket), aHandler), asio::detached);
  }
}

} // namespace

void RunServer(const base::HostPort& aAt, Handler aHandler)
{
  asio::io_context context(1);
  asio::ip::tcp::endpoint at(asio::ip::make_address(aAt.mHost), aAt.mPort);
  asio::ip::tcp::acceptor acceptor(context, at, true);
  asio::co_spawn(context, Accept(acceptor, std::move(aHandler)), asio::detached);
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
  context.run();
}

net::Response Reply(unsigned aStatus, std::string aBody)
{
  net::Response response(http::int_to_status(aStatus), net::kHttp11);
  response.body() = std::move(aBody);
  return response;
}

std::uint64_t QueryNumber(const std::string& aTarget, const std::string& aName)
{
  std::size_t at = aTarget.find(aName);
  std::uint64_t number = 0;
  if (at != std::string::npos) {
    const char* from = aTarget.data() + at + aName.size();
    std::from_chars(from, aTarget.data() + aTarget.size(), number);
  }
  return number;
}

net::Awaitable<void> Sleep(std::chrono::milliseconds aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

} // namespace vanillaloft::standins
