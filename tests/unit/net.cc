// Unit tests for src/net.
#include <doctest/doctest.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include "canned.h"
#include "early.h"
#include "net/http.h"

using namespace vanillaloft;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

net::Request Get()
{
  return { http::verb::get, "/", net::kHttp11 };
}

net::Stage FailedStageOf(boost::asio::io_context& aContext, const base::HostPort& aTo)
{
  try {
    test::RunCoroutine(aContext, net::CallOnce(aTo, Get(), 2000ms));
  } catch (const net::CallError& error) {
    return error.FailedStage();
  }
  FAIL("the call did not fail");
  return net::Stage::Connect;
}

// Accepts one connection, sends aPrefix and then repeats aRepeated until the client
// closes.
boost::asio::awaitable<void> SendEndlessResponse(
  boost::asio::ip::tcp::acceptor& aAcceptor,
  std::string aPrefix,
  std::string aRepeated)
{
  using boost::asio::use_awaitable;
  auto socket = co_await aAcceptor.async_accept(use_awaitable);
  co_await boost::asio::async_write(socket, boost::asio::buffer(aPrefix), use_awaitable);
  for (;;) {
    co_await boost::asio::async_write(
      socket, boost::asio::buffer(aRepeated), use_awaitable);
  }
}

// Calls a server whose response never ends. Returns whether the call failed by its
// timeout.
bool TimesOutOnEndlessResponse(const std::string& aPrefix, const std::string& aRepeated)
{
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(context,
                                          { boost::asio::ip::address_v4::loopback(), 0 });
  boost::asio::co_spawn(
    context, SendEndlessResponse(acceptor, aPrefix, aRepeated), boost::asio::detached);
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

// Guards against responses that hold a request beyond its deadline because bytes keep
// arriving, so that no single read times out.
TEST_CASE("a response with an endless body fails at the call's time limit")
{
  CHECK(TimesOutOnEndlessResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                                  "5\r\nhello\r\n"));
}

TEST_CASE("an endless head and bytes that are not HTTP fail the call without a timeout")
{
  const std::string line = "X-More: 0123456789012345678901234567890123456789\r\n";
  CHECK_FALSE(TimesOutOnEndlessResponse("HTTP/1.1 200 OK\r\n", line));
  CHECK_FALSE(TimesOutOnEndlessResponse("", std::string(10'000, 'x')));
}

// Guards against a process that runs out of memory (LOST): the parser sets no limit to
// the line of a chunk's size or to the trailers, so their bytes were kept until the time
// limit.
TEST_CASE(
  "an endless chunk-size line and endless trailers fail the call without a timeout")
{
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string bytes(10'000, 'x');
  CHECK_FALSE(TimesOutOnEndlessResponse(head + "5;more=", bytes));
  CHECK_FALSE(TimesOutOnEndlessResponse(head, bytes));
  CHECK_FALSE(TimesOutOnEndlessResponse(head + "0\r\n", "X-More: " + bytes + "\r\n"));
}

TEST_CASE("an endless body without a length fails the call without a timeout")
{
  CHECK_FALSE(
    TimesOutOnEndlessResponse("HTTP/1.1 200 OK\r\n\r\n", std::string(100'000, 'x')));
}

TEST_CASE("endless interim responses fail the call without a timeout")
{
  CHECK_FALSE(TimesOutOnEndlessResponse("", "HTTP/1.1 100 Continue\r\n\r\n"));
}

TEST_CASE("a complete response is returned")
{
  boost::asio::io_context context;
  test::CannedServer server(context, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
  net::Response response =
    test::RunCoroutine(context, net::CallOnce(server.Address(), Get(), 2000ms));
  CHECK(response.body() == "hello");
  CHECK(server.Received().starts_with("GET / HTTP/1.1\r\n"));
}

// Guards against a check of the head that loses its place when the head arrives in
// pieces.
TEST_CASE("a response that arrives in pieces is returned")
{
  for (std::size_t pieceBytes : { 1, 3, 20, 30 }) {
    CAPTURE(pieceBytes);
    boost::asio::io_context context;
    test::CannedServer server(
      context,
      "HTTP/1.1 200 OK\r\nX-Signature: 0123456789abcdef\r\nContent-Length: 5\r\nX-Last: "
      "z\r\n\r\nhello",
      pieceBytes);
    net::Response response =
      test::RunCoroutine(context, net::CallOnce(server.Address(), Get(), 2000ms));
    CHECK(response.body() == "hello");
    CHECK(response["X-Last"] == "z");
  }
}

TEST_CASE("a refused connection fails at Stage::Connect, before anything is sent")
{
  boost::asio::io_context context;
  base::HostPort closed;
  {
    boost::asio::ip::tcp::acceptor acceptor(
      context, { boost::asio::ip::address_v4::loopback(), 0 });
    closed = { "127.0.0.1", acceptor.local_endpoint().port() };
  }
  CHECK(FailedStageOf(context, closed) == net::Stage::Connect);
}

TEST_CASE("a connection that closes before or within the response fails at Stage::Sent")
{
  boost::asio::io_context context;
  test::CannedServer silent(context, "");
  CHECK(FailedStageOf(context, silent.Address()) == net::Stage::Sent);
  test::CannedServer partial(context,
                             "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello");
  CHECK(FailedStageOf(context, partial.Address()) == net::Stage::Sent);
}

TEST_CASE("an interim response is skipped, the final one is returned")
{
  boost::asio::io_context context;
  test::CannedServer server(
    context,
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  net::Response response =
    test::RunCoroutine(context, net::CallOnce(server.Address(), Get(), 2000ms));
  CHECK(response.result() == http::status::ok);
  CHECK(response.body() == "ok");
}

// Guards against a status that the caller gets as 000 (MIXED): the library names neither
// 103 nor 299.
TEST_CASE("statuses without a name are kept, and interim ones are skipped")
{
  boost::asio::io_context context;
  test::CannedServer server(
    context,
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 299 Fine\r\nContent-Length: 2\r\n\r\nok");
  net::Response response =
    test::RunCoroutine(context, net::CallOnce(server.Address(), Get(), 2000ms));
  CHECK(response.result_int() == 299);
  CHECK(response.body() == "ok");
}

// Guards against a 200 with an empty or short body (MIXED): a server stops at any byte of
// its response and closes the connection.
TEST_CASE("a response that ends at any byte before its last one fails")
{
  const std::string whole =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-More: y\r\n\r\nhello";
  for (std::size_t size = 1; size < whole.size(); ++size) {
    boost::asio::io_context context;
    test::ScriptedServer server(
      context, { whole.substr(0, size) }, test::ServerClose::Finish);
    CHECK(FailedStageOf(context, server.Address()) == net::Stage::Sent);
  }
}

// Guards against an answer of any size that is held, or that reaches the caller in part.
TEST_CASE("a response over the largest size fails, whatever tells its length")
{
  const std::string over = std::to_string(net::kMaxResponseBodyBytes + 1);
  boost::asio::io_context context;
  test::CannedServer byLength(context,
                              "HTTP/1.1 200 OK\r\nContent-Length: " + over + "\r\n\r\n");
  CHECK(FailedStageOf(context, byLength.Address()) == net::Stage::Sent);
  test::CannedServer inChunks(
    context,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n400001\r\n" +
      std::string(net::kMaxResponseBodyBytes + 1, 'x') + "\r\n0\r\n\r\n");
  CHECK(FailedStageOf(context, inChunks.Address()) == net::Stage::Sent);
  test::CannedServer largest(
    context,
    "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(net::kMaxResponseBodyBytes) +
      "\r\n\r\n" + std::string(net::kMaxResponseBodyBytes, 'x'));
  CHECK(test::RunCoroutine(context, net::CallOnce(largest.Address(), Get(), 2000ms))
          .body()
          .size() == net::kMaxResponseBodyBytes);
}

// Guards against a caller that reads slowly, or not at all, and keeps a server's slot.
TEST_CASE("a response for which there is no room ends at the call's time limit")
{
  struct NoRoom final : net::ReadBudget
  {
    boost::asio::io_context& mContext;
    explicit NoRoom(boost::asio::io_context& aContext)
      : mContext(aContext)
    {
    }
    bool Grow(std::size_t) override { return false; }
    net::Awaitable<void> Pause() override
    {
      boost::asio::steady_timer timer(mContext, 10ms);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
  };
  boost::asio::io_context context;
  test::CannedServer server(context, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
  NoRoom budget(context);
  auto call = [&]() -> boost::asio::awaitable<bool> {
    net::Connection connection(context.get_executor());
    co_await connection.Connect(server.Address(), 1000ms);
    connection.SetReadBudget(&budget);
    try {
      co_await connection.Call(Get(), 100ms);
    } catch (const net::CallError& error) {
      co_return error.TimedOut() && !connection.IsReusable();
    }
    co_return false;
  };
  CHECK(test::RunCoroutine(context, call()));
}

// Guards against half an answer that reaches the caller as a complete one.
TEST_CASE("a response that breaks off fails, whatever tells its length")
{
  const std::vector<std::string> halves = {
    "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
    "HTTP/1.1 200 OK\r\nContent-",
  };
  for (const std::string& half : halves) {
    for (auto close : { test::ServerClose::Finish, test::ServerClose::Reset }) {
      boost::asio::io_context context;
      test::ScriptedServer server(context, { half }, close);
      CHECK(FailedStageOf(context, server.Address()) == net::Stage::Sent);
    }
  }
}

TEST_CASE("a response without a length ends with its connection, unless that is reset")
{
  const std::string unframed = "HTTP/1.1 200 OK\r\n\r\nhello";
  boost::asio::io_context context;
  test::ScriptedServer whole(context, { unframed }, test::ServerClose::Finish);
  CHECK(
    test::RunCoroutine(context, net::CallOnce(whole.Address(), Get(), 2000ms)).body() ==
    "hello");
  test::ScriptedServer broken(context, { unframed }, test::ServerClose::Reset);
  CHECK(FailedStageOf(context, broken.Address()) == net::Stage::Sent);
}

// Guards against an answer that ends where the server did not end it.
TEST_CASE("a response whose length can be understood in two ways fails")
{
  for (const char* fields : {
         "Transfer-Encoding: xchunked\r\n",
         "Transfer-Encoding: gzip, chunked\r\n",
         "Content-Length: 2\r\nContent-Length: 0\r\n",
         "Content-Length: 2, 0\r\n",
         "Content-Length: +2\r\n",
         "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
         "Content-Length : 2\r\n",
         "X-Fold: a\r\n b\r\nContent-Length: 2\r\n",
         "X-Line: a\nContent-Length: 2\r\n",
       }) {
    CAPTURE(fields);
    boost::asio::io_context context;
    test::CannedServer server(context,
                              std::string("HTTP/1.1 200 OK\r\n") + fields + "\r\nok");
    CHECK(FailedStageOf(context, server.Address()) == net::Stage::Sent);
  }
}

namespace {

struct EarlyOutcome
{
  unsigned mStatus = 0; // 0: the call failed
  bool mReusable = false;
};

// Sends a request with a long body to a server that does not read it.
boost::asio::awaitable<EarlyOutcome> Upload(base::HostPort aTo)
{
  std::string body(test::kUploadBytes, 'x');
  net::Connection connection(co_await boost::asio::this_coro::executor);
  EarlyOutcome outcome;
  try {
    co_await connection.Connect(aTo, 1000ms);
    net::Request head(http::verb::post, "/", net::kHttp11);
    net::Response response = co_await connection.Call(head, body, 2000ms);
    outcome.mStatus = response.result_int();
  } catch (const net::CallError&) {
  }
  outcome.mReusable = connection.IsReusable();
  co_return outcome;
}

} // namespace

// Guards against an upload whose answer is lost: the server refuses it, or ends it,
// before it has read the body, and the answer was looked for only behind the last byte.
TEST_CASE("a response before the end of a long body is returned, its connection ends")
{
  const std::string busy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  for (auto end : { test::EarlyEnd::Never, test::EarlyEnd::Reset }) {
    for (const std::string& text : { busy, interim + busy }) {
      boost::asio::io_context context;
      test::EarlyServer server(context, { text, end });
      EarlyOutcome outcome = test::RunCoroutine(context, Upload(server.Address()));
      CHECK(outcome.mStatus == 503);
      CHECK_FALSE(outcome.mReusable);
    }
  }
}

TEST_CASE("a long body that a server never reads fails at the call's time limit")
{
  boost::asio::io_context context;
  test::EarlyServer server(context, { "", test::EarlyEnd::Never });
  CHECK(test::RunCoroutine(context, Upload(server.Address())).mStatus == 0);
}
