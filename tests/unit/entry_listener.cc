// Unit tests of the listening sockets and connections of an instance.
#include <doctest/doctest.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
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
    } while (mListener.HasUndelivered() && std::chrono::steady_clock::now() < end);
    bool answered = !mListener.HasUndelivered();
    mListener.CloseIdle();
    mContext.run_for(50ms);
    return answered;
  }
};

void Send(Tcp::socket& aCaller, const std::string& aText)
{
  asio::write(aCaller, asio::buffer(aText));
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
  CHECK(test::ReadAll(caller).find("served") != std::string::npos);
}

TEST_CASE("a connection accepted just before the stop may still send its request")
{
  Fixture fixture;
  Tcp::socket caller = fixture.Connect();
  fixture.mContext.run_for(20ms);
  fixture.mCore.mLeaving = true;
  fixture.mListener.StopAccepting();
  CHECK(fixture.mListener.HasUndelivered());
  asio::steady_timer timer(fixture.mContext, 100ms);
  timer.async_wait([&](boost::system::error_code) { Send(caller, kRequest); });
  CHECK(fixture.RunUntilAnswered());
  CHECK(test::ReadAll(caller).find("served") != std::string::npos);
}

// Guards against an end of the process that resets a connection whose caller has not read
// the last answer yet.
TEST_CASE("a stop waits until its last answers are read, for a short time")
{
  Fixture fixture;
  Tcp::socket reader = fixture.Connect();
  Tcp::socket other = fixture.Connect(); // keeps its side open
  Send(reader, kRequest);
  Send(other, kRequest);
  fixture.mCore.mLeaving = true;
  fixture.mContext.run_for(50ms);
  CHECK(fixture.mListener.HasUndelivered());
  CHECK(test::ReadAll(reader).find("served") != std::string::npos);
  reader.close();
  CHECK(fixture.RunUntilAnswered());
  CHECK(test::ReadAll(other).find("served") != std::string::npos);
}

// Guards against requests that were read behind another one and end with their connection
// (LOST): the answer to the first said that the connection closes.
TEST_CASE("pipelined requests that arrived before the answer to the first are answered")
{
  Fixture fixture;
  Tcp::socket caller = fixture.Connect();
  fixture.mCore.mLeaving = true;
  Send(caller, std::string(kRequest) + kRequest + kRequest);
  fixture.mListener.StopAccepting();
  CHECK(fixture.RunUntilAnswered());
  std::string received = test::ReadAll(caller);
  std::size_t answers = 0;
  for (std::size_t at = 0; (at = received.find("served", at)) != std::string::npos;
       ++at) {
    ++answers;
  }
  CHECK(answers == 3);
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
  CHECK(test::ReadAll(caller).find("served") != std::string::npos);
}

TEST_CASE("idle connections do not delay a stop and are closed at its end")
{
  Fixture fixture;
  Tcp::socket caller = fixture.Connect();
  Send(caller, kRequest);
  fixture.mContext.run_for(50ms);
  fixture.mListener.StopAccepting();
  CHECK_FALSE(fixture.mListener.HasUndelivered());
  CHECK(fixture.RunUntilAnswered());
  CHECK(test::ReadAll(caller).find("served") != std::string::npos);
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

namespace {

// Waits for the caller to leave, at most for mTime, before it answers.
struct SlowHandler
{
  Duration mTime;
  unsigned mCalls = 0;
  unsigned mCallersLeft = 0;

  Awaitable<net::Response> Handle(CallerConnection& aConnection)
  {
    ++mCalls;
    asio::steady_timer timer(co_await asio::this_coro::executor, mTime);
    aConnection.mOnDisconnect = [&] {
      ++mCallersLeft;
      timer.cancel();
    };
    boost::system::error_code cancelled;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    aConnection.mOnDisconnect = nullptr;
    net::Response response(boost::beast::http::status::ok, net::kHttp11);
    response.body() = "slow " + std::to_string(mCalls) + ";";
    co_return response;
  }
};

struct SlowFixture : Fixture
{
  SlowHandler mSlow;

  explicit SlowFixture(Duration aTime)
    : mSlow{ aTime }
  {
    Tcp::endpoint anyPort(asio::ip::address_v4::loopback(), 0);
    mAt = Tcp::acceptor(mContext, anyPort).local_endpoint();
    mListener.Open({ "127.0.0.1", mAt.port() },
                   [&](net::Request, CallerConnection& aConnection) {
                     return mSlow.Handle(aConnection);
                   });
  }
};

} // namespace

TEST_CASE("pipelined requests that arrive while one is served are answered in order")
{
  SlowFixture fixture(50ms);
  Tcp::socket caller = fixture.Connect();
  Send(caller, kRequest);
  fixture.mContext.run_for(20ms);
  // More than is read ahead.
  for (int i = 0; i < 4; ++i) {
    Send(caller, "GET / HTTP/1.1\r\nX-Long: " + std::string(6000, 'x') + "\r\n\r\n");
  }
  CHECK(fixture.RunUntilAnswered());
  std::string received = test::ReadAll(caller);
  std::size_t from = 0;
  for (int i = 1; i <= 5; ++i) {
    from = received.find("slow " + std::to_string(i) + ";", from);
    CHECK(from != std::string::npos);
  }
}

// An answer is written also to a caller that seems to have left, because a close of the
// sending side alone looks the same.
TEST_CASE("a caller that closes only its sending side gets the answer")
{
  SlowFixture fixture(50ms);
  Tcp::socket caller = fixture.Connect();
  Send(caller, kRequest);
  caller.shutdown(Tcp::socket::shutdown_send);
  CHECK(fixture.RunUntilAnswered());
  CHECK(test::ReadAll(caller).find("slow 1;") != std::string::npos);
}

// Guards against an exception behind the choice of a server: the library refuses to send
// such a request.
TEST_CASE("a TRACE request with a body is refused before it is handled")
{
  for (const char* body : { "Content-Length: 3\r\n\r\nabc",
                            "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" }) {
    SlowFixture fixture(1ms);
    Tcp::socket caller = fixture.Connect();
    Send(caller, std::string("TRACE / HTTP/1.1\r\n") + body);
    CHECK(fixture.RunUntilAnswered());
    CHECK(test::ReadAll(caller).starts_with("HTTP/1.1 405 "));
    CHECK(fixture.mSlow.mCalls == 0);
  }
}

// Guards against an upload that breaks off and looks complete to the server.
TEST_CASE("a request whose body breaks off is not handled")
{
  for (const char* body : { "Content-Length: 4\r\n\r\nabc",
                            "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                            "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n" }) {
    SlowFixture fixture(1ms);
    Tcp::socket caller = fixture.Connect();
    Send(caller, std::string("POST / HTTP/1.1\r\n") + body);
    fixture.mContext.run_for(20ms);
    caller.close();
    fixture.mContext.run_for(50ms);
    CHECK(fixture.mSlow.mCalls == 0);
  }
}
