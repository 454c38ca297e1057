// Unit tests of the choice of the instance that watches the store for its data centre,
// and of how the others follow it.
#include <doctest/doctest.h>

#include "decide/watcher.h"

using namespace vanillaloft::decide;
using namespace std::chrono_literals;

namespace {

constexpr Instant kStart{ 1h };
constexpr bool kEligible = true;

using Candidates = std::vector<WatcherCandidate>;

const Candidates kBothReach{ { "a", true }, { "c", true } };

} // namespace

TEST_CASE("a path to the store is confirmed by an answer until it is old or calls fail")
{
  StorePath path;
  CHECK_FALSE(path.Confirmed(kStart));
  CHECK_FALSE(path.Lost(kStart));
  path.RecordAnswer(kStart);
  CHECK(path.Confirmed(kStart));
  CHECK_FALSE(path.Confirmed(kStart + kStorePathTimeout));
  path.RecordFailure();
  CHECK_FALSE(path.Lost(kStart + 5s)); // a single call may be cut
  path.RecordFailure();
  CHECK_FALSE(path.Lost(kStart + 100ms));
  CHECK(path.Lost(kStart + kStorePathDoubt));
  CHECK_FALSE(path.Confirmed(kStart + kStorePathDoubt));
  path.RecordAnswer(kStart + 2s);
  CHECK(path.Confirmed(kStart + 2s));
}

TEST_CASE("the lowest address that reaches the store watches")
{
  WatcherChoice choice("b");
  CHECK(choice.Update(kBothReach, kEligible, kStart) == "a");
  WatcherChoice withoutPath("b");
  CHECK(withoutPath.Update({ { "a", false }, { "c", true } }, !kEligible, kStart) == "c");
}

TEST_CASE("if nobody reaches the store, one instance still tries for the others")
{
  Candidates cut{ { "a", false }, { "c", false } };
  CHECK(WatcherChoice("b").Update(cut, !kEligible, kStart) == "a");
  CHECK(WatcherChoice("a").Update({ { "b", false } }, !kEligible, kStart) == "a");
}

TEST_CASE("the next one takes over at once from a watcher that dies or is turned away")
{
  WatcherChoice choice("b");
  choice.Update(kBothReach, kEligible, kStart);
  CHECK(choice.Update({ { "c", true } }, kEligible, kStart + 1ms) == "b");
  WatcherChoice turnedAway("b");
  turnedAway.Update(kBothReach, kEligible, kStart);
  CHECK(turnedAway.Update({ { "a", false }, { "c", true } }, kEligible, kStart) == "b");
}

TEST_CASE("a watcher that does not answer is left out for some time, also the next one")
{
  WatcherChoice choice("c");
  Candidates others{ { "a", true }, { "b", true } };
  choice.Update(others, kEligible, kStart);
  choice.Reject("a", kStart);
  CHECK(choice.Update(others, kEligible, kStart) == "b");
  choice.Reject("b", kStart + 1s);
  CHECK(choice.Update(others, kEligible, kStart + 1s) == "c");
  CHECK(choice.Update(others, !kEligible, kStart + 1s) == "c");
}

// Guards against a watch that moves to and fro with an instance that is frozen and woken
// in turn, or that loses its path to the store for moments.
TEST_CASE("an earlier instance takes the watch back only once it was eligible for a time")
{
  WatcherChoice choice("b");
  Candidates woken{ { "a", true } };
  choice.Update(woken, kEligible, kStart - kWatcherStableTime);
  CHECK(choice.Update({}, kEligible, kStart) == "b");
  CHECK(choice.Update(woken, kEligible, kStart + 1s) == "b");
  CHECK(choice.Update({}, kEligible, kStart + 3s) == "b");
  CHECK(choice.Update(woken, kEligible, kStart + 4s) == "b");
  CHECK(choice.Update(woken, kEligible, kStart + 4s + kWatcherStableTime - 1ms) == "b");
  CHECK(choice.Update(woken, kEligible, kStart + 4s + kWatcherStableTime) == "a");
}

// Guards against a watch by each instance in the first seconds of a data centre.
TEST_CASE(
  "an instance that has just started follows an earlier one as soon as it is known")
{
  WatcherChoice choice("b");
  CHECK(choice.Update({}, kEligible, kStart) == "b");
  CHECK(choice.Update({ { "a", false } }, kEligible, kStart + 100ms) == "b");
  CHECK(choice.Update({ { "a", true } }, kEligible, kStart + 200ms) == "a");
}

TEST_CASE("an instance without enough others watches for itself")
{
  FollowPlan plan(kRegistrationLimits);
  CHECK(plan.Next(false, true, 9s, kStart) == FollowStep::WatchForSelf);
  CHECK(plan.Next(false, false, 9s, kStart) == FollowStep::WatchForSelf);
}

TEST_CASE("an instance that takes the watch over first asks how recent its copy is")
{
  FollowPlan plan(kRegistrationLimits);
  CHECK(plan.Next(true, false, 1s, kStart) == FollowStep::AskWatcher);
  CHECK(plan.Next(true, true, 1s, kStart) == FollowStep::AskStore);
  CHECK(plan.Next(true, true, 1s, kStart) == FollowStep::WatchForOthers);
  CHECK(plan.Next(true, true, kRegistrationLimits.mMaxAge, kStart) ==
        FollowStep::AskStore);
}

// Guards against a view that grows old because the watcher is silent, or answers although
// the store does not answer it.
TEST_CASE("an instance that hears nothing new in time asks the store itself")
{
  FollowPlan plan(kRegistrationLimits);
  Duration limit = kRegistrationLimits.mMaxAge;
  CHECK(plan.Next(true, false, limit - 1ms, kStart) == FollowStep::AskWatcher);
  CHECK(plan.Next(true, false, limit, kStart) == FollowStep::AskStore);
  CHECK(plan.Next(true, false, std::nullopt, kStart) == FollowStep::AskStore);
  plan.StoreFailed(kStart);
  CHECK(plan.Next(true, false, limit, kStart + 1ms) == FollowStep::AskWatcher);
  CHECK(plan.Next(true, false, limit, kStart + kFirstAskInterval) ==
        FollowStep::AskStore);
  for (int i = 0; i < 8; ++i) {
    plan.StoreFailed(kStart);
  }
  CHECK(plan.Next(true, false, limit, kStart + kMaxAskInterval) == FollowStep::AskStore);
  plan.StoreAnswered(false);
  CHECK(plan.Next(true, false, limit, kStart + 1ms) == FollowStep::AskStore);
}

TEST_CASE("the watcher is waited for no longer than the copy is recent enough")
{
  FollowPlan plan(kRegistrationLimits);
  Duration limit = kRegistrationLimits.mMaxAge;
  CHECK(plan.WatcherTimeout(0s, 1s) == 1s);
  CHECK(plan.WatcherTimeout(limit - 300ms, 1s) == 300ms);
  CHECK(plan.WatcherTimeout(limit, 1s) == 1s);
  CHECK(plan.WatcherTimeout(std::nullopt, 1s) == 1s);
}

// Guards against an instance that is blind to changes (DRAIN): after a call without an
// answer it waited at the store again for as long as ever.
TEST_CASE("after a call that failed or was given up the store is probed")
{
  FollowPlan plan(kRegistrationLimits);
  auto next = [&] { return plan.Next(false, true, 1s, kStart); };
  CHECK(next() == FollowStep::WatchForSelf);
  plan.StoreFailed(kStart);
  CHECK(next() == FollowStep::ProbeStore);
  plan.StoreAnswered(false);
  CHECK(next() == FollowStep::WatchForSelf);
  plan.WatchAbandoned();
  CHECK(next() == FollowStep::ProbeStore);
  CHECK(plan.Next(true, true, 1s, kStart) == FollowStep::AskStore);
}

TEST_CASE("watches that one event ended end one after the other, then after equal times")
{
  FollowPlan plan(kRegistrationLimits);
  CHECK(plan.OwnWatchTime(0, 4) == kWatchSpreadTime / 4);
  CHECK(plan.OwnWatchTime(3, 4) == kWatchSpreadTime);
  plan.StoreAnswered(true);
  CHECK(plan.OwnWatchTime(0, 4) == kOwnWatchTime);
  plan.StoreAnswered(false);
  CHECK(plan.OwnWatchTime(1, 4) == kWatchSpreadTime / 2);
}

TEST_CASE("peers are told once of a return of the store, and it casts doubt on watches")
{
  StoreReturn seen;
  CHECK_FALSE(seen.MayHaveLost(kStart));
  CHECK_FALSE(seen.RecordAnswer(kStart));
  seen.RecordFailure(kStart - 1s);
  CHECK(seen.RecordAnswer(kStart));
  CHECK_FALSE(seen.RecordAnswer(kStart));
  CHECK(seen.MayHaveLost(kStart - 1ms));
  CHECK_FALSE(seen.MayHaveLost(kStart));
  CHECK(seen.AgeToTell(kStart + 1s) == 1s);
  CHECK_FALSE(seen.AgeToTell(kStart + kTellReturnTime));
  CHECK_FALSE(seen.RecordTold(kStart + 500ms));
  seen.RecordFailure(kStart - 1ms); // no news: it was lost with the others
  CHECK_FALSE(seen.RecordAnswer(kStart + 600ms));
  seen.RecordFailure(kStart + 600ms);
  CHECK(seen.RecordAnswer(kStart + 700ms));
  CHECK(seen.MayHaveLost(kStart + 699ms));
  seen.RecordFailure(kStart + 700ms);
  CHECK(seen.RecordTold(kStart + 2s));
  CHECK_FALSE(seen.RecordAnswer(kStart + 2s));
  CHECK(seen.MayHaveLost(kStart + 1s));
  CHECK(seen.AgeToTell(kStart + 2s) == 2s); // not what a peer told
}
