// Unit tests of calls to backend servers that do not keep to the protocol.
#include <filesystem>

#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>

#include "calling_instance.h"

using namespace vanillaloft;
using namespace vanillaloft::entry;
using namespace std::chrono_literals;

namespace {

using namespace test;
using Fixture = CallingInstance;

} // namespace

// Guards against an answer that reaches the caller of another request.
TEST_CASE("a late second copy of an answer is skipped and the right answer delivered")
{
  Fixture fixture;
  test::ScriptedServer server(fixture.mContext,
                              { Answer("1"), Answer("1") + Answer("2"), Answer("3") });
  CHECK(fixture.Call(server, "1") == "answer to 1");
  CHECK(fixture.Call(server, "2") == "answer to 2");
  CHECK(fixture.Call(server, "3") == "answer to 3");
}

TEST_CASE("a second copy that arrives with its answer ends the connection's use")
{
  Fixture fixture;
  test::ScriptedServer first(fixture.mContext, { Answer("1") + Answer("1") });
  CHECK(fixture.Call(first, "1") == "answer to 1");
  test::ScriptedServer second(fixture.mContext, { Answer("2") });
  CHECK(fixture.Call(second, "2") == "answer to 2");
  CHECK(first.Requests() == 1);
}

// Guards against a "not run" for a request that the server runs.
TEST_CASE("an earlier refusal written again is not taken for this request's")
{
  Fixture fixture;
  test::ScriptedServer server(fixture.mContext,
                              { Refusal("1"), Refusal("1") + Answer("2") });
  CHECK(fixture.Call(server, "1") == "not run");
  CHECK(fixture.Call(server, "2") == "answer to 2");
}

TEST_CASE("a refusal without an identifier counts only on a new connection")
{
  Fixture fixture;
  test::ScriptedServer fresh(fixture.mContext, { Refusal("") });
  CHECK(fixture.Call(fresh, "1") == "not run");
  test::ScriptedServer kept(fixture.mContext, { Answer("2"), Refusal("") });
  CHECK(fixture.Call(kept, "2") == "answer to 2");
  CHECK(fixture.Call(kept, "3") == "answer-lost");
}

TEST_CASE("copies without end fail the call as an answer that may exist")
{
  Fixture fixture;
  std::string copies;
  for (int i = 0; i < 20; ++i) {
    copies += Answer("1");
  }
  test::ScriptedServer server(fixture.mContext, { Answer("1"), copies });
  CHECK(fixture.Call(server, "1") == "answer to 1");
  CHECK(fixture.Call(server, "2") == "answer-lost");
}

// Guards against an order that runs at two servers because of a repeated refusal.
TEST_CASE("after an earlier refusal written again no second server gets the order")
{
  Fixture fixture;
  test::ScriptedServer faulty(fixture.mContext, { Answer("1"), Refusal("") });
  test::ScriptedServer other(fixture.mContext, { Answer("2") });
  fixture.Register("i-1", "d1", faulty.Address());
  DirectPlacement direct(fixture.mCore, fixture.mBackend);
  auto place = [&](const std::string& aRequest) {
    Exchange exchange = fixture.MakeExchange(aRequest, kOrderRoute);
    try {
      return test::RunCoroutine(fixture.mContext, direct.Place(exchange)).mResult;
    } catch (const base::RequestError& error) {
      return error.Code();
    }
  };
  CHECK(place("1") == Result::Ok);
  fixture.Register("i-2", "d2", other.Address());
  CHECK(place("2") == Result::AnswerLost);
  CHECK(other.Requests() == 0);
}

namespace {

// Places a lookup. Returns its result.
Result PlaceLookup(Fixture& aFixture, DirectPlacement& aDirect, Exchange& aExchange)
{
  try {
    return test::RunCoroutine(aFixture.mContext, aDirect.Place(aExchange)).mResult;
  } catch (const base::RequestError& error) {
    return error.Code();
  }
}

} // namespace

// Guards against DRAIN: requests to a server that said that it leaves, while its
// registration still calls it ready.
TEST_CASE("after an answer that says its server leaves no request is sent to it")
{
  Fixture fixture;
  std::string leaving = Response("200 OK\r\nX-Draining: 1", "1", "ok");
  test::ScriptedServer server(fixture.mContext, { leaving });
  fixture.Register("i-1", "d1", server.Address());
  DirectPlacement direct(fixture.mCore, fixture.mBackend);
  Exchange first = fixture.MakeExchange("1");
  CHECK(PlaceLookup(fixture, direct, first) == Result::Ok);
  fixture.Register("i-1", "d1", server.Address());
  Exchange second = fixture.MakeExchange("2");
  CHECK(PlaceLookup(fixture, direct, second) == Result::NoBackendServer);
  CHECK(server.Requests() == 1);
  CHECK(fixture.mCore.mMetrics.Text().find("vanillaloft_server_leaving_total 1") !=
        std::string::npos);
}

// Guards against BUDGET: requests to a server that asked for a pause.
TEST_CASE("after a refusal with a pause no request is sent, and callers learn the end")
{
  Fixture fixture;
  std::string refusal = Response("503 Busy\r\nX-Not-Run: 1\r\nRetry-After: 30", "1", "");
  test::ScriptedServer server(fixture.mContext, { refusal });
  fixture.Register("i-1", "d1", server.Address());
  DirectPlacement direct(fixture.mCore, fixture.mBackend);
  Exchange first = fixture.MakeExchange("1");
  CHECK(PlaceLookup(fixture, direct, first) == Result::NoBackendServer);
  CHECK(first.mRetryAt > fixture.mClock.Now() + 25s);
  Exchange second = fixture.MakeExchange("2");
  Instant placed = fixture.mClock.Now();
  CHECK(PlaceLookup(fixture, direct, second) == Result::NoBackendServer);
  CHECK(second.mRetryAt == first.mRetryAt);
  CHECK(fixture.mClock.Now() - placed < 25ms); // refused at once
  CHECK(server.Requests() == 1);
}

TEST_CASE("a pause that cannot be read is ignored")
{
  Fixture fixture;
  std::string refusal =
    Response("503 Busy\r\nX-Not-Run: 1\r\nRetry-After: soon", "1", "");
  test::ScriptedServer server(fixture.mContext, { refusal, Answer("2") });
  fixture.Register("i-1", "d1", server.Address());
  DirectPlacement direct(fixture.mCore, fixture.mBackend);
  Exchange first = fixture.MakeExchange("1");
  CHECK(PlaceLookup(fixture, direct, first) == Result::NoBackendServer);
  Exchange second = fixture.MakeExchange("2");
  CHECK(PlaceLookup(fixture, direct, second) == Result::Ok);
}

namespace {

std::ptrdiff_t OpenDescriptors()
{
  return std::distance(std::filesystem::directory_iterator("/proc/self/fd"), {});
}

} // namespace

// Guards against descriptors that servers which left use up.
TEST_CASE("the idle connection to a server that says it leaves is closed")
{
  Fixture fixture;
  std::string leaving = Response("200 OK\r\nX-Draining: 1", "1", "ok");
  test::ScriptedServer server(fixture.mContext, { leaving });
  fixture.Register("i-1", "d1", server.Address());
  DirectPlacement direct(fixture.mCore, fixture.mBackend);
  std::ptrdiff_t before = OpenDescriptors();
  Exchange exchange = fixture.MakeExchange("1");
  CHECK(PlaceLookup(fixture, direct, exchange) == Result::Ok);
  fixture.mContext.restart();
  fixture.mContext.run_for(50ms);
  CHECK(OpenDescriptors() == before);
}

namespace {

// Answers each request of any number of connections with the answer to request "1".
boost::asio::awaitable<void> AnswerAll(boost::asio::ip::tcp::socket aSocket)
{
  using boost::asio::use_awaitable;
  std::string received;
  std::string answer = Answer("1");
  for (;;) {
    std::size_t head = co_await boost::asio::async_read_until(
      aSocket, boost::asio::dynamic_buffer(received), "\r\n\r\n", use_awaitable);
    received.erase(0, head);
    co_await boost::asio::async_write(
      aSocket, boost::asio::buffer(answer), use_awaitable);
  }
}

boost::asio::awaitable<void> AcceptAll(boost::asio::ip::tcp::acceptor& aAcceptor)
{
  for (;;) {
    auto socket = co_await aAcceptor.async_accept(boost::asio::use_awaitable);
    boost::asio::co_spawn(
      aAcceptor.get_executor(), AnswerAll(std::move(socket)), boost::asio::detached);
  }
}

} // namespace

// Guards against descriptors that servers which were replaced use up.
TEST_CASE("after 1,000 releases of a server as many descriptors are open as before")
{
  Fixture fixture;
  boost::asio::ip::tcp::acceptor server(fixture.mContext,
                                        { boost::asio::ip::address_v4::loopback(), 0 });
  boost::asio::co_spawn(fixture.mContext, AcceptAll(server), boost::asio::detached);
  DirectPlacement direct(fixture.mCore, fixture.mBackend);
  std::ptrdiff_t before = OpenDescriptors();
  for (int release = 0; release < 1000; ++release) {
    std::string id = "i-" + std::to_string(release);
    fixture.Register(id, "d1", { "127.0.0.1", server.local_endpoint().port() });
    Exchange exchange = fixture.MakeExchange("1");
    CHECK(PlaceLookup(fixture, direct, exchange) == Result::Ok);
    fixture.mCore.mFleet.Deregister(id);
  }
  fixture.mContext.restart();
  fixture.mContext.run_for(1500ms);
  CHECK(OpenDescriptors() == before);
}

namespace {

constexpr std::size_t kUploadBytes = 32UL * 1024 * 1024; // more than the sockets hold

// Calls a server with an order that it does not read to its end, and lets the caller
// leave after 100 ms.
Result CallAndLeave(Fixture& aFixture, Exchange& aExchange, const base::HostPort& aServer)
{
  CallerConnection caller;
  aExchange.mCaller = &caller;
  boost::asio::steady_timer leave(aFixture.mContext, 100ms);
  leave.async_wait([&](const boost::system::error_code&) {
    caller.mDisconnected = true;
    if (caller.mOnDisconnect) {
      caller.mOnDisconnect();
    }
  });
  BackendTarget target{ "i-1", aServer, {} };
  try {
    test::RunCoroutine(
      aFixture.mContext,
      aFixture.mBackend.Call(aExchange, target, ConnectionReuse::Allowed, true));
    return Result::Ok;
  } catch (const base::RequestError& error) {
    return error.Code();
  }
}

} // namespace

// Guards against an upload that goes on for a caller who has left (GONE). The server
// never gets all of it, so it does not run.
TEST_CASE("an order that is not wholly sent ends when its caller leaves")
{
  Fixture fixture;
  boost::asio::ip::tcp::acceptor unread(fixture.mContext,
                                        { boost::asio::ip::address_v4::loopback(), 0 });
  base::HostPort address{ "127.0.0.1", unread.local_endpoint().port() };
  Exchange exchange = fixture.MakeExchange("1", kOrderRoute);
  exchange.mTicket.clear();
  exchange.mBody.assign(kUploadBytes, 'x');
  exchange.mDeadline = exchange.mArrival + 1500ms;
  CHECK(CallAndLeave(fixture, exchange, address) == Result::AnswerLost);
}

TEST_CASE("an order that its server has got is not ended when its caller leaves")
{
  Fixture fixture;
  boost::asio::ip::tcp::acceptor unread(fixture.mContext,
                                        { boost::asio::ip::address_v4::loopback(), 0 });
  base::HostPort address{ "127.0.0.1", unread.local_endpoint().port() };
  Exchange exchange = fixture.MakeExchange("1", kOrderRoute);
  exchange.mTicket.clear();
  exchange.mDeadline = exchange.mArrival + 500ms;
  CHECK(CallAndLeave(fixture, exchange, address) == Result::AnswerTimeout);
}
