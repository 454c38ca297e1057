// Tests of the decisions under overload, each with the load that it answers. Callers
// compete for the slots of a few servers on a paused clock; nothing is sent.
#include <list>
#include <random>

#include <doctest/doctest.h>

#include <fmt/format.h>

#include "decide/dispatch.h"
#include "regions.h"

using namespace vanillaloft::decide;
using namespace std::chrono_literals;
using vanillaloft::test::TwoRegions;

namespace {

constexpr Instant kStart{ 1000s };
constexpr Duration kStep = 5ms;

struct Kind
{
  unsigned mPriority = 0;
  Duration mWork = 100ms;
  Duration mTarget = 400ms;
  Duration mTimeout = 3s;
};

struct Source
{
  Kind mKind;
  std::string mOrganisation;
  std::string mDataCentre;
  double mPerSecond = 0;
  bool mPatient = true; // otherwise repeats at once, three times
};

// How the requests of one source ended.
struct Tally
{
  double mCame = 0;
  double mInTime = 0;
  double mLate = 0;
  double mReturned = 0;
  double mRefusedAgain = 0;

  double Served() const { return mInTime + mLate; }
  double ServedPart() const { return mCame > 0 ? Served() / mCame : 1; }
};

class Load
{
public:
  explicit Load(int aServers)
    : mServers(aServers)
  {
    mFleet.SetConfig(mConfig);
    for (int i = 0; i < aServers; ++i) {
      Registration registration;
      registration.mId = fmt::format("s{}", i);
      registration.mService = "stock";
      registration.mDataCentre = "east-a";
      registration.mSlots = kSlots;
      mFleet.Register(registration, mNow);
    }
  }

  // Requests per second that the servers can handle.
  double Room(Duration aWork) const
  {
    return mServers * kSlots / std::chrono::duration<double>(aWork).count();
  }

  std::size_t Add(const Source& aSource)
  {
    mSources.push_back({ aSource, {}, 0 });
    return mSources.size() - 1;
  }
  void SetRate(std::size_t aSource, double aPerSecond)
  {
    mSources[aSource].mSource.mPerSecond = aPerSecond;
  }
  const Tally& Of(std::size_t aSource) const { return mSources[aSource].mTally; }
  void ForgetTallies()
  {
    for (State& state : mSources) {
      state.mTally = {};
    }
  }
  // Records requests of a source that were refused earlier, for whatever reason.
  void RecordRefused(std::size_t aSource, int aCount)
  {
    const Source& source = mSources[aSource].mSource;
    for (int i = 0; i < aCount; ++i) {
      mShares.Record(GroupsOf(source), false, false, mNow);
    }
  }

  void Run(Duration aTime)
  {
    for (Instant end = mNow + aTime; mNow < end; mNow += kStep) {
      EndWork();
      AskAgain();
      Arrive();
    }
  }

private:
  static constexpr unsigned kSlots = 4;
  struct State
  {
    Source mSource;
    Tally mTally;
    double mDue = 0;
  };
  struct Request
  {
    std::size_t mSource = 0;
    std::string mObject;
    Instant mFirst{};
    Instant mArrival{};
    Instant mNext{};     // when it returns, asks again or ends
    Duration mElapsed{}; // since the first attempt, as the instance sees it
    unsigned mAttempt = 1;
    bool mTold = false; // to come back
    Dispatcher::Number mNumber = 0;
    ServerChoice mChoice = {};
  };

  static RequestGroups GroupsOf(const Source& aSource)
  {
    return { aSource.mOrganisation,
             aSource.mDataCentre,
             std::to_string(aSource.mKind.mPriority) };
  }

  Tally& TallyOf(const Request& aRequest) { return mSources[aRequest.mSource].mTally; }

  void Arrive()
  {
    std::list<Request> due;
    for (auto caller = mReturning.begin(); caller != mReturning.end();) {
      auto next = std::next(caller);
      if (caller->mNext <= mNow) {
        due.splice(due.end(), mReturning, caller);
      }
      caller = next;
    }
    for (std::size_t i = 0; i < mSources.size(); ++i) {
      State& state = mSources[i];
      std::poisson_distribution<int> count(
        state.mSource.mPerSecond * std::chrono::duration<double>(kStep).count() + 1e-9);
      for (int left = count(mRandom); left > 0; --left) {
        ++state.mTally.mCame;
        due.push_back({ i, std::to_string(mRandom() % 12), mNow });
      }
    }
    for (Request& request : due) {
      request.mArrival = mNow;
      request.mNumber = mDispatcher.NextNumber();
      Ask(std::move(request));
    }
  }

  void AskAgain()
  {
    std::list<Request> due;
    for (auto waiter = mWaiting.begin(); waiter != mWaiting.end();) {
      auto next = std::next(waiter);
      if (waiter->mNext <= mNow || mWoken.erase(waiter->mNumber) > 0) {
        due.splice(due.end(), mWaiting, waiter);
      }
      waiter = next;
    }
    for (Request& request : due) {
      Ask(std::move(request));
    }
  }

  void Ask(Request aRequest)
  {
    const Source& source = mSources[aRequest.mSource].mSource;
    const Kind& kind = source.mKind;
    Duration timeout = kind.mTimeout - (aRequest.mArrival - aRequest.mFirst);
    PlacementRequest request;
    request.mQuery.mConfig = mConfig;
    request.mQuery.mService = ServiceId(0);
    request.mQuery.mObject = aRequest.mObject;
    if (aRequest.mArrival == mNow) {
      aRequest.mElapsed = mTimeouts.Elapsed(kind.mPriority, timeout, mNow);
    }
    request.mTerms = { aRequest.mArrival - aRequest.mElapsed + kind.mTarget,
                       aRequest.mArrival + timeout,
                       kind.mWork,
                       ReturnOf(aRequest.mElapsed, timeout) };
    request.mRoutePriority = kind.mPriority;
    request.mTreatment = mShares.Of(GroupsOf(source), mNow);
    request.mSpillAt = aRequest.mArrival + kind.mTarget / 8;
    auto decision = mDispatcher.Ask(aRequest.mNumber, request, mNow);
    if (decision.mStep == Dispatcher::Step::Start) {
      mReturns.Of("stock", kind.mPriority).RecordStart(mNow);
      aRequest.mChoice = decision.mChoice;
      aRequest.mNext = mNow + kind.mWork;
      mRunning.push_back(std::move(aRequest));
    } else if (decision.mStep == Dispatcher::Step::Wait) {
      aRequest.mNext = mNow + Dispatcher::kPollInterval;
      mWaiting.push_back(std::move(aRequest));
    } else {
      Refuse(std::move(aRequest), decision.mExpectedWait, timeout);
    }
  }

  void Refuse(Request aRequest, Duration aExpectedWait, Duration aTimeout)
  {
    const Source& source = mSources[aRequest.mSource].mSource;
    Tally& tally = TallyOf(aRequest);
    mShares.Record(GroupsOf(source), false, aRequest.mElapsed > 0s, mNow);
    Duration left = aTimeout - (mNow - aRequest.mArrival);
    Duration least = std::max(aExpectedWait, kMinReturnDelay);
    Duration delay = mReturns.Of("stock", source.mKind.mPriority)
                       .Book(least, left, mNow - aRequest.mFirst, mNow)
                       .value_or(kMinReturnDelay);
    if (aRequest.mTold) {
      ++tally.mRefusedAgain;
    }
    aRequest.mTold = source.mPatient && delay <= left / kHonouredPart;
    if (aRequest.mAttempt >= (source.mPatient ? 2 : 4)) {
      return;
    }
    tally.mReturned += aRequest.mTold ? 1 : 0;
    ++aRequest.mAttempt;
    aRequest.mNext = mNow;
    if (source.mPatient) {
      aRequest.mNext += std::min(delay, left / kHonouredPart);
    }
    mReturning.push_back(std::move(aRequest));
  }

  void EndWork()
  {
    for (auto request = mRunning.begin(); request != mRunning.end();) {
      if (request->mNext > mNow) {
        ++request;
        continue;
      }
      const Source& source = mSources[request->mSource].mSource;
      bool inTime = mNow - request->mFirst <= source.mKind.mTarget;
      ++(inTime ? TallyOf(*request).mInTime : TallyOf(*request).mLate);
      mShares.Record(GroupsOf(source), true, request->mElapsed > 0s, mNow);
      const ServerChoice& choice = request->mChoice;
      mFleet.RecordResult(choice.mServer, SendResult::Answered, mNow, choice.mFlight);
      request = mRunning.erase(request);
      mDispatcher.Offer("stock", mNow);
    }
  }

  int mServers;
  Members mMembers{ "127.0.0.1:2", "east-a" };
  Fleet mFleet{ "east-a", mMembers, 1.0 };
  ConfigPtr mConfig = TwoRegions();
  Instant mNow = kStart;
  std::mt19937 mRandom{ 1 };
  std::set<Dispatcher::Number> mWoken;
  Dispatcher mDispatcher{ mFleet, [this](auto aNumber) { mWoken.insert(aNumber); } };
  GroupShares mShares;
  CallerTimeouts mTimeouts;
  ReturnSchedules mReturns;
  std::vector<State> mSources;
  std::list<Request> mReturning;
  std::list<Request> mWaiting;
  std::list<Request> mRunning;
};

} // namespace

TEST_CASE("callers compete for a tenth of the room they want: most answers are in time")
{
  Load load(3);
  Kind kind;
  double room = load.Room(kind.mWork);
  std::size_t all = load.Add({ kind, "grocer", "east-a", room * 10 });
  load.Run(10s);
  const Tally& tally = load.Of(all);
  CHECK(tally.Served() > 0.9 * room * 10);
  CHECK(tally.mInTime > 0.5 * tally.Served());
}

TEST_CASE("a burst of 2.2 of one kind for 6 s leaves the other kind and the time after")
{
  Load load(3);
  Kind kind;
  double room = load.Room(kind.mWork);
  Kind other = kind;
  other.mPriority = 1;
  std::size_t burst = load.Add({ kind, "grocer", "east-a", 0.6 * room });
  std::size_t calm = load.Add({ other, "grocer", "east-a", 0.2 * room });
  load.Run(4s);
  load.SetRate(burst, 2.2 * 0.6 * room);
  load.Run(6s);
  load.SetRate(burst, 0.6 * room);
  load.Run(2s);
  load.ForgetTallies();
  load.Run(4s);
  CHECK(load.Of(burst).mInTime > 0.95 * load.Of(burst).mCame);
  CHECK(load.Of(calm).mInTime > 0.95 * load.Of(calm).mCame);
}

TEST_CASE("an organisation at 7.5 times its rate is served no better than 84 quiet ones")
{
  Load load(3);
  Kind kind;
  double room = load.Room(kind.mWork);
  double quietRate = 0.9 * room / 85;
  // Its own rate is that of eight quiet ones.
  std::size_t hot = load.Add({ kind, "hot", "east-a", 7.5 * quietRate * 8 });
  std::vector<std::size_t> quiet;
  for (int i = 0; i < 84; ++i) {
    quiet.push_back(load.Add({ kind, fmt::format("quiet{}", i), "east-a", quietRate }));
  }
  load.Run(20s);
  Tally sum;
  double worst = 1;
  for (std::size_t source : quiet) {
    sum.mCame += load.Of(source).mCame;
    sum.mInTime += load.Of(source).mInTime;
    sum.mLate += load.Of(source).mLate;
    worst = std::min(worst, load.Of(source).ServedPart());
  }
  double mean = (sum.Served() + load.Of(hot).Served()) / (sum.mCame + load.Of(hot).mCame);
  CHECK(sum.ServedPart() >= mean - 0.05);
  CHECK(worst > 0.25 * mean);
  CHECK(load.Of(hot).ServedPart() > 0.25 * mean);
}

// Their many tries do find some of the capacity that nobody waits for at that moment.
TEST_CASE("a third of the callers repeats at once, three times, and gains under a tenth")
{
  Load load(3);
  Kind kind;
  double room = load.Room(kind.mWork);
  std::size_t patient = load.Add({ kind, "grocer", "east-a", room });
  std::size_t hasty = load.Add({ kind, "florist", "east-a", room / 2, false });
  load.Run(15s);
  CHECK(load.Of(patient).ServedPart() > 0.9 * load.Of(hasty).ServedPart());
}

TEST_CASE("a less urgent kind is served worse beside a more urgent one, but not starved")
{
  Load load(3);
  Kind urgent;
  Kind other = urgent;
  other.mPriority = 1;
  double room = load.Room(urgent.mWork);
  std::size_t first = load.Add({ urgent, "grocer", "east-a", 1.3 * room });
  std::size_t second = load.Add({ other, "grocer", "east-a", 0.5 * room });
  load.Run(15s);
  double mean = (load.Of(first).Served() + load.Of(second).Served()) /
                (load.Of(first).mCame + load.Of(second).mCame);
  CHECK(load.Of(first).ServedPart() >= load.Of(second).ServedPart() - 0.05);
  CHECK(load.Of(second).ServedPart() > 0.25 * mean);
}

TEST_CASE("callers of the data centre that was served worst come first until it is level")
{
  Load load(3);
  Kind kind;
  double room = load.Room(kind.mWork);
  std::size_t well = load.Add({ kind, "grocer", "east-a", room });
  std::size_t badly = load.Add({ kind, "florist", "east-b", room / 4 });
  load.RecordRefused(badly, 60);
  load.Run(5s);
  double mean = (load.Of(well).Served() + load.Of(badly).Served()) /
                (load.Of(well).mCame + load.Of(badly).mCame);
  CHECK(load.Of(badly).ServedPart() > mean);
  load.Run(10s);
  load.ForgetTallies();
  load.Run(10s);
  mean = (load.Of(well).Served() + load.Of(badly).Served()) /
         (load.Of(well).mCame + load.Of(badly).mCame);
  CHECK(load.Of(badly).ServedPart() > 0.9 * mean);
  CHECK(load.Of(well).ServedPart() > 0.9 * mean);
}

TEST_CASE("of those told to come back fewer than 1 in 20 are refused again")
{
  for (double demand : { 1.2, 2.0, 5.0 }) {
    Load load(3);
    Kind kind;
    double room = load.Room(kind.mWork);
    std::size_t all = load.Add({ kind, "grocer", "east-a", demand * room });
    load.Run(15s);
    const Tally& tally = load.Of(all);
    CHECK(tally.mReturned > 0);
    CHECK(tally.mRefusedAgain < 0.05 * tally.mReturned);
  }
}

// Where many wait for long, each of them made one more server forget its own objects.
TEST_CASE("a request that waits beyond its time to spill waits for a server it knows")
{
  Members members{ "127.0.0.1:2", "east-a" };
  Fleet fleet{ "east-a", members, 1.0 };
  ConfigPtr config = TwoRegions();
  fleet.SetConfig(config);
  for (const char* id : { "s0", "s1" }) {
    Registration registration;
    registration.mId = id;
    registration.mService = "stock";
    registration.mDataCentre = "east-a";
    registration.mSlots = 1;
    fleet.Register(registration, kStart);
  }
  Dispatcher dispatcher{ fleet, [](auto) {} };
  PlacementRequest request;
  request.mQuery = { config, ServiceId(0), "17", {}, {}, {} };
  request.mTerms = { kStart + 400ms, kStart + 3s, 100ms };
  request.mSpillAt = kStart + 50ms;
  auto home = dispatcher.Ask(dispatcher.NextNumber(), request, kStart);
  REQUIRE(home.mStep == Dispatcher::Step::Start);
  const auto& servers = fleet.Servers();
  ServerPtr other = servers.at(home.mChoice.mServer->Id() == "s0" ? "s1" : "s0");
  other->mInFlight = 1;
  auto number = dispatcher.NextNumber();
  CHECK(dispatcher.Ask(number, request, kStart).mStep == Dispatcher::Step::Wait);
  CHECK(dispatcher.Ask(number, request, kStart + 50ms).mStep == Dispatcher::Step::Wait);
  other->mInFlight = 0;
  CHECK(dispatcher.Ask(number, request, kStart + 110ms).mStep == Dispatcher::Step::Wait);
  home.mChoice.mServer->mInFlight = 0;
  CHECK(dispatcher.Ask(number, request, kStart + 120ms).mChoice.mServer ==
        home.mChoice.mServer);
}
