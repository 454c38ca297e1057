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
    test::Finish(aContext, net::CallOnce(aTo, Get(), 2000ms));
  } catch (const net::CallError& error) {
    return error.At();
  }
  FAIL("the call did not fail");
  return net::Stage::Connect;
}

} // namespace

TEST_CASE("a whole answer is returned")
{
  boost::asio::io_context context;
  test::CannedServer server(context, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
  net::Response response =
    test::Finish(context, net::CallOnce(server.Address(), Get(), 2000ms));
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
