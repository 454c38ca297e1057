// Tests of the placement of requests on registered backend servers, with load patterns
// from the users' days of heaviest load.
#include <set>

#include <doctest/doctest.h>

#include <fmt/format.h>

#include "decide/fleet.h"
#include "decide/outage.h"
#include "decide/ramp.h"
#include "decide/route.h"
#include "regions.h"

using namespace vanillaloft::decide;
using namespace std::chrono_literals;
using vanillaloft::test::TwoRegions;
namespace base = vanillaloft::base;

namespace {

constexpr Instant kStart{ 1000s };
constexpr double kUnlimitedShift = 1.0;

Registration ServerAt(const std::string& aId, const std::string& aDataCentre)
{
  Registration registration;
  registration.mId = aId;
  registration.mIncarnation = 1;
  registration.mService = "stock";
  registration.mDataCentre = aDataCentre;
  registration.mAddress = { "127.0.0.1", 1 };
  registration.mSlots = 4;
  return registration;
}

struct Fixture
{
  Members mMembers{ "127.0.0.1:2", "east-a" };
  Fleet mFleet;
  ConfigPtr mConfig = TwoRegions();
  Instant mNow = kStart;

  explicit Fixture(double aMaxShift = kUnlimitedShift)
    : mFleet("east-a", mMembers, aMaxShift)
  {
    mFleet.SetConfig(mConfig);
  }

  void AddServers(const std::string& aDataCentre, int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      mFleet.Register(ServerAt(fmt::format("{}-{}", aDataCentre, i), aDataCentre), mNow);
    }
  }

  PlacementQuery QueryFor(const std::string& aObject) const
  {
    PlacementQuery query;
    query.mConfig = mConfig;
    query.mService = ServiceId(0);
    query.mObject = aObject;
    return query;
  }

  // Chooses a server and records five failed requests on it.
  ServerPtr ChooseAndFail(const PlacementQuery& aQuery)
  {
    ServerPtr server = Choose(aQuery);
    for (int i = 0; i < 5; ++i) {
      ++server->mInFlight;
      mFleet.RecordResult(server, SendResult::Failed, mNow);
    }
    return server;
  }

  ServerPtr Choose(const PlacementQuery& aQuery)
  {
    return mFleet.Choose(aQuery, mNow).mServer;
  }
};

std::string IdOf(const ServerPtr& aServer)
{
  return aServer ? aServer->Id() : "none";
}

} // namespace

TEST_CASE("requests for one object go to one server of the own data centre")
{
  Fixture fixture;
  fixture.AddServers("east-a", 3);
  fixture.AddServers("west-a", 3);
  PlacementQuery query = fixture.QueryFor("17");
  ServerPtr first = fixture.Choose(query);
  REQUIRE(first);
  CHECK(first->mRegistration.mDataCentre == "east-a");
  for (int i = 0; i < 3; ++i) {
    CHECK(fixture.Choose(query) == first);
  }
}

TEST_CASE("all instances choose the same servers in any order of registrations")
{
  Fixture one;
  Fixture other;
  one.AddServers("east-a", 3);
  for (int i : { 2, 0, 1 }) {
    other.mFleet.Register(ServerAt(fmt::format("east-a-{}", i), "east-a"), kStart);
  }
  for (int object = 0; object < 40; ++object) {
    std::string name = std::to_string(object);
    CHECK(IdOf(one.Choose(one.QueryFor(name))) ==
          IdOf(other.Choose(other.QueryFor(name))));
    for (const auto& [id, server] : one.mFleet.Servers()) {
      server->mInFlight = 0;
    }
    for (const auto& [id, server] : other.mFleet.Servers()) {
      server->mInFlight = 0;
    }
  }
}

// Guards against a request that runs at another service (ROUTE): an index of one
// configuration names another service in the next one.
TEST_CASE("a query with indexes of another configuration gets no server")
{
  Fixture fixture;
  fixture.AddServers("east-a", 1);
  PlacementQuery query = fixture.QueryFor("17");
  fixture.mFleet.SetConfig(TwoRegions());
  CHECK_FALSE(fixture.Choose(query));
}

// With many users at once, spillover of each request to any server with room spread all
// objects over all servers, and all became slow.
TEST_CASE("requests for a full server's objects spill to few servers only")
{
  Fixture fixture;
  fixture.AddServers("east-a", 4);
  fixture.AddServers("east-b", 4);
  fixture.AddServers("west-a", 4);
  PlacementQuery query = fixture.QueryFor("17");
  query.mMaySpill = true;
  std::set<std::string> used;
  while (ServerPtr server = fixture.Choose(query)) {
    used.insert(server->Id());
  }
  CHECK(used.size() == 3); // one each in the data centre, the region and the other region
  CHECK(fixture.mFleet.Choose(query, fixture.mNow).mReason == NoServerReason::AllFull);
}

TEST_CASE("the shift limiter allows the usual fraction to leave right after a start")
{
  ShiftLimiter limiter(0.1, 2s);
  Instant now = kStart;
  int left = 0;
  for (int i = 0; i < 100; ++i) {
    bool leaves = i % 2 == 0 && limiter.MayLeave(0.5, now);
    limiter.Count(leaves, now);
    left += leaves ? 1 : 0;
    now += 10ms;
  }
  CHECK(left >= 45);
}

TEST_CASE("a server without affinity for the object is used only after a wait")
{
  Fixture fixture;
  fixture.AddServers("east-a", 2);
  PlacementQuery query = fixture.QueryFor("17");
  while (fixture.Choose(query)) {
  }
  query.mMaySpill = true;
  ServerPtr second = fixture.Choose(query);
  REQUIRE(second);
  query.mMaySpill = false;
  CHECK(fixture.Choose(query) == second); // it has affinity for the object now
}

// Several instances send to one server, and each counts only its own requests.
TEST_CASE("load reports add the requests of other instances and decay")
{
  Fixture fixture;
  fixture.AddServers("east-a", 1);
  PlacementQuery query = fixture.QueryFor("17");
  ServerPtr server = fixture.Choose(query);
  for (int i = 0; i < 20; ++i) {
    fixture.mFleet.RecordLoad(server, { 4, 1, 4 }, 250ms, fixture.mNow);
  }
  fixture.mFleet.RecordResult(server, SendResult::Answered, fixture.mNow);
  CHECK_FALSE(fixture.Choose(query));
  fixture.mNow += 10s;
  CHECK(fixture.Choose(query) == server);
}

// With responses that take seconds, reports are rare. When they decayed faster than
// requests ended, many instances together filled the servers' queues.
TEST_CASE("the estimate of other instances' load decays with the response time")
{
  Fixture fixture;
  fixture.AddServers("east-a", 2);
  std::vector<ServerPtr> servers;
  for (const auto& [id, server] : fixture.mFleet.Servers()) {
    servers.push_back(server);
  }
  fixture.mFleet.RecordLoad(servers[0], { 4, 0, 4 }, 200ms, fixture.mNow);
  fixture.mFleet.RecordLoad(servers[1], { 4, 0, 4 }, 2s, fixture.mNow);
  CHECK(OtherInstancesLoad(*servers[0], fixture.mNow + 1s) < 1);
  CHECK(OtherInstancesLoad(*servers[1], fixture.mNow + 1s) > 2);
}

TEST_CASE("draining, evacuated, gone and replaced servers get no requests")
{
  Fixture fixture;
  fixture.AddServers("east-a", 1);
  PlacementQuery query = fixture.QueryFor("17");
  Registration draining = ServerAt("east-a-0", "east-a");
  draining.mDraining = true;
  fixture.mFleet.Register(draining, fixture.mNow);
  CHECK(fixture.mFleet.Choose(query, fixture.mNow).mReason ==
        NoServerReason::NoCandidate);
  fixture.mFleet.Register(ServerAt("east-a-0", "east-a"), fixture.mNow);
  fixture.mFleet.SetEvacuated("east-a", true);
  CHECK_FALSE(fixture.Choose(query));
  fixture.mFleet.SetEvacuated("east-a", false);
  ServerPtr server = fixture.Choose(query);
  REQUIRE(server);
  fixture.mFleet.RecordResult(server, SendResult::Gone, fixture.mNow);
  CHECK_FALSE(fixture.Choose(query));
  Registration again = ServerAt("east-a-0", "east-a");
  again.mIncarnation = 2;
  fixture.mFleet.Register(again, fixture.mNow);
  CHECK(fixture.Choose(query));
}

TEST_CASE("home regions of the route and of the organisation both apply")
{
  Fixture fixture;
  fixture.AddServers("east-a", 1);
  fixture.AddServers("west-a", 1);
  PlacementQuery query = fixture.QueryFor("17");
  query.mRouteHomes = { RegionId(1) };
  CHECK(IdOf(fixture.Choose(query)) == "west-a-0");
  query.mOrganisationHomes = { RegionId(0) };
  CHECK_FALSE(fixture.Choose(query));
}

TEST_CASE("a cold server gets requests at its rate and from its owner only")
{
  Fixture fixture;
  Registration cold = ServerAt("east-a-0", "east-a");
  cold.mColdLeft = 10s;
  cold.mSlots = 100;
  fixture.mFleet.Register(cold, fixture.mNow);
  cold = ServerAt("west-a-0", "west-a");
  cold.mColdLeft = 10s;
  fixture.mFleet.Register(cold, fixture.mNow);
  int sent = 0;
  PlacementQuery query = fixture.QueryFor("17");
  query.mMaySpill = true;
  for (int i = 0; i < 500; ++i, fixture.mNow += 10ms) {
    ServerPtr server = fixture.Choose(query);
    sent += server ? 1 : 0;
    CHECK((!server || server->Id() == "east-a-0"));
  }
  CHECK(sent <= 5 * 5 + 5); // five seconds at the rate, and a tolerance
  CHECK(sent >= 10);
}

TEST_CASE("a server that fails often is used only if no other has room")
{
  Fixture fixture;
  fixture.AddServers("east-a", 2);
  PlacementQuery query = fixture.QueryFor("17");
  ServerPtr first = fixture.ChooseAndFail(query);
  CHECK(fixture.Choose(query) != first);
}

// Servers that were slow or rejected requests for some seconds got no requests for the
// rest of the day.
TEST_CASE("a server that failed gets its objects back after a delay")
{
  Fixture fixture;
  fixture.AddServers("east-a", 2);
  PlacementQuery query = fixture.QueryFor("17");
  ServerPtr first = fixture.ChooseAndFail(query);
  CHECK(fixture.Choose(query) != first);
  fixture.mNow += 4s;
  CHECK(fixture.Choose(query) == first);
}

// All servers of a service reject half of their requests immediately, even when idle.
TEST_CASE("a server that rejects a request despite free slots is not paused")
{
  Fixture fixture;
  fixture.AddServers("east-a", 1);
  PlacementQuery query = fixture.QueryFor("17");
  ServerPtr server = fixture.Choose(query);
  fixture.mFleet.RecordLoad(server, { 0, 0, 4 }, 1ms, fixture.mNow);
  fixture.mFleet.RecordResult(server, SendResult::Full, fixture.mNow);
  CHECK(fixture.Choose(query) == server);
  fixture.mFleet.RecordLoad(server, { 6, 2, 4 }, 1ms, fixture.mNow);
  fixture.mFleet.RecordResult(server, SendResult::Full, fixture.mNow);
  CHECK_FALSE(fixture.Choose(query));
}

TEST_CASE("the candidates' state at a refusal can be listed")
{
  Fixture fixture;
  fixture.AddServers("east-a", 2);
  PlacementQuery query = fixture.QueryFor("17");
  ServerPtr first = fixture.Choose(query);
  fixture.mFleet.RecordLoad(first, { 5, 0, 4 }, 100ms, fixture.mNow);
  fixture.mNow += 20ms;
  CHECK_FALSE(fixture.Choose(query));
  std::vector<CandidateState> states =
    fixture.mFleet.DescribeCandidates(query, fixture.mNow);
  REQUIRE(states.size() == 2);
  CHECK(states[0].mServer == first);
  CHECK(states[0].mInFlight == 1);
  CHECK(states[0].mOtherLoad > 3);
  CHECK(states[0].mReportAge == Duration(20ms));
  CHECK(states[0].mHasAffinity);
  CHECK_FALSE(states[0].mHasRoom);
  CHECK_FALSE(states[1].mReportAge.has_value());
  CHECK(states[1].mHasRoom); // skipped: it has no affinity for the object
}

// After a start all servers are slow, and a third of a region's traffic left it within
// two seconds.
TEST_CASE(
  "the fraction of traffic that leaves a region changes slowly in both directions")
{
  constexpr double kMaxChange = 0.1;
  ShiftLimiter limiter(kMaxChange, 2s);
  Instant now = kStart;
  std::vector<bool> left;
  auto send = [&](bool aOverflows) {
    bool leaves = aOverflows ? limiter.MayLeave(0, now) : limiter.MustLeave(0, now);
    limiter.Count(leaves, now);
    left.push_back(leaves);
    now += 10ms;
  };
  for (int i = 0; i < 8000; ++i) {
    send(i < 4000);
  }
  auto shareOf = [&](std::size_t aFrom) {
    return double(std::count(
             left.begin() + long(aFrom), left.begin() + long(aFrom) + 200, true)) /
           200;
  };
  for (std::size_t i = 200; i + 400 <= left.size(); ++i) {
    CHECK(std::abs(shareOf(i + 200) - shareOf(i)) <= kMaxChange);
  }
  CHECK(shareOf(3800) > 0.7);
  CHECK(shareOf(7800) < 0.2);
}

TEST_CASE(
  "requests of a split route are divided by weight, each always to the same service")
{
  Route route;
  route.mSplit = { { ServiceId(0), 90 }, { ServiceId(1), 10 } };
  int second = 0;
  for (std::uint64_t draw = 0; draw < 1000; ++draw) {
    second += SelectService(route, draw) == ServiceId(1) ? 1 : 0;
    CHECK(SelectService(route, draw) == SelectService(route, draw));
  }
  CHECK(second == 100);
}

TEST_CASE("retries of refused requests are spread")
{
  std::set<Duration> returns;
  for (std::uint64_t draw = 0; draw < 100; ++draw) {
    returns.insert(RetryAfter(base::Result::QueueTimeout, draw * 7919));
  }
  CHECK(returns.size() > 50);
  CHECK(RetryAfter(base::Result::AnswerLost, 1) == Duration::zero());
}

// A server that left 1.3 s after the end of a store outage was used for two more seconds.
TEST_CASE("only servers whose registration expired in a store outage get a grace period")
{
  CHECK(LapsedServerGrace(std::nullopt, kStart) == Duration::zero());
  CHECK(LapsedServerGrace(kStart, kStart) <= 2s);
  CHECK(LapsedServerGrace(kStart, kStart) >= 1s);
  CHECK(LapsedServerGrace(kStart, kStart + 500ms) <= 1500ms);
  CHECK(LapsedServerGrace(kStart, kStart + 1300ms) == Duration::zero());
}

TEST_CASE("a store outage is distinguished from a partition of this instance alone")
{
  StoreOutage outage;
  CHECK_FALSE(outage.LastEnd(kStart));
  outage.RecordAnswer(kStart, kStart);
  // Peers still get responses.
  for (Duration passed = 1s; passed <= 12s; passed += 1s) {
    outage.RecordAnswer(kStart + passed - 900ms, kStart + passed);
    CHECK_FALSE(outage.LastEnd(kStart + passed));
  }
  outage.RecordAnswer(kStart + 13s, kStart + 13s);
  CHECK_FALSE(outage.LastEnd(kStart + 13s));
  // No instance gets responses.
  CHECK(outage.LastEnd(kStart + 18s) == kStart + 18s);
  outage.RecordAnswer(kStart + 18s, kStart + 18200ms);
  CHECK(outage.LastEnd(kStart + 20s) == kStart + 18200ms);
}

TEST_CASE("a delayed record of an old response does not end an outage")
{
  StoreOutage outage;
  outage.RecordAnswer(kStart, kStart);
  outage.RecordAnswer(kStart - 2s, kStart + 5s);
  CHECK(outage.LastEnd(kStart + 5s) == kStart + 5s);
}
