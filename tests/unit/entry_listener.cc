// Unit tests of the listening sockets and connections of an instance.
#include <doctest/doctest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "base/clock.h"
#include "canned.h"
#include "entry/listener.h"

using namespace vanillaloft;
using namespace vanillaloft::entry;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr const char* kRequest = "GET / HTTP/1.1\r\n\r\n";

struct Fixture
{
  asio::io_context mContext;
  base::SystemClock mClock;
  Core mCore{ mContext,
              mClock,
              { "d1", { "127.0.0.1", 1 }, "127.0.0.1:2", {}, "", 30s, 10s, 60s },
              { "127.0.0.1:2", 7 },
              "secret" };
  NativeFormat mFormat;
  Listener mListener{ mCore, mFormat };
  Tcp::endpoint mAt;

  Fixture()
  {
    Tcp::endpoint anyPort(asio::ip::address_v4::loopback(), 0);
    mAt = Tcp::acceptor(mContext, anyPort).local_endpoint();
    mListener.Open({ "127.0.0.1", mAt.port() },
                   [](net::Request, CallerConnection&) -> Awaitable<net::Response> {
                     net::Response response(boost::beast::http::status::ok, net::kHttp11);
                     response.body() = "served";
                     co_return response;
                   });
  }

  Tcp::socket Connect()
  {
    Tcp::socket caller(mContext);
    caller.connect(mAt);
    return caller;
  }

  // Runs the instance until it has nothing left to answer, as a planned stop does.
  // Returns false if that takes more than 5 s.
  bool RunUntilAnswered()
  {
    auto end = std::chrono::steady_clock::now() + 5s;
    do {
      mContext.run_for(50ms);
    } while (mListener.HasUnanswered() && std::chrono::steady_clock::now() < end);
    bool answered = !mListener.HasUnanswered();
    mListener.CloseIdle();
    mContext.run_for(50ms);
    return answered;
  }
};

void Send(Tcp::socket& aCaller, const std::string& aText)
{
  asio::write(aCaller, asio::buffer(aText));
}

// Returns all that the caller receives up to the end of its connection.
std::string ReadAll(Tcp::socket& aCaller)
{
  std::string received;
  boost::system::error_code error;
  asio::read(aCaller, asio::dynamic_buffer(received), error);
  return error == asio::error::eof ? received : "failed: " + error.message();
}

} // namespace

// Guards against a planned stop that cuts off requests which have just arrived.
TEST_CASE("a connection that waits to be accepted is served after the listener closes")
{
  Fixture fixture;
  Tcp::socket caller = fixture.Connect();
  Send(caller, kRequest);
  fixture.mCore.mLeaving = true;
  fixture.mListener.StopAccepting();
  CHECK(fixture.RunUntilAnswered());
  CHECK(ReadAll(caller).find("served") != std::string::npos);
}

TEST_CASE("a connection accepted just before the stop may still send its request")
{
  Fixture fixture;
  Tcp::socket caller = fixture.Connect();
  fixture.mContext.run_for(20ms);
  fixture.mCore.mLeaving = true;
  fixture.mListener.StopAccepting();
  CHECK(fixture.mListener.HasUnanswered());
  asio::steady_timer timer(fixture.mContext, 100ms);
  timer.async_wait([&](boost::system::error_code) { Send(caller, kRequest); });
  CHECK(fixture.RunUntilAnswered());
  CHECK(ReadAll(caller).find("served") != std::string::npos);
}

TEST_CASE("a request that has arrived in part is awaited and answered")
{
  Fixture fixture;
  Tcp::socket caller = fixture.Connect();
  Send(caller, "GET / HTTP/1.1\r\nX-Part: 1");
  fixture.mContext.run_for(20ms);
  fixture.mCore.mLeaving = true;
  fixture.mListener.StopAccepting();
  asio::steady_timer timer(fixture.mContext, 600ms);
  timer.async_wait([&](boost::system::error_code) { Send(caller, "\r\n\r\n"); });
  CHECK(fixture.RunUntilAnswered());
  CHECK(ReadAll(caller).find("served") != std::string::npos);
}

TEST_CASE("idle connections do not delay a stop and are closed at its end")
{
  Fixture fixture;
  Tcp::socket caller = fixture.Connect();
  Send(caller, kRequest);
  fixture.mContext.run_for(50ms);
  fixture.mListener.StopAccepting();
  CHECK_FALSE(fixture.mListener.HasUnanswered());
  CHECK(fixture.RunUntilAnswered());
  CHECK(ReadAll(caller).find("served") != std::string::npos);
}

// Guards against a refusal that is lost because the connection is reset: the caller is
// still sending a body that is not read.
TEST_CASE("a refused request's response arrives although its body was not read")
{
  Fixture fixture;
  Tcp::socket caller = fixture.Connect();
  std::string body(4 * kDefaultMaxBodyBytes, 'x');
  std::string head =
    "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  std::string received;
  auto exchange = [&]() -> Awaitable<bool> {
    std::string request = head + body;
    co_await asio::async_write(caller, asio::buffer(request), asio::use_awaitable);
    co_await asio::async_read_until(
      caller, asio::dynamic_buffer(received), "\r\n\r\n", asio::use_awaitable);
    co_return true;
  };
  CHECK(test::RunCoroutine(fixture.mContext, exchange()));
  CHECK(received.find("413") != std::string::npos);
}

// Guards against a process that runs out of memory (LOST): a caller's line of a chunk's
// size, or its trailers, never end.
TEST_CASE("a request with an endless chunk-size line or endless trailers is refused")
{
  for (const char* start : { "5;more=", "0\r\nX-More: " }) {
    Fixture fixture;
    Tcp::socket caller = fixture.Connect();
    std::string request = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    request += start + std::string(4 * net::kMaxUnparsedBytes, 'x');
    std::string received;
    auto exchange = [&]() -> Awaitable<bool> {
      co_await asio::async_write(caller, asio::buffer(request), asio::use_awaitable);
      co_await asio::async_read_until(
        caller, asio::dynamic_buffer(received), "\r\n\r\n", asio::use_awaitable);
      co_return true;
    };
    asio::co_spawn(fixture.mContext, exchange(), asio::detached);
    fixture.mContext.run_for(1s);
    CHECK(received.starts_with("HTTP/1.1 431 "));
  }
}
