// Unit tests of the entry instance, with a manual clock.
#include <doctest/doctest.h>

#include <fmt/format.h>

#include "base/clock.h"
#include "canned.h"
#include "entry/direct.h"
#include "entry/dump.h"
#include "entry/listener.h"
#include "entry/lookup.h"
#include "entry/pipeline.h"
#include "entry/relay.h"
#include "entry/replication.h"

using namespace vanillaloft;
using namespace vanillaloft::entry;
using namespace std::chrono_literals;

namespace {

std::string ConfigText(unsigned aRevision, const std::string& aKey)
{
  return fmt::format(
    R"({{"revision":{},"regions":[{{"name":"r","data_centres":["d1","d2"]}}],
    "organisations":[
      {{"name":"strict","rate_per_s":100,"burst":40,"isolated_keys":"refuse",
        "keys":[{{"id":"k","sha256":"{}"}}]}},
      {{"name":"lenient","rate_per_s":100,"burst":40,"keys":[{{"id":"k","sha256":"{}"}}]}}],
    "profiles":[{{"name":"p"}}],
    "services":[{{"name":"s","profile":"p","routes":[{{"path":"/s/","kind":"lookup"}},
      {{"path":"/open","kind":"open"}},{{"path":"/order","kind":"order"}}],
      "backend_servers":[]}}]}})",
    aRevision,
    decide::DigestText(aKey),
    decide::DigestText("lenient key"));
}

constexpr const char* kOkResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// The configuration with one more service before the others.
std::string WithFirstService(const std::string& aName, unsigned aRevision)
{
  std::string text = ConfigText(aRevision, "strict key");
  std::string service = fmt::format(
    R"({{"name":"{0}","profile":"p","routes":[{{"path":"/{0}/","kind":"open"}}],
        "backend_servers":[]}},)",
    aName);
  std::string list = R"("services":[)";
  return text.insert(text.find(list) + list.size(), service);
}

// The configuration with a last service "z" that has one backend server with one slot.
std::string WithBackendServer(unsigned aRevision)
{
  std::string text = ConfigText(aRevision, "strict key");
  std::string service =
    R"(,{"name":"z","profile":"p","routes":[{"path":"/z/","kind":"open"}],
        "backend_servers":[{"name":"z-1","data_centre":"d1","address":"127.0.0.1:1",
                            "slots":1}]})";
  return text.insert(text.rfind(']'), service);
}

struct Fixture
{
  boost::asio::io_context mContext;
  base::ManualClock mClock;
  Core mCore{ mContext,
              mClock,
              { "d1", { "127.0.0.1", 1 }, "127.0.0.1:2", {}, "", 30s, 10s, 60s },
              { "127.0.0.1:2", 7 },
              "secret" };
  Admission mAdmission{ mCore };
  NativeFormat mFormat;
  BackendClient mBackend{ mCore, mFormat };
  Pipeline mPipeline{ mCore, mAdmission, mBackend };
  LookupHandler mLookUps{ mCore };

  Fixture()
  {
    mCore.AcceptConfig(decide::ParseConfig(ConfigText(1, "strict key")));
    mClock.Advance(kShareHolderTimeout);
  }

  // Makes the instance hold shares and lets their token buckets fill.
  void HoldShares()
  {
    mCore.mShares.Observe({}, mClock.Now());
    mClock.Advance(decide::kNewHolderWait);
    mCore.mShares.Observe({}, mClock.Now());
    REQUIRE(mCore.mShares.PlanWrite(mClock.Now()));
    mCore.mShares.WriteCommitted(mClock.Now());
    mClock.Advance(2s);
  }

  decide::Registration AddServer(const std::string& aId,
                                 const std::string& aService,
                                 const base::HostPort& aAddress,
                                 unsigned aSlots)
  {
    decide::Registration registration;
    registration.mId = aId;
    registration.mService = aService;
    registration.mDataCentre = "d1";
    registration.mAddress = aAddress;
    registration.mSlots = aSlots;
    mCore.mFleet.Register(registration, mClock.Now());
    return registration;
  }

  Exchange ResolvedLookup(const std::string& aTarget, const std::string& aKey = "")
  {
    Exchange exchange;
    exchange.mHasKey = !aKey.empty();
    exchange.mKey = aKey;
    exchange.mMethod = "GET";
    exchange.mTarget = aTarget;
    exchange.mRequestId = "1";
    exchange.mArrival = mClock.Now();
    exchange.mDeadline = exchange.mArrival + 5s;
    Resolver(mCore).Resolve(exchange);
    return exchange;
  }

  // Calls a function on the context's thread after a delay in real time.
  void After(std::chrono::milliseconds aDelay, std::function<void()> aFunction)
  {
    auto timer = std::make_shared<boost::asio::steady_timer>(mContext, aDelay);
    timer->async_wait([timer, call = std::move(aFunction)](auto) { call(); });
  }

  Result ResultOf(const std::string& aMethod,
                  const std::string& aTarget,
                  const std::string& aKey,
                  const std::string& aTicket = "")
  {
    Exchange exchange;
    exchange.mMethod = aMethod;
    exchange.mTarget = aTarget;
    exchange.mHasKey = !aKey.empty();
    exchange.mKey = aKey;
    exchange.mTicket = aTicket;
    exchange.mArrival = mClock.Now();
    return test::RunCoroutine(mContext, mPipeline.Serve(std::move(exchange))).mResult;
  }
};

Result IdentifyResult(const Fixture& aFixture, const std::string& aKey)
{
  try {
    Resolver(aFixture.mCore).Identify(aKey);
    return Result::Ok;
  } catch (const base::RequestError& error) {
    return error.Code();
  }
}

// Sends a request, closes its connection before the listener reads it if aCloses is set,
// and returns whether the request's handler finds the caller disconnected.
bool SeenAsDisconnected(bool aCloses)
{
  namespace asio = boost::asio;
  using Tcp = asio::ip::tcp;
  Fixture fixture;
  Tcp::endpoint anyPort(asio::ip::address_v4::loopback(), 0);
  Tcp::endpoint at = Tcp::acceptor(fixture.mContext, anyPort).local_endpoint();
  Listener listener(fixture.mCore, fixture.mFormat);
  std::optional<bool> disconnected;
  listener.Open({ "127.0.0.1", at.port() },
                [&](net::Request, CallerConnection& aCaller) -> Awaitable<net::Response> {
                  disconnected = aCaller.IsDisconnected();
                  co_return net::Response(boost::beast::http::status::ok, net::kHttp11);
                });
  Tcp::socket caller(fixture.mContext);
  caller.connect(at);
  asio::write(caller, asio::buffer(std::string("GET /s/x HTTP/1.1\r\n\r\n")));
  if (aCloses) {
    caller.close();
  }
  while (!disconnected) {
    fixture.mContext.run_one();
  }
  return *disconnected;
}

} // namespace

TEST_CASE(
  "an isolated instance refuses unconfirmed keys only for organisations set to refuse")
{
  Fixture fixture;
  fixture.mCore.mMembers.AddAddress("127.0.0.1:3", "d2");
  fixture.mCore.ConfirmRevision(0s);
  CHECK(IdentifyResult(fixture, "strict key") == Result::Ok);
  fixture.mClock.Advance(kMaxConfirmationAge + 1ms);
  CHECK(IdentifyResult(fixture, "strict key") == Result::KeysUnconfirmed);
  CHECK(IdentifyResult(fixture, "lenient key") == Result::Ok);
  decide::MemberStatus other;
  other.mSelf = { "127.0.0.1:3", 1 };
  other.mDataCentre = "d2";
  fixture.mCore.mMembers.RecordStatus(other, fixture.mClock.Now());
  CHECK(IdentifyResult(fixture, "strict key") == Result::Ok);
}

TEST_CASE("an instance is ready once it knows a holder of shares or after a timeout")
{
  Fixture fixture;
  Core fresh(
    fixture.mContext, fixture.mClock, fixture.mCore.mSettings, { "127.0.0.1:2", 8 }, "x");
  CHECK_FALSE(fresh.IsReady());
  fresh.AcceptConfig(decide::ParseConfig(ConfigText(1, "strict key")));
  CHECK_FALSE(fresh.IsReady());
  decide::MemberStatus holder;
  holder.mSelf = { "127.0.0.1:3", 1 };
  holder.mDataCentre = "d2";
  holder.mHoldsShares = true;
  fresh.mMembers.RecordStatus(holder, fixture.mClock.Now());
  CHECK(fresh.IsReady());
  fixture.mClock.Advance(decide::kMemberTimeout);
  CHECK_FALSE(fresh.IsReady());
  fixture.mClock.Advance(kShareHolderTimeout);
  CHECK(fresh.IsReady());
}

// Guards against long refusals after all instances restart together: callers are refused
// until each instance has received a heartbeat from a holder of shares.
TEST_CASE("an instance that is not ready sends heartbeats more often")
{
  Fixture fixture;
  CHECK(fixture.mCore.HeartbeatInterval() == decide::kHeartbeatInterval);
  entry::InstanceSettings settings = fixture.mCore.mSettings;
  Core fresh(fixture.mContext, fixture.mClock, settings, { "127.0.0.1:2", 8 }, "x");
  CHECK(fresh.HeartbeatInterval() == kNotReadyHeartbeatInterval);
  settings.mHeartbeatInterval = kNotReadyHeartbeatInterval / 2;
  Core frequent(fixture.mContext, fixture.mClock, settings, { "127.0.0.1:2", 9 }, "x");
  CHECK(frequent.HeartbeatInterval() == kNotReadyHeartbeatInterval / 2);
}

TEST_CASE("a withdrawn key is refused at the next request")
{
  Fixture fixture;
  CHECK(IdentifyResult(fixture, "strict key") == Result::Ok);
  fixture.mCore.AcceptConfig(decide::ParseConfig(ConfigText(2, "new key")));
  CHECK(IdentifyResult(fixture, "strict key") == Result::KeyUnknown);
  CHECK(IdentifyResult(fixture, "new key") == Result::Ok);
}

TEST_CASE("each refusal has its numbered result")
{
  Fixture fixture;
  CHECK(fixture.ResultOf("GET", "/nowhere", "lenient key") == Result::UnknownRoute);
  CHECK(fixture.ResultOf("GET", "/s/x", "") == Result::KeyMissing);
  CHECK(fixture.ResultOf("GET", "/s/x", "wrong") == Result::KeyUnknown);
  CHECK(fixture.ResultOf("GET", "/order", "lenient key") == Result::MethodNotAllowed);
  CHECK(fixture.ResultOf("DELETE", "/s/x", "lenient key") == Result::MethodNotAllowed);
  CHECK(fixture.ResultOf("GET", "/open", "") == Result::NoBackendServer);
  fixture.mCore.mStopped = true;
  CHECK(fixture.ResultOf("GET", "/open", "") == Result::NotReady);
}

// Guards against a wrong "not run" for an order that ran before its instance was
// replaced: the new instance does not know the earlier attempt.
TEST_CASE(
  "an instance that is not ready reports an unknown outcome for an order with a ticket")
{
  Fixture fixture;
  std::string ticket = *fixture.mCore.mLedger.Issue("lenient", fixture.mClock.Now());
  Core successor(fixture.mContext,
                 fixture.mClock,
                 fixture.mCore.mSettings,
                 { "127.0.0.1:2", 8 },
                 "another secret");
  successor.AcceptConfig(decide::ParseConfig(ConfigText(1, "strict key")));
  REQUIRE_FALSE(successor.IsReady());
  Admission admission(successor);
  BackendClient backend(successor, fixture.mFormat);
  Pipeline pipeline(successor, admission, backend);
  auto resultOf = [&](const std::string& aTicket) {
    Exchange exchange;
    exchange.mMethod = "POST";
    exchange.mTarget = "/order";
    exchange.mHasKey = true;
    exchange.mKey = "lenient key";
    exchange.mTicket = aTicket;
    exchange.mArrival = fixture.mClock.Now();
    return test::RunCoroutine(fixture.mContext, pipeline.Serve(std::move(exchange)))
      .mResult;
  };
  CHECK(resultOf(ticket) == Result::OutcomeUnknown);
  CHECK(resultOf("") == Result::NotReady);
}

// Guards against a wrong "not run" for an order that ran before its instance was
// replaced (REFUSED): the new instance has no tokens of the organisation yet.
TEST_CASE("a lack of tokens says nothing about an order whose ticket another one issued")
{
  Fixture fixture;
  auto config =
    std::make_shared<decide::Config>(*decide::ParseConfig(ConfigText(2, "strict key")));
  for (decide::Profile& profile : config->mProfiles) {
    profile.mQueueTime = {}; // the paused clock would never end a wait
  }
  fixture.mCore.AcceptConfig(config);
  auto resultOf = [&](const std::string& aTicket, const std::string& aTarget) {
    Exchange exchange;
    exchange.mMethod = aTarget == "/order" ? "POST" : "GET";
    exchange.mTarget = aTarget;
    exchange.mHasKey = true;
    exchange.mKey = "lenient key";
    exchange.mTicket = aTicket;
    exchange.mArrival = fixture.mClock.Now();
    return test::RunCoroutine(fixture.mContext,
                              fixture.mPipeline.Serve(std::move(exchange)))
      .mResult;
  };
  decide::TicketLedger former(
    { "127.0.0.1:1", 1 }, "another secret", std::chrono::seconds(30));
  std::string formerTicket = *former.Issue("lenient", fixture.mClock.Now());
  std::string ownTicket = *fixture.mCore.mLedger.Issue("lenient", fixture.mClock.Now());
  REQUIRE(resultOf("", "/s/x") == Result::RateExceeded);
  CHECK(resultOf(formerTicket, "/order") == Result::OutcomeUnknown);
  CHECK(resultOf(ownTicket, "/order") == Result::RateExceeded);
  CHECK(resultOf(formerTicket, "/s/x") == Result::RateExceeded);
}

// Guards against limits that are used up without a response: callers are refused for lack
// of capacity and retry at once.
TEST_CASE("the token of a request that did not run is refunded to its organisation")
{
  Fixture fixture;
  fixture.HoldShares();
  decide::BudgetId budget = fixture.mCore.Config()->mOrganisations[1].mBudget;
  Instant now = fixture.mClock.Now();
  auto burst = fixture.mCore.mShares.CurrentShare(budget, now).mBurst / decide::kToken;
  REQUIRE(burst >= 2);
  for (int i = 0; i < burst; ++i) {
    CHECK(fixture.ResultOf("GET", "/s/x", "lenient key") == Result::NoBackendServer);
  }
  for (int i = 0; i < burst; ++i) {
    CHECK(fixture.mCore.mShares.Debit(budget, decide::kToken, now));
  }
}

// Guards against processes that end at a request of an organisation without a limit
// (LOST): its budget was looked up although it has none.
TEST_CASE("a request of an organisation without a limit takes no token")
{
  Fixture fixture;
  auto config =
    std::make_shared<decide::Config>(*decide::ParseConfig(ConfigText(2, "strict key")));
  config->mOrganisations[1].mBudget = {};
  fixture.mCore.AcceptConfig(config);
  CHECK(fixture.ResultOf("GET", "/s/x", "lenient key") == Result::NoBackendServer);
}

// Guards against processes that end, or log foreign bytes, when an organisation is
// removed while its requests wait (LOST): the request kept its index into the earlier
// table.
TEST_CASE("a request whose organisation is removed has no index into the earlier tables")
{
  Fixture fixture;
  Exchange exchange = fixture.ResolvedLookup("/s/x", "lenient key");
  REQUIRE(exchange.mOrganisation == decide::OrganisationId(1));
  auto config =
    std::make_shared<decide::Config>(*decide::ParseConfig(ConfigText(2, "strict key")));
  config->mOrganisations.pop_back();
  config->mKeys.clear();
  fixture.mCore.AcceptConfig(config);
  CHECK_THROWS_AS(Resolver(fixture.mCore).ResolveIfStale(exchange), ResolveError);
  CHECK(exchange.mConfig == config);
  CHECK(exchange.mOrganisation.IsNone());
  CHECK(exchange.OrganisationNameOr("-") == "-");
}

// The same where the route is removed, or no longer accepts the method.
TEST_CASE("a request that is no longer accepted has no index into the earlier tables")
{
  Fixture fixture;
  auto config =
    std::make_shared<decide::Config>(*decide::ParseConfig(ConfigText(2, "strict key")));
  SUBCASE("route removed")
  {
    config->mRoutes.clear();
  }
  SUBCASE("method refused")
  {
    for (decide::Route& route : config->mRoutes) {
      route.mKind = decide::RouteKind::Order;
    }
  }
  Exchange exchange = fixture.ResolvedLookup("/s/x", "lenient key");
  fixture.mCore.AcceptConfig(config);
  CHECK_THROWS_AS(Resolver(fixture.mCore).ResolveIfStale(exchange), ResolveError);
  CHECK(exchange.mConfig == config);
  CHECK(exchange.mOrganisation.IsNone());
}

TEST_CASE("a token is not refunded to another organisation of a newer configuration")
{
  Fixture fixture;
  Exchange exchange;
  exchange.mMethod = "GET";
  exchange.mTarget = "/open";
  exchange.mDebitedBudget = decide::BudgetId(0);
  Resolver(fixture.mCore).Resolve(exchange);
  CHECK(exchange.mDebitedBudget.IsNone());
}

// Guards against a request to a server that is found to be draining after it was chosen
// and before the request is sent.
TEST_CASE("a server that starts to drain during connection setup gets no request")
{
  Fixture fixture;
  DirectPlacement direct(fixture.mCore, fixture.mBackend);
  test::CannedServer server(fixture.mContext, kOkResponse);
  decide::Registration registration = fixture.AddServer("i-1", "s", server.Address(), 4);
  Exchange exchange = fixture.ResolvedLookup("/open");
  boost::asio::post(fixture.mContext, [&] {
    registration.mDraining = true;
    boost::asio::post(fixture.mContext, [&] {
      fixture.mCore.mFleet.Register(registration, fixture.mClock.Now());
    });
  });
  CHECK_THROWS_AS(test::RunCoroutine(fixture.mContext, direct.Place(exchange)),
                  base::RequestError);
  CHECK(server.Received().empty());
}

// Guards against BUDGET: a request that was chosen before the pause and is still
// connecting. The caller learns the end of the pause.
TEST_CASE("a server that is paused during connection setup gets no request")
{
  Fixture fixture;
  DirectPlacement direct(fixture.mCore, fixture.mBackend);
  Pipeline pipeline(fixture.mCore, fixture.mAdmission, fixture.mBackend, &direct);
  test::CannedServer server(fixture.mContext, kOkResponse);
  fixture.AddServer("i-1", "s", server.Address(), 4);
  decide::ServerPtr paused = fixture.mCore.mFleet.Servers().at("i-1");
  boost::asio::post(fixture.mContext, [&] {
    boost::asio::post(fixture.mContext, [&] {
      fixture.mCore.mFleet.RecordPause(paused, 8s, fixture.mClock.Now());
    });
  });
  decide::Outcome outcome =
    test::RunCoroutine(fixture.mContext, pipeline.Serve(fixture.ResolvedLookup("/open")));
  CHECK(outcome.mResult == Result::NoBackendServer);
  CHECK(outcome.mRetryAfter >= 8s);
  CHECK(server.Received().empty());
}

// Guards against a request that runs at another service (ROUTE): the indexes of a waiting
// request were used with the tables of a newer configuration, which has another order.
TEST_CASE("a request that waits for capacity keeps its service when services are added")
{
  Fixture fixture;
  DirectPlacement direct(fixture.mCore, fixture.mBackend);
  test::CannedServer other(fixture.mContext, kOkResponse);
  fixture.AddServer("i-full", "s", { "127.0.0.1", 1 }, 0);
  fixture.AddServer("i-other", "a", other.Address(), 4);
  Exchange exchange = fixture.ResolvedLookup("/open");
  fixture.After(10ms, [&] {
    fixture.mCore.AcceptConfig(decide::ParseConfig(WithFirstService("a", 2)));
    fixture.mClock.Advance(6s); // past the deadline
  });
  CHECK_THROWS_AS(test::RunCoroutine(fixture.mContext, direct.Place(exchange)),
                  base::RequestError);
  CHECK(other.Received().empty());
}

TEST_CASE("a request that waits for capacity starts when a slot becomes free")
{
  Fixture fixture;
  DirectPlacement direct(fixture.mCore, fixture.mBackend);
  test::CannedServer server(fixture.mContext, kOkResponse);
  fixture.AddServer("i-1", "s", server.Address(), 1);
  decide::ServerPtr full = fixture.mCore.mFleet.Servers().at("i-1");
  full->mInFlight = 1;
  Exchange exchange = fixture.ResolvedLookup("/open");
  fixture.After(10ms, [&] {
    full->mInFlight = 0;
    fixture.mClock.Advance(10ms);
  });
  decide::Outcome outcome = test::RunCoroutine(fixture.mContext, direct.Place(exchange));
  CHECK(outcome.mResult == Result::Ok);
  CHECK(full->mInFlight == 0);
  CHECK(fixture.mCore.mRequestsWaiting == 0);
}

// Callers honour a Retry-After up to a third of the time that they have left.
TEST_CASE("a caller without capacity is told a time that it honours, and is counted")
{
  Fixture fixture;
  DirectPlacement direct(fixture.mCore, fixture.mBackend);
  Pipeline pipeline(fixture.mCore, fixture.mAdmission, fixture.mBackend, &direct);
  fixture.AddServer("i-full", "s", { "127.0.0.1", 1 }, 0);
  Exchange exchange = fixture.ResolvedLookup("/open");
  exchange.mCallerTimeout = 600ms;
  fixture.After(10ms, [&] { fixture.mClock.Advance(300ms); });
  decide::Outcome outcome =
    test::RunCoroutine(fixture.mContext, pipeline.Serve(std::move(exchange)));
  CHECK(outcome.mResult == Result::QueueTimeout);
  CHECK(outcome.mRetryAfter > 0ms);
  CHECK(outcome.mRetryAfter <= 100ms);
  std::string metrics = fixture.mCore.mMetrics.Text();
  CHECK(metrics.find("data_centre=\"d1\",end=\"no-capacity\"") != std::string::npos);
}

// Guards against the same failure at a retry: the configuration changes between the first
// server and the second one.
TEST_CASE("a retried request keeps its service when services are added")
{
  Fixture fixture;
  DirectPlacement direct(fixture.mCore, fixture.mBackend);
  test::CannedServer other(fixture.mContext, kOkResponse);
  test::CannedServer own(fixture.mContext, kOkResponse);
  fixture.AddServer("i-closed", "s", { "127.0.0.1", 1 }, 4);
  fixture.AddServer("i-other", "a", other.Address(), 4);
  Exchange exchange = fixture.ResolvedLookup("/open");
  boost::asio::post(fixture.mContext, [&] {
    fixture.mCore.AcceptConfig(decide::ParseConfig(WithFirstService("a", 2)));
    fixture.AddServer("i-own", "s", own.Address(), 4);
  });
  decide::Outcome outcome = test::RunCoroutine(fixture.mContext, direct.Place(exchange));
  CHECK(outcome.mResult == Result::Ok);
  CHECK(other.Received().empty());
  CHECK_FALSE(own.Received().empty());
}

// Marks answers of the status class 5xx as failures of the server.
struct FailureFormat final : Format
{
  NativeFormat mNative;

  Exchange FromCaller(net::Request aRequest) const override
  {
    return mNative.FromCaller(std::move(aRequest));
  }
  net::Response ToCaller(decide::Outcome aOutcome) const override
  {
    return mNative.ToCaller(std::move(aOutcome));
  }
  net::Request ToServer(const Exchange& aExchange,
                        const AttemptMetadata& aMetadata) const override
  {
    return mNative.ToServer(aExchange, aMetadata);
  }
  ServerAnswer FromServer(net::Response aResponse) const override
  {
    bool failed = aResponse.result_int() >= 500;
    ServerAnswer answer = mNative.FromServer(std::move(aResponse));
    answer.mServerFailed = failed;
    return answer;
  }
};

// Guards against a failure that reaches a caller though its request was repeated with
// success: the failure of the first server was kept beyond the second one's answer.
TEST_CASE("the answer of the second server replaces the failure of the first one")
{
  Fixture fixture;
  FailureFormat format;
  BackendClient backend(fixture.mCore, format);
  DirectPlacement direct(fixture.mCore, backend);
  auto config =
    std::make_shared<decide::Config>(*decide::ParseConfig(ConfigText(2, "strict key")));
  for (decide::Route& route : config->mRoutes) {
    route.mMaxServers = 2;
  }
  fixture.mCore.AcceptConfig(config);
  fixture.mCore.mRetryBudget.Earn("s", 200, 4);
  test::CannedServer failing(
    fixture.mContext,
    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno");
  fixture.AddServer("i-failing", "s", failing.Address(), 4);
  test::CannedServer sound(fixture.mContext, kOkResponse);
  Exchange exchange = fixture.ResolvedLookup("/open");
  boost::asio::post(fixture.mContext,
                    [&] { fixture.AddServer("i-sound", "s", sound.Address(), 4); });
  decide::Outcome outcome = test::RunCoroutine(fixture.mContext, direct.Place(exchange));
  CHECK(outcome.mStatus == 200);
  CHECK(outcome.mBody == "ok");
}

// Guards against a request that is sent without its organisation: its key is withdrawn
// between the first server and the second one.
TEST_CASE("a request whose key is withdrawn before a retry is refused")
{
  Fixture fixture;
  DirectPlacement direct(fixture.mCore, fixture.mBackend);
  test::CannedServer second(fixture.mContext, kOkResponse);
  fixture.AddServer("i-closed", "s", { "127.0.0.1", 1 }, 4);
  Exchange exchange = fixture.ResolvedLookup("/s/x", "strict key");
  boost::asio::post(fixture.mContext, [&] {
    fixture.mCore.AcceptConfig(decide::ParseConfig(ConfigText(2, "new key")));
    fixture.AddServer("i-second", "s", second.Address(), 4);
  });
  Result result = Result::Ok;
  try {
    test::RunCoroutine(fixture.mContext, direct.Place(exchange));
  } catch (const base::RequestError& error) {
    result = error.Code();
  }
  CHECK(result == Result::KeyUnknown);
  CHECK(second.Received().empty());
}

// Guards against the same failure in the native placement: after a wait, the request's
// indexes were used with a configuration that no longer has its service.
TEST_CASE(
  "a request that waits for a slot is resolved again after a configuration change")
{
  Fixture fixture;
  fixture.mCore.AcceptConfig(decide::ParseConfig(WithBackendServer(2)));
  decide::Steering& steer = fixture.mCore.mSteer;
  const decide::Members& members = fixture.mCore.mMembers;
  steer.UpdateOwnership(members, false, fixture.mClock.Now());
  steer.Report(
    decide::BackendServerId(0), decide::ServerState::Serving, fixture.mClock.Now());
  for (Duration owned{}; owned < decide::kHandOverDelay; owned += decide::kFreezeLimit) {
    fixture.mClock.Advance(decide::kFreezeLimit);
    steer.UpdateOwnership(members, false, fixture.mClock.Now());
  }
  decide::ServiceId service = fixture.mCore.Config()->FindService("z");
  auto taken = fixture.mAdmission.TakeSlot(service, decide::Origin::Local);
  REQUIRE(taken);
  fixture.After(10ms, [&] {
    fixture.mCore.AcceptConfig(decide::ParseConfig(ConfigText(3, "strict key")));
  });
  CHECK(fixture.ResultOf("GET", "/z/x", "") == Result::UnknownRoute);
}

// Guards against serving requests without a caller: a process that was suspended reads
// requests whose callers have disconnected in the meantime.
TEST_CASE("a caller that closed before its request was read is reported as disconnected")
{
  CHECK(SeenAsDisconnected(true));
  CHECK_FALSE(SeenAsDisconnected(false));
}

// Guards against an instance that never learns that a server left (DRAIN), through the
// heartbeats: the status of a restarted peer must not confirm a replica that may lack a
// deletion, however often it comes.
TEST_CASE("the heartbeat of a restarted peer does not confirm an older replica")
{
  Fixture cutOff;
  Fixture restarted;
  constexpr auto kSection = store::StoreSection::Registrations;
  cutOff.mCore.mOnItemsChanged = [](const std::vector<store::Item>&) {};
  store::Item item{ "server", "value", 5, false };
  store::Replica& replica = cutOff.mCore.ReplicaOf(kSection);
  replica.ApplyListing({ { item }, 10 }, cutOff.mClock.Now());
  restarted.mCore.ReplicaOf(kSection).ApplyListing({ {}, 30 }, restarted.mClock.Now());
  peer::wire::Status status;
  Replication(restarted.mCore).ReportReplicas(status);
  Replication replication(cutOff.mCore);
  for (int i = 0; i < 3; ++i) {
    replication.HandlePeerStatus(status, cutOff.mClock.Now());
  }
  CHECK(replica.Position().mCompleteRevision == 10);
}

// Guards against requests that a planned stop cuts off (LOST): they came late, were sent
// to a server, and its response did not arrive before the end of the process.
TEST_CASE("a stopping instance refuses requests that its time left does not suffice for")
{
  Fixture fixture;
  auto config =
    std::make_shared<decide::Config>(*decide::ParseConfig(ConfigText(2, "strict key")));
  for (decide::Route& route : config->mRoutes) {
    route.mLatencyTarget = 800ms;
  }
  fixture.mCore.AcceptConfig(config);
  fixture.mCore.mLeaving = true;
  fixture.mCore.mStop.Begin(fixture.mClock.Now() + 3s);
  CHECK(fixture.ResultOf("GET", "/open", "") == Result::NoBackendServer);
  fixture.mClock.Advance(2s);
  CHECK(fixture.ResultOf("GET", "/open", "") == Result::NotReady);
}

TEST_CASE("a request of a stopping instance ends before the process does")
{
  Fixture fixture;
  DirectPlacement direct(fixture.mCore, fixture.mBackend);
  Pipeline pipeline(fixture.mCore, fixture.mAdmission, fixture.mBackend, &direct);
  test::CannedServer server(fixture.mContext, kOkResponse);
  fixture.AddServer("i-1", "s", server.Address(), 4);
  fixture.mCore.mLeaving = true;
  fixture.mCore.mStop.Begin(fixture.mClock.Now() + 600ms);
  Exchange exchange;
  exchange.mMethod = "GET";
  exchange.mTarget = "/open";
  exchange.mArrival = fixture.mClock.Now();
  test::RunCoroutine(fixture.mContext, pipeline.Serve(std::move(exchange)));
  CHECK(server.Received().find("X-Deadline-Ms: 400\r\n") != std::string::npos);
}

// Guards against a process that ends (LOST): the index of the instance's own data centre
// is none if the configuration does not list it.
TEST_CASE("an instance whose data centre is not configured refuses requests")
{
  Fixture fixture;
  auto config =
    std::make_shared<decide::Config>(*decide::ParseConfig(ConfigText(2, "strict key")));
  config->mDataCentres[0].mName = "another";
  fixture.mCore.AcceptConfig(config);
  CHECK(fixture.ResultOf("GET", "/open", "") == Result::NoBackendServer);
}

// Guards against a server that gets no more requests: its slot stayed taken after an
// unexpected error, as HTTP does not allow a body in a TRACE request.
TEST_CASE("a request that cannot be encoded gives its slot back")
{
  Fixture fixture;
  DirectPlacement direct(fixture.mCore, fixture.mBackend);
  test::CannedServer server(fixture.mContext, kOkResponse);
  fixture.AddServer("i-1", "s", server.Address(), 4);
  Exchange exchange = fixture.ResolvedLookup("/open");
  exchange.mMethod = "TRACE";
  exchange.mBody = "body";
  CHECK_THROWS(test::RunCoroutine(fixture.mContext, direct.Place(exchange)));
  CHECK(fixture.mCore.mFleet.Servers().at("i-1")->mInFlight == 0);
}

TEST_CASE("a leaving instance issues no tickets")
{
  Fixture fixture;
  fixture.mLookUps.Rebuild();
  net::Request request(
    boost::beast::http::verb::get, "/v1/lookup?service=s&tickets=2", net::kHttp11);
  CHECK(fixture.mLookUps.Handle(request, 0, "lenient key").find("v1~") !=
        std::string::npos);
  CHECK(fixture.mCore.mLedger.Size() == 2);
  fixture.mCore.mLeaving = true;
  CHECK_THROWS_AS(fixture.mLookUps.Handle(request, 0, "lenient key"), base::RequestError);
  CHECK(fixture.mCore.mLedger.Size() == 2);
}

TEST_CASE("query values are matched by their whole names")
{
  CHECK(QueryValue("/v1/lookup?service=s&tickets=2", "tickets") == "2");
  CHECK(QueryValue("/v1/lookup?xservice=s", "service").empty());
  CHECK(QueryValue("/v1/lookup", "service").empty());
  CHECK(QueryValue("/v1/lookup?service", "service").empty());
}

TEST_CASE("the state dump and metrics contain no key, digest or ticket")
{
  Fixture fixture;
  std::string ticket = *fixture.mCore.mLedger.Issue("lenient", fixture.mClock.Now());
  std::string dump = DumpState(fixture.mCore) + fixture.mCore.mMetrics.Text();
  CHECK(dump.find(decide::DigestText("lenient key")) == std::string::npos);
  CHECK(dump.find(ticket) == std::string::npos);
  CHECK(dump.find("organisation:lenient") != std::string::npos);
}

// Guards against an order that is lost to its caller: its issuer forwards it to an
// instance without capacity, whose refusal has to say that it did not run there.
TEST_CASE("an order that its issuer forwards is refused as not run without capacity")
{
  Fixture fixture;
  Relay relay(fixture.mCore, fixture.mPipeline, fixture.mAdmission.mTokens);
  decide::TicketLedger issuer(
    { "127.0.0.1:1", 1 }, "another secret", std::chrono::seconds(30));
  peer::wire::ForwardRequest request;
  request.set_target("/order");
  request.set_method("POST");
  request.set_organisation("lenient");
  request.set_order(true);
  request.set_ticket(*issuer.Issue("lenient", fixture.mClock.Now()));
  auto reply = test::RunCoroutine(fixture.mContext, relay.OnForward(request));
  CHECK(static_cast<Result>(reply.result()) == Result::NoBackendServer);
}

// Guards against a process that runs out of memory by what peers forward to it.
TEST_CASE("a forwarded request for whose body there is no room is refused as not run")
{
  Fixture fixture;
  Relay relay(fixture.mCore, fixture.mPipeline, fixture.mAdmission.mTokens);
  peer::wire::ForwardRequest request;
  request.set_target("/open");
  request.set_method("POST");
  request.set_body(std::string(100'000, 'x'));
  auto forward = [&] {
    auto reply = test::RunCoroutine(fixture.mContext, relay.OnForward(request));
    return static_cast<Result>(reply.result());
  };
  CHECK(forward() == Result::NoBackendServer);
  Hold other(fixture.mCore.mMemory, {});
  other.SetMessage(fixture.mCore.mMemory.Budget() - 1000);
  CHECK(forward() == Result::MemoryFull);
  other.Reset();
  CHECK(fixture.mCore.mMemory.HeldBytes() == 0);
}
