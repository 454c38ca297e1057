// Decisions under overload: the order in which waiting requests get free capacity, how
// long a wait pays for the caller, and when callers of refused requests should return.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/types.h"

namespace vanillaloft::decide {

using base::Duration;
using base::Instant;

// How a request stands among those of its priorities, the most urgent first.
enum class Standing : std::uint8_t
{
  Returned, // its caller was refused before
  InTime,   // can still meet its latency target
  Late      // can only meet its deadline
};

constexpr std::size_t kStandingCount = 3;

// Steps from 0 to 1 in which served parts are compared.
constexpr unsigned kServedSteps = 20;

// What the order of waiting requests rests on. Smaller is more urgent.
struct WaitRank
{
  bool mNotStarved = true;
  unsigned mOrganisationPriority = 0; // 0 is the most urgent
  unsigned mRoutePriority = 0;        // 0 is the most urgent
  Standing mStanding = Standing::InTime;
  // The latest useful start, in whole steps of kStartStep.
  std::int64_t mStartStep = 0;
  unsigned mServedSteps = kServedSteps; // see Treatment
  Instant mLatestStart{};
  std::uint64_t mNumber = 0; // in the order of arrival, unique

  auto operator<=>(const WaitRank&) const = default;
};

// Whether a caller was refused before.
enum class Return : std::uint8_t
{
  None,
  AsTold,  // at the time that its refusal gave
  TooSoon, // before any time that a refusal gives
  TooLate  // after the part of its time that it honours: it was told not to
};

// The times that decide whether a request may wait.
struct WaitTerms
{
  Instant mTarget; // the answer is in time until then
  Instant mDeadline;
  Duration mWork{}; // expected at a server
  Return mReturn = Return::None;

  Standing StandingAt(Instant aNow) const;
  // The latest start that serves the standing: in time, or before the deadline.
  Instant LatestStart(Instant aNow) const;
};

// Requests whose latest starts differ by less than this count as equally urgent, and the
// callers that were served worst so far go first.
constexpr Duration kStartStep = std::chrono::milliseconds(250);

// Time that a request waits for capacity, learned from the requests that waited lately,
// by route priority and standing.
class WaitForecast
{
public:
  // Records a part of a wait. aStarted: the request got capacity at its end.
  void Record(unsigned aRoutePriority,
              Standing aStanding,
              Duration aWaited,
              bool aStarted,
              Instant aNow);
  // aAhead: more urgent requests of the same route priority and standing that wait. The
  // shorter one of two estimates: the mean wait for one start, which also counts the
  // waits without a start, and the place in the queue over the rate of starts. The first
  // is right if the requests wait for different servers, the second one for the same.
  Duration Expect(unsigned aRoutePriority,
                  Standing aStanding,
                  std::size_t aAhead,
                  Instant aNow) const;

private:
  // Decaying sums.
  struct Sums
  {
    double mWaited = 0; // seconds
    double mStarts = 0;
    Instant mAt{};
  };

  static constexpr std::size_t kRanks = 8; // less urgent routes share the last one
  static std::size_t IndexOf(unsigned aRoutePriority, Standing aStanding);

  std::array<Sums, kRanks * kStandingCount> mSums;
};

// True if a request should wait: by the forecast it starts early enough for an answer in
// time, or after that for one before its deadline. aAhead: as for WaitForecast.
bool WaitPays(const WaitForecast& aForecast,
              const WaitTerms& aTerms,
              unsigned aRoutePriority,
              std::size_t aAhead,
              Instant aNow);

// The part of the requests that were served, by group of callers (an organisation or a
// data centre). Older requests fade. Keeps a bounded number of groups.
class ServedShares
{
public:
  struct Group
  {
    double mServed = 0;
    double mEnded = 0;
    Instant mAt{};
  };

  static constexpr std::size_t kMaxGroups = 512;

  // aRepeat: the caller was refused before, which was recorded then.
  void Record(const std::string& aGroup, bool aServed, bool aRepeat, Instant aNow);
  // The part that was served, 1 if nothing is known.
  double ShareOf(const std::string& aGroup, Instant aNow) const;
  // The same in whole steps of 1 / kServedSteps, so that small differences leave the
  // order alone.
  unsigned StepsOf(const std::string& aGroup, Instant aNow) const;
  const std::unordered_map<std::string, Group>& Groups() const { return mGroups; }

private:
  std::unordered_map<std::string, Group> mGroups;
};

// The groups that a request belongs to. An empty name stands for no group.
struct RequestGroups
{
  std::string mOrganisation;
  std::string mDataCentre; // of the caller
  std::string mRoute;
};

// How a request's groups were served so far.
struct Treatment
{
  unsigned mServedSteps = kServedSteps; // of the caller's group that was served worst
  bool mStarved = false; // the organisation or the route gets far less than all
};

// The served parts of all groups.
class GroupShares
{
public:
  void Record(const RequestGroups& aGroups, bool aServed, bool aRepeat, Instant aNow);
  Treatment Of(const RequestGroups& aGroups, Instant aNow) const;
  const ServedShares& Organisations() const { return mOrganisations; }
  const ServedShares& DataCentres() const { return mDataCentres; }

private:
  ServedShares mOrganisations;
  ServedShares mDataCentres;
  ServedShares mRoutes;
  ServedShares mAll; // one group
};

// aNumber: unique, in the order of arrival.
WaitRank RankOf(const WaitTerms& aTerms,
                unsigned aOrganisationPriority,
                unsigned aRoutePriority,
                const Treatment& aTreatment,
                std::uint64_t aNumber,
                Instant aNow);

// Tells how long ago a caller made its first attempt, by the time that it has left: a
// caller that comes back has less of it than a new one on the same route. Keeps a bounded
// number of routes.
class CallerTimeouts
{
public:
  // Zero for a new caller. Learns from the caller's timeout.
  Duration Elapsed(std::uint64_t aRoute, Duration aTimeout, Instant aNow);

private:
  struct Longest
  {
    Duration mTimeout{};
    Instant mSeenAt{};
  };

  std::unordered_map<std::uint64_t, Longest> mRoutes;
};

// aElapsed: as CallerTimeouts::Elapsed; aTimeout: what the caller has left.
Return ReturnOf(Duration aElapsed, Duration aTimeout);

// The mean time from a send to its answer, by route. Keeps a bounded number of routes.
class AnswerTimes
{
public:
  void Record(std::uint64_t aRoute, Duration aTook, Instant aNow);
  // aDefault while the route has no answer.
  Duration Expect(std::uint64_t aRoute, Duration aDefault) const;

private:
  struct Mean
  {
    Duration mTime{};
    Instant mAt{};
  };

  std::unordered_map<std::uint64_t, Mean> mRoutes;
};

// Hands out times at which the callers of refused requests return, at a rate below that
// at which capacity becomes free, so that those who come back find some.
class ReturnSchedule
{
public:
  // Records that a request got capacity.
  void RecordStart(Instant aNow);
  // Time until the caller should return; nothing if there is no forecast. aLeast: it is
  // useless before. aLeft: time until its deadline. aElapsed: since its first attempt. A
  // result of aLeft or more says that a return isn't worthwhile. Otherwise the caller is
  // back within a third of its whole time.
  std::optional<Duration> Book(Duration aLeast,
                               Duration aLeft,
                               Duration aElapsed,
                               Instant aNow);
  // Starts per second.
  double Rate(Instant aNow) const;

private:
  double mStarts = 0; // decaying
  Instant mStartsAt{};
  Instant mLastBooked{};
};

// A caller that returns sooner is likely to find what it left.
constexpr Duration kMinReturnDelay = std::chrono::milliseconds(150);

// The schedules of all services. Routes of different priority have their own, since the
// less urgent one gets what the other leaves.
class ReturnSchedules
{
public:
  ReturnSchedule& Of(const std::string& aService, unsigned aRoutePriority)
  {
    return mSchedules[{ aService, aRoutePriority }];
  }

private:
  std::map<std::pair<std::string, unsigned>, ReturnSchedule> mSchedules;
};

// The part of the time that a caller has left for which it honours a Retry-After.
constexpr int kHonouredPart = 3;

// Limits a delay to what a caller with aLeft until its deadline honours.
Duration LimitToHonoured(Duration aDelay, Duration aLeft);

} // namespace vanillaloft::decide
