// Decides which instance of a data centre watches the platform's store for the others,
// and how an instance keeps its copy of a part of the store recent: by a watch of its
// own, by asking the watcher, or by asking the store once because the copy became too
// old.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace vanillaloft::decide {

using base::Duration;
using base::Instant;

// From this number of other instances in the data centre on, one watches for all.
constexpr std::size_t kMinMatesToShare = 2;
// An answer of the store older than this does not show that the store can be reached.
// Announcements renew it at least every 4 s.
constexpr Duration kStorePathTimeout = std::chrono::seconds(6);
// A path without an answer for this long is lost after kStorePathFailures failures.
constexpr Duration kStorePathDoubt = std::chrono::seconds(1);
constexpr unsigned kStorePathFailures = 2;
// A candidate that comes before the present watcher replaces it after this time; at once
// within this time from the first choice, when an instance does not know all others yet.
constexpr Duration kWatcherStableTime = std::chrono::seconds(3);
// A watcher that did not answer, or knew less than the store, is not asked for this long.
constexpr Duration kWatcherRejectTime = std::chrono::seconds(5);
// First and longest time between two calls to a store that does not answer, made by an
// instance that another one watches for.
constexpr Duration kFirstAskInterval = std::chrono::seconds(1);
constexpr Duration kMaxAskInterval = std::chrono::seconds(4);

// A watch by an instance that watches for itself ends after this time.
constexpr Duration kOwnWatchTime = std::chrono::milliseconds(5400);
// Watches that began together end at equal distances within this time.
constexpr Duration kWatchSpreadTime = std::chrono::milliseconds(4800);
// An instance that has lacked a change which a peer has for this long while its watch was
// in flight gives the watch up.
constexpr Duration kMaxWatchLag = std::chrono::milliseconds(150);
// Instances notice the return of the store within this time of each other.
constexpr Duration kSameReturnTime = std::chrono::seconds(1);
// For how long an instance tells its peers that it noticed the return.
constexpr Duration kTellReturnTime = std::chrono::seconds(3);

// Whether the store answers one instance's own calls.
class StorePath
{
public:
  void RecordAnswer(Instant aNow);
  void RecordFailure() { ++mFailures; }
  // The store answered lately and calls have not failed since.
  bool Confirmed(Instant aNow) const;
  // Calls fail; false before the first call.
  bool Lost(Instant aNow) const;

private:
  std::optional<Instant> mAnsweredAt;
  unsigned mFailures = 0; // since the last answer
};

// When the store answered again after a call without an answer, as this instance saw it
// or a peer told it. A watch that was sent before may have been lost with that call, and
// nothing else shows it before its end.
class StoreReturn
{
public:
  // Records that a call of this instance that was sent at aSentAt got no answer.
  void RecordFailure(Instant aSentAt) { mFailed = mFailed || !MayHaveLost(aSentAt); }
  // Records an answer. Returns true if the store returned with it.
  bool RecordAnswer(Instant aNow);
  // Records that a peer saw the store return at aAt. Returns true if it is not known yet.
  bool RecordTold(Instant aAt);
  // True if a watch that is in flight since aSentAt may have been lost.
  bool MayHaveLost(Instant aSentAt) const { return mLatest && aSentAt < *mLatest; }
  // Age of the return to tell peers of, if any.
  std::optional<Duration> AgeToTell(Instant aNow) const;

private:
  bool IsKnown(Instant aAt) const { return mLatest && aAt < *mLatest + kSameReturnTime; }

  bool mFailed = false; // a call that was sent after mLatest
  std::optional<Instant> mLatest;
  std::optional<Instant> mOwn; // to tell peers of
};

// Another instance of the data centre that is alive and stays.
struct WatcherCandidate
{
  std::string mAddress;
  bool mHasStorePath = false; // as it says of itself
};

// Chooses the watcher: the lowest address among the instances that reach the store. All
// instances decide by heartbeats, so for a short time there may be two watchers or none;
// the limit of a copy's age covers both.
class WatcherChoice
{
public:
  explicit WatcherChoice(std::string aSelf)
    : mSelf(std::move(aSelf))
  {
  }

  // Returns the address of the watcher, which may be this instance's own. aSelfEligible:
  // this instance stays and its path to the store is not lost.
  const std::string& Update(const std::vector<WatcherCandidate>& aOthers,
                            bool aSelfEligible,
                            Instant aNow);
  // Leaves the instance out for kWatcherRejectTime.
  void Reject(const std::string& aAddress, Instant aNow);

private:
  bool IsRejected(const std::string& aAddress, Instant aNow) const;
  std::vector<std::string> Eligible(const std::vector<WatcherCandidate>& aOthers,
                                    bool aSelfEligible,
                                    Instant aNow) const;

  std::string mSelf;
  std::string mWatcher;
  std::string mContender; // comes before mWatcher since mContenderSince
  Instant mContenderSince{};
  std::optional<Instant> mFirstChoiceAt;
  std::map<std::string, Instant> mRejectedAt;
};

// Ages of a copy of a part of the store.
struct CopyLimits
{
  Duration mWatchTime; // after which a watch for others ends without a change
  Duration mMaxAge;    // older copies are renewed by a call to the store
};
// Registrations must be known well within the time that servers serve after they leave.
constexpr CopyLimits kRegistrationLimits{ std::chrono::milliseconds(800),
                                          std::chrono::milliseconds(2200) };
constexpr CopyLimits kOperatorDataLimits{ std::chrono::milliseconds(1000),
                                          std::chrono::milliseconds(2600) };

enum class FollowStep : std::uint8_t
{
  WatchForSelf,   // nobody shares: a long watch
  WatchForOthers, // short watches, whose ends tell the others how recent the copy is
  AskStore,       // a watch that hardly waits
  ProbeStore,     // the same, because the store may not answer
  AskWatcher      // a watch at the watcher instead of the store
};

// How an instance follows one part of the store.
class FollowPlan
{
public:
  explicit FollowPlan(CopyLimits aLimits)
    : mLimits(aLimits)
  {
  }

  // aAge: of the copy; none before the first listing.
  FollowStep Next(bool aShared,
                  bool aSelfWatches,
                  const std::optional<Duration>& aAge,
                  Instant aNow);
  // Longest time to wait for the watcher's answer: until the copy becomes too old.
  Duration WatcherTimeout(const std::optional<Duration>& aAge, Duration aMost) const;
  bool IsTooOld(const std::optional<Duration>& aAge) const
  {
    return !aAge || *aAge >= mLimits.mMaxAge;
  }
  // aEndedByTime: the answer ended a watch without changes, after its whole time.
  void StoreAnswered(bool aEndedByTime);
  void StoreFailed(Instant aNow);
  // A watch was given up, because the store may have lost it.
  void WatchAbandoned() { mDoubtful = true; }

  // Time of a watch by the instance at aRank, from 0, of aCount that may watch. Changes
  // and outages end the watches of all at once. The next ones end one after the other, so
  // that a silent store is noticed soon by one, which tells the others.
  Duration OwnWatchTime(std::size_t aRank, std::size_t aCount) const;

  const CopyLimits& Limits() const { return mLimits; }

private:
  CopyLimits mLimits;
  bool mWatching = false; // the last step was a watch for others
  bool mDoubtful = false; // the last call to the store failed or was given up
  bool mInStep = true;    // watches end together with those of other instances
  Duration mAskInterval{};
  Instant mFailedAt{};
};

} // namespace vanillaloft::decide
