// Tests of the forecast of requests' work, each named after the load
// that it answers.
#include <map>
#include <string>

#include <doctest/doctest.h>

#include <fmt/format.h>

#include "decide/cost.h"
#include "decide/fleet.h"
#include "decide/hash.h"
#include "regions.h"

using namespace vanillaloft::decide;
using namespace std::chrono_literals;
using vanillaloft::test::TwoRegions;

namespace {

constexpr Instant kStart{ 1000s };
constexpr std::uint64_t kRoute = 7;
constexpr Duration kWarmWork = 190ms;
constexpr Duration kColdWork = 640ms;
constexpr unsigned kSlots = 4;

Flight FlightSentAt(std::uint64_t aNumber, Instant aSentAt, Duration aWork)
{
  return { aNumber, {}, aSentAt, 0ms, aWork };
}

// One instance and servers whose work takes as long as a test says.
struct Load
{
  struct Running
  {
    ServerChoice mChoice;
    Instant mSentAt;
  };

  Members mMembers{ "127.0.0.1:2", "east-a" };
  Fleet mFleet{ "east-a", mMembers, 1.0 };
  ConfigPtr mConfig = TwoRegions();
  Instant mNow = kStart;
  std::multimap<Instant, Running> mRunning; // by their end
  double mSlowFactor = 1;                   // of the slow servers
  bool mReportsLoad = true;
  bool mReportsPace = true;

  explicit Load(int aServersPerDataCentre)
  {
    mFleet.SetConfig(mConfig);
    for (const char* dataCentre : { "east-a", "east-b", "west-a", "west-b" }) {
      for (int i = 0; i < aServersPerDataCentre; ++i) {
        Registration server;
        server.mId = fmt::format("{}-{}", dataCentre, i);
        server.mIncarnation = 1;
        server.mService = "stock";
        server.mDataCentre = dataCentre;
        server.mSlots = kSlots;
        mFleet.Register(server, mNow);
      }
    }
  }

  // 40 in 100 servers of each data centre.
  static bool IsSlow(const Server& aServer) { return HashOf(aServer.Id()) % 100 < 40; }

  PlacementQuery QueryFor(int aObject) const
  {
    PlacementQuery query;
    query.mConfig = mConfig;
    query.mService = ServiceId(0);
    query.mObject = std::to_string(aObject);
    query.mRoute = kRoute;
    return query;
  }

  ServerChoice Send(int aObject)
  {
    ServerChoice choice = mFleet.Choose(QueryFor(aObject), mNow);
    if (choice.mServer) {
      bool slow = IsSlow(*choice.mServer);
      bool foreign = choice.mServer->mRegistration.mDataCentre.starts_with("west");
      Duration work = foreign ? kColdWork : kWarmWork;
      work *= slow ? static_cast<int>(mSlowFactor) : 1;
      mRunning.insert({ mNow + work, { choice, mNow } });
    }
    return choice;
  }

  void AdvanceTo(Instant aTo)
  {
    while (!mRunning.empty() && mRunning.begin()->first <= aTo) {
      auto [end, running] = *mRunning.begin();
      mRunning.erase(mRunning.begin());
      const ServerPtr& server = running.mChoice.mServer;
      LoadReport report{ server->mInFlight - 1, 0, kSlots };
      if (mReportsPace) {
        report.mPace = 1;
      }
      if (mReportsLoad) {
        mFleet.RecordLoad(server, report, end - running.mSentAt, end);
      }
      mFleet.RecordResult(server, SendResult::Answered, end, running.mChoice.mFlight);
    }
    mNow = aTo;
  }

  // Sends a request each 40 ms for the objects in turn.
  void Run(Duration aTime)
  {
    static int object = 0;
    for (Instant end = mNow + aTime; mNow < end; AdvanceTo(mNow + 40ms)) {
      Send(object++ % 50);
    }
  }

  // The mean forecast of requests that go to slow servers.
  Duration ForecastOfSlow()
  {
    Duration sum{};
    int count = 0;
    for (int object = 0; object < 50; ++object) {
      ServerChoice choice = mFleet.Choose(QueryFor(object), mNow);
      if (choice.mServer && IsSlow(*choice.mServer)) {
        sum += choice.mFlight.Expected();
        ++count;
      }
      if (choice.mServer) {
        mFleet.RecordResult(choice.mServer, SendResult::Cancelled, mNow, choice.mFlight);
      }
    }
    return sum / std::max(1, count);
  }
};

} // namespace

TEST_CASE("40 in 100 servers slow by 12 are forecast slow within a second, and recover")
{
  Load load(10);
  load.Run(5s);
  CHECK(load.ForecastOfSlow() < kWarmWork * 3 / 2);
  load.mSlowFactor = 12;
  load.Run(2s);
  CHECK(load.ForecastOfSlow() > kWarmWork * 2);
  load.mSlowFactor = 1;
  load.Run(8s);
  CHECK(load.ForecastOfSlow() < kWarmWork * 2);
}

TEST_CASE("a cold object at an idle server is expected to take longer than a warm one")
{
  Load load(1);
  load.Run(3s);
  load.AdvanceTo(load.mNow + 5s);
  std::vector<const Server*> inRegion;
  for (const auto& [id, server] : load.mFleet.Servers()) {
    if (id.starts_with("east")) {
      inRegion.push_back(server.get());
    }
  }
  ServerChoice choice;
  for (int object = 100; object < 120; ++object) {
    PlacementQuery query = load.QueryFor(object);
    query.mTried = inRegion;
    choice = load.mFleet.Choose(query, load.mNow);
    load.mNow += kColdWork;
    load.mFleet.RecordResult(
      choice.mServer, SendResult::Answered, load.mNow, choice.mFlight);
  }
  CHECK(choice.mFlight.Expected() > 500ms);
  CHECK(load.Send(1).mFlight.Expected() < kWarmWork * 5 / 4);
}

TEST_CASE("a tail of long runners occupies slots and not the server")
{
  Backlog backlog;
  Instant now = kStart + 10s;
  backlog.Add(FlightSentAt(1, kStart, kWarmWork));
  CHECK(backlog.WaitForSlot(kSlots, 0, kWarmWork, now) == 0ms);
  for (std::uint64_t number : { 2, 3, 4 }) {
    backlog.Add(FlightSentAt(number, now - 100ms, kWarmWork));
  }
  CHECK(backlog.WaitForSlot(kSlots, 0, kWarmWork, now) == 90ms);
  CHECK(backlog.OverdueRatio(now) > 5);
  backlog.Remove(2, true);
  CHECK(backlog.OverdueRatio(now) == 1);
}

TEST_CASE("one long answer moves the pace less than two in a row")
{
  Pace once;
  once.Observe(7, kStart);
  CHECK(once.At(kStart) < 5);
  Pace twice = once;
  twice.Observe(7, kStart + 100ms);
  CHECK(twice.At(kStart + 100ms) > once.At(kStart + 100ms) + 1);
  CHECK(twice.At(kStart + 5s) < 2.5);
}

TEST_CASE("a server's own figure, which changes many times per second, fades")
{
  Pace pace;
  pace.Report(4, kStart);
  CHECK(pace.At(kStart) == doctest::Approx(4));
  CHECK(pace.At(kStart + 600ms) < 1.3);
}

TEST_CASE("requests that look alike cost what their route, object and body size suggest")
{
  WorkForecast forecast;
  CHECK_FALSE(forecast.Expect({ kRoute, Familiarity::Home, 0 }));
  for (int i = 0; i < 20; ++i) {
    forecast.Learn({ kRoute, Familiarity::Home, 0 }, kWarmWork);
    forecast.Learn({ kRoute, Familiarity::Foreign, 0 }, kColdWork);
    forecast.Learn({ kRoute, Familiarity::Home, 60'000 }, 2s);
  }
  CHECK(forecast.Expect({ kRoute, Familiarity::Recent, 0 }) == kWarmWork);
  CHECK(forecast.Expect({ kRoute, Familiarity::Foreign, 0 }) == kColdWork);
  CHECK(forecast.Expect({ kRoute, Familiarity::Home, 50'000 }) == Duration(2s));
  CHECK_FALSE(forecast.Expect({ kRoute + 1, Familiarity::Home, 0 }));
}

TEST_CASE("three long requests in a hundred move the forecast little")
{
  WorkForecast forecast;
  WorkClass work{ kRoute, Familiarity::Home, 0 };
  for (int i = 0; i < 200; ++i) {
    forecast.Learn(work, i % 33 == 0 ? 7 * kWarmWork : kWarmWork);
  }
  CHECK(*forecast.Expect(work) < kWarmWork * 5 / 4);
}

// The servers of the days played so far never sent the fourth figure, so nothing was
// forecast on them.
TEST_CASE("without the server's own pace the work is forecast from answers alone")
{
  Load load(10);
  load.mReportsPace = false;
  load.Run(5s);
  CHECK(load.mFleet.ForecastsWork(ServiceId(0)));
  CHECK(load.ForecastOfSlow() < kWarmWork * 3 / 2);
  load.mSlowFactor = 12;
  load.Run(2s);
  CHECK(load.ForecastOfSlow() > kWarmWork * 2);
}

TEST_CASE("without load reports nothing is forecast")
{
  Load load(1);
  load.mReportsLoad = false;
  load.Run(3s);
  CHECK_FALSE(load.mFleet.ForecastsWork(ServiceId(0)));
  CHECK(load.Send(1).mFlight.mWork == 0ms);
}

TEST_CASE("the usual pace of a server that gets nothing is forgotten")
{
  Pace pace;
  for (int i = 0; i < 50; ++i) {
    pace.Observe(3, kStart);
  }
  CHECK(pace.At(kStart) > 2.5);
  CHECK(pace.At(kStart + 20s) < 1.1);
}

// 14 instances send to one server, each knows only how many requests the others have
// there on average.
TEST_CASE("a server that is nearly full on average is expected to make some wait")
{
  Backlog backlog;
  CHECK(backlog.WaitForSlot(kSlots, 0, kWarmWork, kStart) == 0ms);
  Duration half = backlog.WaitForSlot(kSlots, kSlots / 2, kWarmWork, kStart);
  Duration full = backlog.WaitForSlot(kSlots, kSlots, kWarmWork, kStart);
  CHECK(half > 0ms);
  CHECK(half < kWarmWork / 8);
  CHECK(full > 2 * half);
  CHECK(full < kWarmWork);
}

TEST_CASE("answers of a server at which others wait don't make a route look dear")
{
  Load load(1);
  load.Run(3s);
  for (int i = 0; i < 20; ++i) {
    ServerChoice choice = load.mFleet.Choose(load.QueryFor(1), load.mNow);
    load.mNow += 2s;
    load.mFleet.RecordLoad(choice.mServer, { kSlots, 9, kSlots }, 2s, load.mNow);
    load.mFleet.RecordResult(
      choice.mServer, SendResult::Answered, load.mNow, choice.mFlight);
    load.mNow += 200s;
  }
  ServerChoice next = load.mFleet.Choose(load.QueryFor(1), load.mNow);
  CHECK(next.mFlight.mWork < kWarmWork * 9 / 8);
}
