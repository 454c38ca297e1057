// Tests of the package net.
#include <doctest/doctest.h>

#include "canned.h"
#include "net/http.h"

using namespace vanillaloft;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

net::Request Get()
{
  return { http::verb::get, "/", net::kHttp11 };
}

net::Stage StageOfFailure(boost::asio::io_context& aContext, const base::HostPort& aTo)
{
  try {
    test::RunCoroutine(aContext, net::CallOnce(aTo, Get(), 2000ms));
  } catch (const net::CallError& error) {
    return error.FailedStage();
  }
  FAIL("the call did not fail");
  return net::Stage::Connect;
}

// Answers one connection with a beginning and then with more without end, until the
// client closes.
boost::asio::awaitable<void> Flood(boost::asio::ip::tcp::acceptor& aAcceptor,
                                   std::string aBeginning,
                                   std::string aMore)
{
  using boost::asio::use_awaitable;
  auto socket = co_await aAcceptor.async_accept(use_awaitable);
  co_await boost::asio::async_write(
    socket, boost::asio::buffer(aBeginning), use_awaitable);
  for (;;) {
    co_await boost::asio::async_write(socket, boost::asio::buffer(aMore), use_awaitable);
  }
}

// Whether a call that is answered without end ended at its time limit.
bool TimedOutByFlood(const std::string& aBeginning, const std::string& aMore)
{
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(context,
                                          { boost::asio::ip::address_v4::loopback(), 0 });
  boost::asio::co_spawn(
    context, Flood(acceptor, aBeginning, aMore), boost::asio::detached);
  base::HostPort server{ "127.0.0.1", acceptor.local_endpoint().port() };
  try {
    test::RunCoroutine(context, net::CallOnce(server, Get(), 100ms));
  } catch (const net::CallError& error) {
    return error.TimedOut();
  }
  FAIL("the call did not fail");
  return false;
}

} // namespace

// Guards against answers that hold a request beyond its deadline because their bytes
// never end.
TEST_CASE("an answer whose body does not end is given up at the call's time limit")
{
  CHECK(TimedOutByFlood("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                        "5\r\nhello\r\n"));
}

TEST_CASE("a head that does not end, or bytes that are no answer, end the call")
{
  const std::string line = "X-More: 0123456789012345678901234567890123456789\r\n";
  CHECK_FALSE(TimedOutByFlood("HTTP/1.1 200 OK\r\n", line));
  CHECK_FALSE(TimedOutByFlood("", std::string(10'000, 'x')));
}

TEST_CASE("a whole answer is returned")
{
  boost::asio::io_context context;
  test::CannedServer server(context, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
  net::Response response =
    test::RunCoroutine(context, net::CallOnce(server.Address(), Get(), 2000ms));
  CHECK(response.body() == "hello");
  CHECK(server.Received().starts_with("GET / HTTP/1.1\r\n"));
}

TEST_CASE("a refused connection proves that nothing was sent")
{
  boost::asio::io_context context;
  base::HostPort closed;
  {
    boost::asio::ip::tcp::acceptor acceptor(
      context, { boost::asio::ip::address_v4::loopback(), 0 });
    closed = { "127.0.0.1", acceptor.local_endpoint().port() };
  }
  CHECK(StageOfFailure(context, closed) == net::Stage::Connect);
}

TEST_CASE("a connection that ends before or within the answer proves nothing")
{
  boost::asio::io_context context;
  test::CannedServer silent(context, "");
  CHECK(StageOfFailure(context, silent.Address()) == net::Stage::Sent);
  test::CannedServer partial(context,
                             "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello");
  CHECK(StageOfFailure(context, partial.Address()) == net::Stage::Sent);
}
