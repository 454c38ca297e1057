#include "dispatch.h"

#include <set>

#include <fmt/format.h>
#include <rapidcheck.h>

#include "decide/dispatch.h"

namespace {

using namespace vanillaloft::decide;
using namespace std::chrono_literals;

constexpr int kServers = 3;
constexpr unsigned kSlots = 2;

ConfigPtr OneService()
{
  auto config = std::make_shared<Config>();
  config->mRegions.push_back({ "east", { DataCentreId(0) } });
  config->mDataCentres.push_back({ "east-a", RegionId(0), false });
  config->mProfiles.push_back({});
  Service service;
  service.mName = "stock";
  service.mProfile = ProfileId(0);
  config->mServices.push_back(service);
  return config;
}

class Schedule
{
public:
  Schedule()
  {
    mFleet.SetConfig(mConfig);
    for (int i = 0; i < kServers; ++i) {
      Register(i);
    }
  }

  // One step of the schedule; aDraw selects what it concerns.
  void Step(unsigned aKind, unsigned aDraw)
  {
    using Action = void (Schedule::*)(unsigned);
    static constexpr Action kActions[] = { &Schedule::Arrive,   &Schedule::Arrive,
                                           &Schedule::End,      &Schedule::End,
                                           &Schedule::AskAgain, &Schedule::LeaveQueue,
                                           &Schedule::PassTime, &Schedule::RemoveServer,
                                           &Schedule::Register, &Schedule::Reconfigure };
    (this->*kActions[aKind % std::size(kActions)])(aDraw);
    AskWoken();
    RC_ASSERT(mDispatcher.Waiting() == mWaiting.size());
    for (const auto& [id, server] : mFleet.Servers()) {
      RC_ASSERT(server->mInFlight <= kSlots);
    }
  }

  // After the last deadline nobody waits, and all slots are free.
  void Finish()
  {
    mNow += 10s;
    while (!mWaiting.empty()) {
      Dispatcher::Number number = mWaiting.begin()->first;
      Ask(number);
      RC_ASSERT(!mWaiting.contains(number));
    }
    AskWoken();
    while (!mRunning.empty()) {
      End(0);
      AskWoken();
    }
    RC_ASSERT(mDispatcher.Waiting() == 0U);
    for (const ServerPtr& server : mSeen) {
      RC_ASSERT(server->mInFlight == 0U);
    }
  }

private:
  void Register(unsigned aDraw)
  {
    Registration registration;
    registration.mId = fmt::format("s{}", aDraw % kServers);
    registration.mIncarnation = aDraw;
    registration.mService = "stock";
    registration.mDataCentre = "east-a";
    registration.mSlots = kSlots;
    mFleet.Register(registration, mNow);
    mSeen.insert(mFleet.Servers().at(registration.mId));
    mDispatcher.Offer("stock", mNow);
  }

  void RemoveServer(unsigned aDraw)
  {
    mFleet.Deregister(fmt::format("s{}", aDraw % kServers));
  }

  void Reconfigure(unsigned)
  {
    mConfig = OneService();
    mFleet.SetConfig(mConfig);
  }

  void Arrive(unsigned aDraw)
  {
    PlacementRequest request;
    request.mQuery.mObject = std::to_string(aDraw % 5);
    request.mTerms = { mNow + 400ms, mNow + 2s, 100ms, Return(aDraw % 4) };
    request.mRoutePriority = aDraw % 3;
    request.mTreatment = { aDraw % kServedSteps, aDraw % 7 == 0 };
    request.mSpillAt = mNow + 50ms;
    Dispatcher::Number number = mDispatcher.NextNumber();
    mWaiting[number] = request;
    Ask(number);
  }

  // A request that waited for another configuration leaves first, as its indexes are out
  // of date.
  void Ask(Dispatcher::Number aNumber)
  {
    PlacementRequest request = mWaiting.at(aNumber);
    if (request.mQuery.mConfig && request.mQuery.mConfig != mConfig) {
      mDispatcher.Leave(aNumber, mNow);
    }
    request.mQuery.mConfig = mConfig;
    request.mQuery.mService = ServiceId(0);
    mWaiting[aNumber] = request;
    auto decision = mDispatcher.Ask(aNumber, request, mNow);
    if (decision.mStep == Dispatcher::Step::Wait) {
      RC_ASSERT(mNow < request.mTerms.mDeadline);
      return;
    }
    mWaiting.erase(aNumber);
    bool started = decision.mStep == Dispatcher::Step::Start;
    RC_ASSERT(started == (decision.mChoice.mServer != nullptr));
    if (started) {
      mRunning.push_back(decision.mChoice);
    }
  }

  void AskWoken()
  {
    while (!mWoken.empty()) {
      Dispatcher::Number number = *mWoken.begin();
      mWoken.erase(mWoken.begin());
      if (mWaiting.contains(number)) {
        Ask(number);
      }
    }
  }

  void AskAgain(unsigned aDraw)
  {
    if (!mWaiting.empty()) {
      Ask(std::next(mWaiting.begin(), aDraw % mWaiting.size())->first);
    }
  }

  void LeaveQueue(unsigned aDraw)
  {
    if (!mWaiting.empty()) {
      auto waiter = std::next(mWaiting.begin(), aDraw % mWaiting.size());
      mDispatcher.Leave(waiter->first, mNow);
      mWaiting.erase(waiter);
    }
  }

  void End(unsigned aDraw)
  {
    if (mRunning.empty()) {
      return;
    }
    auto ended = std::next(mRunning.begin(), aDraw % mRunning.size());
    ServerChoice choice = *ended;
    mRunning.erase(ended);
    auto result = aDraw % 8 == 0 ? SendResult::Full : SendResult::Answered;
    mFleet.RecordResult(choice.mServer, result, mNow, choice.mFlight);
    mDispatcher.Offer("stock", mNow);
  }

  void PassTime(unsigned aDraw) { mNow += std::chrono::milliseconds(aDraw % 200); }

  Members mMembers{ "127.0.0.1:2", "east-a" };
  Fleet mFleet{ "east-a", mMembers, 1.0 };
  ConfigPtr mConfig = OneService();
  Instant mNow{ 1000s };
  std::set<Dispatcher::Number> mWoken;
  Dispatcher mDispatcher{ mFleet, [this](auto aNumber) { mWoken.insert(aNumber); } };
  std::set<ServerPtr> mSeen;
  std::map<Dispatcher::Number, PlacementRequest> mWaiting;
  std::vector<ServerChoice> mRunning;
};

} // namespace

bool CheckDispatch()
{
  return rc::check("no request is started and refused, no waiter lost, no slot kept", [] {
    auto steps = *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
      200, rc::gen::pair(rc::gen::inRange(0U, 10U), rc::gen::inRange(0U, 100'000U)));
    Schedule schedule;
    for (const auto& [kind, draw] : steps) {
      schedule.Step(kind, draw);
    }
    schedule.Finish();
  });
}
