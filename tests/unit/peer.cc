// Unit tests of the calls between entry instances.
#include <doctest/doctest.h>

#include <array>
#include <optional>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include "canned.h"
#include "peer/peer.h"

using namespace vanillaloft;
using namespace std::chrono_literals;
namespace wire = vanillaloft::peer::wire;

namespace {

constexpr const char* kAddress = "127.0.0.1:47391";
constexpr int kMaxRetries = 200;
constexpr const char* kSilent = "silent"; // TestHandler answers this order late
constexpr auto kSilence = 1800ms;

class TestHandler final : public peer::Handler
{
public:
  peer::Awaitable<wire::BeatReply> OnBeat(wire::BeatRequest aRequest) override
  {
    wire::BeatReply reply;
    *reply.mutable_status() = aRequest.status();
    co_return reply;
  }
  peer::Awaitable<wire::ConfigReply> OnFetchConfig(wire::ConfigRequest) override
  {
    throw std::runtime_error("no configuration");
    co_return wire::ConfigReply();
  }
  peer::Awaitable<wire::ItemsReply> OnFetchItems(wire::ItemsRequest aRequest) override
  {
    wire::ItemsReply reply;
    reply.set_complete(aRequest.complete());
    co_return reply;
  }
  peer::Awaitable<wire::TokenReply> OnAskToken(wire::TokenRequest aRequest) override
  {
    wire::TokenReply reply;
    reply.set_given(aRequest.micro_tokens() == 1);
    co_return reply;
  }
  peer::Awaitable<wire::ForwardReply> OnForward(wire::ForwardRequest aRequest) override
  {
    if (aRequest.body() == kSilent) {
      boost::asio::steady_timer silence(co_await boost::asio::this_coro::executor,
                                        kSilence);
      co_await silence.async_wait(boost::asio::use_awaitable);
    }
    wire::ForwardReply reply;
    reply.set_body(aRequest.body());
    co_return reply;
  }
};

// Retries AskToken until the channel is connected. Channels connect in the background;
// until then, calls fail with MayHaveArrived() false.
peer::Awaitable<wire::TokenReply> AskTokenWhenConnected(boost::asio::io_context& aContext,
                                                        peer::Client& aClient,
                                                        wire::TokenRequest aRequest)
{
  for (int i = 0;; ++i) {
    try {
      co_return co_await aClient.AskToken(kAddress, aRequest, 2000ms);
    } catch (const peer::PeerError& error) {
      if (error.MayHaveArrived() || i == kMaxRetries) {
        throw;
      }
    }
    boost::asio::steady_timer timer(aContext, 20ms);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }
}

// Forwards connections to kAddress. Those that exist when Silence is called carry nothing
// any more but stay open.
class Proxy
{
public:
  explicit Proxy(boost::asio::io_context& aContext)
    : mAcceptor(aContext, { boost::asio::ip::address_v4::loopback(), 0 })
  {
    boost::asio::co_spawn(aContext, Accept(), boost::asio::detached);
  }
  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }
  void Silence() { mSilentUpTo = mAccepted; }

private:
  using Socket = boost::asio::ip::tcp::socket;

  boost::asio::awaitable<void> Accept()
  {
    auto executor = co_await boost::asio::this_coro::executor;
    for (;;) {
      auto near = std::make_shared<Socket>(
        co_await mAcceptor.async_accept(boost::asio::use_awaitable));
      auto far = std::make_shared<Socket>(executor);
      base::HostPort to = base::ParseHostPort("address", kAddress);
      co_await far->async_connect({ boost::asio::ip::make_address(to.mHost), to.mPort },
                                  boost::asio::use_awaitable);
      unsigned number = ++mAccepted;
      boost::asio::co_spawn(executor, Pump(number, near, far), boost::asio::detached);
      boost::asio::co_spawn(executor, Pump(number, far, near), boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> Pump(unsigned aNumber,
                                    std::shared_ptr<Socket> aFrom,
                                    std::shared_ptr<Socket> aTo)
  {
    std::array<char, 4096> bytes;
    for (;;) {
      std::size_t count = co_await aFrom->async_read_some(boost::asio::buffer(bytes),
                                                          boost::asio::use_awaitable);
      if (aNumber > mSilentUpTo) {
        co_await boost::asio::async_write(
          *aTo, boost::asio::buffer(bytes, count), boost::asio::use_awaitable);
      }
    }
  }

  boost::asio::ip::tcp::acceptor mAcceptor;
  unsigned mAccepted = 0;
  unsigned mSilentUpTo = 0;
};

// Returns whether one of aTries heartbeats to a peer is answered.
bool IsAnswered(boost::asio::io_context& aContext,
                peer::Client& aClient,
                const std::string& aAddress,
                int aTries)
{
  for (int i = 0; i < aTries; ++i) {
    try {
      test::RunCoroutine(aContext, aClient.Beat(aAddress, {}, 200ms));
      return true;
    } catch (const peer::PeerError&) {
      aContext.restart();
      aContext.run_for(20ms);
    }
  }
  return false;
}

// What the error of a call says of its arrival; nothing if the call succeeds.
template<typename Reply>
std::optional<bool> FailureMayHaveArrived(boost::asio::io_context& aContext,
                                          boost::asio::awaitable<Reply> aCall)
{
  try {
    test::RunCoroutine(aContext, std::move(aCall));
  } catch (const peer::PeerError& error) {
    return error.MayHaveArrived();
  }
  return std::nullopt;
}

} // namespace

// Guards against an instance that believes itself alone, and refuses for lack of tokens:
// a connection to a peer that went silent stayed in use until the kernel gave it up.
TEST_CASE("a connection to a peer that goes silent is replaced")
{
  boost::asio::io_context context;
  TestHandler handler;
  peer::Server server(context, handler, kAddress);
  Proxy proxy(context);
  peer::Client client(context);
  REQUIRE(IsAnswered(context, client, proxy.Address(), kMaxRetries));
  proxy.Silence();
  CHECK_FALSE(IsAnswered(context, client, proxy.Address(), 1));
  CHECK(IsAnswered(context, client, proxy.Address(), 20));
}

TEST_CASE("a call to an address without a listener reports that it was not sent")
{
  boost::asio::io_context context;
  peer::Client client(context);
  CHECK(FailureMayHaveArrived(context, client.Forward("127.0.0.1:1", {}, 500ms)) ==
        false);
}

TEST_CASE("calls reach the handler, and an exception in it reports MayHaveArrived")
{
  boost::asio::io_context context;
  TestHandler handler;
  peer::Client client(context);
  peer::Server server(context, handler, kAddress);
  wire::TokenRequest request;
  request.set_micro_tokens(1);
  CHECK(
    test::RunCoroutine(context, AskTokenWhenConnected(context, client, request)).given());
  wire::ForwardRequest forward;
  forward.set_body("order");
  CHECK(test::RunCoroutine(context, client.Forward(kAddress, forward, 2000ms)).body() ==
        "order");
  CHECK(FailureMayHaveArrived(context, client.FetchConfig(kAddress, {}, 2000ms)) == true);
}

// Guards against a row of calls to peers, such as questions to one frozen holder of
// tokens after the other, that goes on after a stop has cancelled the first.
TEST_CASE("calls that begin after the end of calls are not sent")
{
  boost::asio::io_context context;
  TestHandler handler;
  peer::Client client(context);
  peer::Server server(context, handler, kAddress);
  wire::TokenRequest token;
  token.set_micro_tokens(1);
  REQUIRE(
    test::RunCoroutine(context, AskTokenWhenConnected(context, client, token)).given());
  client.EndCalls();
  CHECK(FailureMayHaveArrived(context, client.Forward(kAddress, {}, 2000ms)) == false);
}

TEST_CASE("an address cannot be bound twice")
{
  boost::asio::io_context context;
  TestHandler handler;
  peer::Server server(context, handler, kAddress);
  CHECK_THROWS(peer::Server(context, handler, kAddress));
}

// Guards against the end of a process while gRPC completes a call: the completion was
// posted to an io_context that no longer existed.
TEST_CASE("a client that is destroyed ends its calls in flight first")
{
  boost::asio::io_context serverContext;
  TestHandler handler;
  peer::Server server(serverContext, handler, kAddress);
  std::thread serving([&] {
    auto work = boost::asio::make_work_guard(serverContext);
    serverContext.run();
  });
  bool ended = false;
  auto context = std::make_unique<boost::asio::io_context>();
  auto client = std::make_unique<peer::Client>(*context);
  wire::TokenRequest token;
  token.set_micro_tokens(1);
  test::RunCoroutine(*context, AskTokenWhenConnected(*context, *client, token));
  wire::ForwardRequest forward;
  forward.set_body(kSilent);
  boost::asio::co_spawn(*context,
                        client->Forward(kAddress, forward, 1500ms),
                        [&](std::exception_ptr aFailure, wire::ForwardReply) {
                          ended = aFailure != nullptr;
                        });
  context->restart();
  context->run_for(100ms);
  REQUIRE_FALSE(ended);
  client.reset();
  context->run_for(500ms);
  CHECK(ended);
  context.reset();
  std::this_thread::sleep_for(2s); // past the call's time limit
  serverContext.stop();
  serving.join();
}

TEST_CASE("times of messages are limited, so that they cannot overflow")
{
  CHECK(peer::TimeFromWire(1500) == 1500ms);
  CHECK(peer::TimeFromWire(~0ULL) == 24h);
}
