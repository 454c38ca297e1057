// Unit tests of what requests get that an instance holds when a planned stop begins.
#include <doctest/doctest.h>

#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "canned.h"
#include "entry/direct.h"
#include "entry/listener.h"
#include "entry/relay.h"

using namespace vanillaloft;
using namespace vanillaloft::entry;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// Requests may wait longer than a stop lasts.
constexpr const char* kConfig = R"({"revision":1,
  "regions":[{"name":"r","data_centres":["d1"]}],
  "organisations":[{"name":"shop","rate_per_s":100,"burst":40,
    "keys":[{"id":"k","sha256":")";
constexpr const char* kConfigEnd = R"("}]}],
  "profiles":[{"name":"p","deadline_ms":30000,"queue_ms":30000}],
  "services":[{"name":"s","profile":"p","routes":[{"path":"/open","kind":"open"},
    {"path":"/shop","kind":"lookup"}],"backend_servers":[
      {"name":"s-1","data_centre":"d1","address":"127.0.0.1:1","slots":1}]}]})";

constexpr Duration kStopTime = 3s;

// An instance whose stop is driven as daemon::Loops does it, on a clock that is advanced.
struct StoppingInstance
{
  asio::io_context mContext;
  base::ManualClock mClock;
  Core mCore{ mContext,
              mClock,
              { "d1", { "127.0.0.1", 1 }, "127.0.0.1:2", {}, "", 30s, 100s, kStopTime },
              { "127.0.0.1:2", 7 },
              "secret" };
  Admission mAdmission{ mCore };
  NativeFormat mFormat;
  BackendClient mBackend{ mCore, mFormat };
  DirectPlacement mDirect{ mCore, mBackend };
  test::ScriptedServer mSilentServer{ mContext, { "" } }; // reads requests only

  StoppingInstance()
  {
    mCore.AcceptConfig(
      decide::ParseConfig(kConfig + decide::DigestText("key") + kConfigEnd));
    mClock.Advance(kShareHolderTimeout);
  }

  // Registers the silent server with one slot.
  void RegisterServer() { RegisterServer(mSilentServer.Address()); }
  void RegisterServer(const base::HostPort& aAddress)
  {
    decide::Registration registration;
    registration.mId = "i-1";
    registration.mService = "s";
    registration.mDataCentre = "d1";
    registration.mAddress = aAddress;
    registration.mSlots = 1;
    mCore.mFleet.Register(registration, mClock.Now());
  }

  // Makes the instance own the configured server, which accepts no connections.
  void OwnServer()
  {
    decide::Steering& steer = mCore.mSteer;
    steer.UpdateOwnership(mCore.mMembers, false, mClock.Now());
    steer.Report(decide::BackendServerId(0), decide::ServerState::Serving, mClock.Now());
    for (Duration owned{}; owned < decide::kHandOverDelay;
         owned += decide::kFreezeLimit) {
      mClock.Advance(decide::kFreezeLimit);
      steer.UpdateOwnership(mCore.mMembers, false, mClock.Now());
    }
  }

  static Exchange Request(const std::string& aTarget)
  {
    Exchange exchange;
    exchange.mMethod = "GET";
    exchange.mTarget = aTarget;
    exchange.mRequestId = "1";
    exchange.mKey = "key";
    exchange.mHasKey = true;
    return exchange;
  }

  // Starts serving a request, whose outcome is stored in aOutcome.
  void Serve(Pipeline& aPipeline,
             const std::string& aTarget,
             std::optional<decide::Outcome>& aOutcome)
  {
    Exchange exchange = Request(aTarget);
    exchange.mArrival = mClock.Now();
    asio::co_spawn(mContext,
                   aPipeline.Serve(std::move(exchange)),
                   [&](std::exception_ptr, decide::Outcome aServed) {
                     aOutcome = std::move(aServed);
                   });
    mContext.run_for(20ms);
  }

  // Stops as planned. Returns the time from the beginning until aDone, or nothing if the
  // process ended before.
  template<typename Condition>
  std::optional<Duration> StopUntil(Condition aDone)
  {
    constexpr Duration kStep = 20ms;
    mCore.mLeaving = true;
    mCore.mStop.Begin(mClock.Now() + kStopTime);
    for (Duration passed{}; passed < kStopTime; passed += kStep) {
      mCore.EndOverdueWaits();
      mContext.run_for(6ms);
      if (aDone()) {
        return passed;
      }
      mClock.Advance(kStep);
    }
    return std::nullopt;
  }
};

// Serves a request that has to wait, and stops. Returns its outcome.
std::optional<decide::Outcome> OutcomeInStop(StoppingInstance& aInstance,
                                             Pipeline& aPipeline,
                                             const std::string& aTarget)
{
  std::optional<decide::Outcome> waiting;
  aInstance.Serve(aPipeline, aTarget, waiting);
  REQUIRE_FALSE(waiting);
  CHECK(aInstance.StopUntil([&] { return waiting.has_value(); }));
  return waiting;
}

bool IsTrueRefusal(const std::optional<decide::Outcome>& aOutcome)
{
  return aOutcome && base::InfoOf(aOutcome->mResult).mStatus == 503 &&
         base::InfoOf(aOutcome->mResult).mExecuted == base::Executed::No;
}

} // namespace

// Guards against requests that end with the process (LOST): those that waited for a slot
// when the stop began kept their own deadlines.
TEST_CASE("requests that wait for capacity in a stop are refused before its end")
{
  StoppingInstance instance;
  Pipeline pipeline(
    instance.mCore, instance.mAdmission, instance.mBackend, &instance.mDirect);
  instance.RegisterServer();
  std::optional<decide::Outcome> sent;
  std::optional<decide::Outcome> waiting;
  instance.Serve(pipeline, "/open", sent);
  instance.Serve(pipeline, "/open", waiting);
  REQUIRE(instance.mCore.mRequestsWaiting == 1);
  CHECK(instance.StopUntil([&] { return waiting.has_value(); }));
  CHECK(IsTrueRefusal(waiting));
}

// Guards against the opposite: what is at work at its server, and may still be answered,
// is not ended as long as an answer could be passed on.
TEST_CASE("a request that a server works on in a stop is ended last, as one that may run")
{
  StoppingInstance instance;
  Pipeline pipeline(
    instance.mCore, instance.mAdmission, instance.mBackend, &instance.mDirect);
  instance.RegisterServer();
  std::optional<decide::Outcome> sent;
  instance.Serve(pipeline, "/open", sent);
  auto ended = instance.StopUntil([&] { return sent.has_value(); });
  REQUIRE(ended);
  CHECK(*ended >= kStopTime - 60ms);
  CHECK(sent->mResult == Result::AnswerTimeout);
}

// Guards against the same failure where requests wait in the queue for owned servers.
TEST_CASE("requests that wait for a slot of an owned server are refused before the end")
{
  StoppingInstance instance;
  Pipeline pipeline(instance.mCore, instance.mAdmission, instance.mBackend);
  instance.OwnServer();
  auto taken = instance.mAdmission.TakeSlot(decide::ServiceId(0), decide::Origin::Local);
  REQUIRE(taken);
  CHECK(IsTrueRefusal(OutcomeInStop(instance, pipeline, "/open")));
}

// Guards against the same failure, and against a refusal by the rate (429) that only the
// stop caused.
TEST_CASE("requests that wait for a token in a stop are refused before its end")
{
  StoppingInstance instance;
  Pipeline pipeline(instance.mCore, instance.mAdmission, instance.mBackend);
  CHECK(IsTrueRefusal(OutcomeInStop(instance, pipeline, "/shop")));
}

// Guards against requests that end with the process (LOST) while a server's address does
// not answer: the wait for a connection lasted beyond the end of the stop.
TEST_CASE("requests that wait for a connection to a server are refused before the end")
{
  StoppingInstance instance;
  Pipeline pipeline(
    instance.mCore, instance.mAdmission, instance.mBackend, &instance.mDirect);
  Tcp::acceptor full(instance.mContext,
                     Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  full.listen(0);
  std::vector<Tcp::socket> queued;
  for (int i = 0; i < 4; ++i) {
    queued.emplace_back(instance.mContext);
    queued.back().async_connect(full.local_endpoint(), [](boost::system::error_code) {});
  }
  instance.mContext.run_for(10ms);
  instance.RegisterServer({ "127.0.0.1", full.local_endpoint().port() });
  instance.mCore.mStop.Begin(instance.mClock.Now() + kStopTime);
  instance.mClock.Advance(kStopTime - 250ms);
  std::optional<decide::Outcome> connecting;
  instance.Serve(pipeline, "/open", connecting);
  REQUIRE_FALSE(connecting);
  instance.mClock.Advance(60ms);
  instance.mCore.EndOverdueWaits();
  instance.mContext.run_for(20ms);
  CHECK(IsTrueRefusal(connecting));
}

// Listens at an address with a handler that returns after a time of the I/O context.
struct SlowListener
{
  Listener mListener;
  Tcp::endpoint mAt;

  SlowListener(StoppingInstance& aInstance, Duration aHandlerTime)
    : mListener(aInstance.mCore, aInstance.mFormat)
  {
    Tcp::endpoint anyPort(asio::ip::address_v4::loopback(), 0);
    mAt = Tcp::acceptor(aInstance.mContext, anyPort).local_endpoint();
    mListener.Open({ "127.0.0.1", mAt.port() },
                   [&core = aInstance.mCore, aHandlerTime](
                     net::Request, CallerConnection&) -> Awaitable<net::Response> {
                     co_await core.Sleep(aHandlerTime);
                     co_return net::Response(boost::beast::http::status::ok,
                                             net::kHttp11);
                   });
  }
};

// Guards against requests that end with the process (LOST) in a wait that no limit of the
// stop ends: their callers still get an answer, and one only.
TEST_CASE("a request whose handler does not return gets an answer at the end of a stop")
{
  StoppingInstance instance;
  SlowListener slow(instance, 200ms);
  Tcp::socket caller(instance.mContext);
  caller.connect(slow.mAt);
  asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
  instance.mContext.run_for(50ms);
  instance.mCore.mStop.Begin(instance.mClock.Now());
  slow.mListener.AnswerUnhandled();
  slow.mListener.AnswerUnhandled();
  instance.mContext.run_for(50ms);
  REQUIRE(caller.available() > 0);
  instance.mContext.run_for(1s); // the handler returns and the caller does not close
  CHECK_FALSE(slow.mListener.HasUndelivered());
  std::string received = test::ReadAll(caller);
  CHECK(received.starts_with("HTTP/1.1 504 "));
  CHECK(received.find("HTTP/1.1 200 ") == std::string::npos);
}

// Guards against the end of a request that has arrived in part without a word.
TEST_CASE("a request that arrives in part in a stop is refused before its end")
{
  StoppingInstance instance;
  SlowListener slow(instance, 0s);
  Tcp::socket caller(instance.mContext);
  caller.connect(slow.mAt);
  Tcp::socket idle(instance.mContext);
  idle.connect(slow.mAt);
  std::string half = "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab";
  asio::write(caller, asio::buffer(half));
  instance.mContext.run_for(50ms);
  auto answered = [&] { return caller.available() > 0; };
  CHECK(instance.StopUntil(answered));
  slow.mListener.CloseIdle();
  instance.mContext.run_for(50ms);
  CHECK(test::ReadAll(caller).starts_with("HTTP/1.1 503 "));
  CHECK(idle.available() == 0);
}

// Guards against a stop that does not wait for what it does for other instances.
TEST_CASE("a request that a peer forwarded counts as held and is ended before the stop")
{
  StoppingInstance instance;
  Pipeline pipeline(instance.mCore, instance.mAdmission, instance.mBackend);
  Relay relay(instance.mCore, pipeline, instance.mAdmission.mTokens);
  auto config = std::make_shared<decide::Config>(*instance.mCore.Config());
  config->mRevision = 2;
  config->mBackendServers[0].mPort = instance.mSilentServer.Address().mPort;
  instance.mCore.AcceptConfig(config);
  instance.OwnServer();
  peer::wire::ForwardRequest request;
  request.set_method("GET");
  request.set_target("/open");
  request.set_data_centre("d1");
  request.set_deadline_ms(30'000);
  std::optional<peer::wire::ForwardReply> reply;
  asio::co_spawn(
    instance.mContext,
    relay.OnForward(request),
    [&](std::exception_ptr, peer::wire::ForwardReply aReply) { reply = aReply; });
  instance.mContext.run_for(20ms);
  REQUIRE_FALSE(reply);
  CHECK(instance.mCore.mHeld.All().size() == 1);
  CHECK(instance.StopUntil([&] { return reply.has_value(); }));
  CHECK(instance.mCore.mHeld.All().empty());
}
