#include "decide/overload.h"

#include <algorithm>
#include <cmath>

namespace vanillaloft::decide {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr Seconds kWaitHalfLife{ 2 };
// What is assumed of waits before any was seen: one start after this time.
constexpr Seconds kPriorWait{ 0.06 };
// Half-life of what is known of a group of callers, long enough to see that it is served
// badly again and again.
constexpr Seconds kShareHalfLife{ 10 };
// Requests that a group is assumed to have had served, so that the first refusals of a
// small group don't put it before all others.
constexpr double kPriorServed = 4;
// A group that is served this much less often than all goes first. Callers need at least
// a quarter.
constexpr double kStarvedPart = 0.4;
constexpr Seconds kStartHalfLife{ 1 };
// The part of the free capacity that is promised to returning callers. The rest is for
// new ones.
constexpr double kPromisedPart = 0.5;
// A new caller's timeout may be shorter than the longest one of its route by this.
constexpr Duration kTimeoutTolerance = std::chrono::milliseconds(2);
// Callers that were told not to come back do so at the end of the part of their time that
// they honour. Those told to do so are back by these parts of it: the latest that a
// refusal gives, and with the time that connecting takes.
constexpr double kToldPart = 0.9;
constexpr double kBackPart = 0.97;
// Waits differ; most end within this multiple of their mean.
constexpr int kWaitMargin = 2;
// After this time without a longer timeout, the longest one is learned again.
constexpr Duration kLongestAge = std::chrono::seconds(20);
constexpr std::size_t kMaxRoutes = 512;
// Weight of the newest answer in the mean time of its route.
constexpr double kAnswerWeight = 0.1;

double Fade(Instant aSince, Instant aNow, Seconds aHalfLife)
{
  return std::exp2(-std::max(Seconds(aNow - aSince), Seconds::zero()) / aHalfLife);
}

Duration ToDuration(Seconds aTime)
{
  return std::chrono::duration_cast<Duration>(aTime);
}

// A part of the time that a caller with aWhole in all honours.
Duration HonouredTime(Duration aWhole, double aPart)
{
  return ToDuration(aPart * Seconds(aWhole) / kHonouredPart);
}

// Drops the entry that was not updated for the longest time if the table is full.
template<typename Table, typename TimeOf>
void MakeRoom(Table& aTable, std::size_t aMax, TimeOf aTimeOf)
{
  if (aTable.size() < aMax) {
    return;
  }
  auto oldest = std::ranges::min_element(
    aTable, {}, [&](const auto& aEntry) { return aTimeOf(aEntry.second); });
  aTable.erase(oldest);
}

} // namespace

Standing WaitTerms::StandingAt(Instant aNow) const
{
  if (mReturn == Return::AsTold) {
    return Standing::Returned;
  }
  bool inTime = mReturn != Return::TooSoon && aNow + mWork <= mTarget;
  return inTime ? Standing::InTime : Standing::Late;
}

Instant WaitTerms::LatestStart(Instant aNow) const
{
  bool inTime = StandingAt(aNow) == Standing::InTime;
  return (inTime ? std::min(mTarget, mDeadline) : mDeadline) - mWork;
}

WaitRank RankOf(const WaitTerms& aTerms,
                unsigned aOrganisationPriority,
                unsigned aRoutePriority,
                const Treatment& aTreatment,
                std::uint64_t aNumber,
                Instant aNow)
{
  WaitRank rank;
  rank.mNotStarved = !aTreatment.mStarved;
  rank.mOrganisationPriority = aOrganisationPriority;
  rank.mRoutePriority = aRoutePriority;
  rank.mStanding = aTerms.StandingAt(aNow);
  rank.mLatestStart = aTerms.LatestStart(aNow);
  rank.mStartStep = rank.mLatestStart.time_since_epoch() / kStartStep;
  rank.mServedSteps = aTreatment.mServedSteps;
  rank.mNumber = aNumber;
  return rank;
}

std::size_t WaitForecast::IndexOf(unsigned aRoutePriority, Standing aStanding)
{
  std::size_t rank = std::min<std::size_t>(aRoutePriority, kRanks - 1);
  return rank * kStandingCount + static_cast<std::size_t>(aStanding);
}

void WaitForecast::Record(unsigned aRoutePriority,
                          Standing aStanding,
                          Duration aWaited,
                          bool aStarted,
                          Instant aNow)
{
  Sums& sums = mSums[IndexOf(aRoutePriority, aStanding)];
  double fade = Fade(sums.mAt, aNow, kWaitHalfLife);
  sums.mWaited = sums.mWaited * fade + Seconds(aWaited).count();
  sums.mStarts = sums.mStarts * fade + (aStarted ? 1 : 0);
  sums.mAt = aNow;
}

Duration WaitForecast::Expect(unsigned aRoutePriority,
                              Standing aStanding,
                              std::size_t aAhead,
                              Instant aNow) const
{
  const Sums& sums = mSums[IndexOf(aRoutePriority, aStanding)];
  double fade = Fade(sums.mAt, aNow, kWaitHalfLife);
  double waited = sums.mWaited * fade + kPriorWait.count();
  double starts = sums.mStarts * fade;
  Seconds mean{ waited / (starts + 1) };
  if (starts <= 0) {
    return ToDuration(mean);
  }
  Seconds gap = kWaitHalfLife / (starts * std::log(2.0));
  return ToDuration(std::min(mean, double(aAhead + 1) * gap));
}

bool WaitPays(const WaitForecast& aForecast,
              const WaitTerms& aTerms,
              unsigned aRoutePriority,
              std::size_t aAhead,
              Instant aNow)
{
  Standing standing = aTerms.StandingAt(aNow);
  Duration wait = aForecast.Expect(aRoutePriority, standing, aAhead, aNow);
  if (aNow + kWaitMargin * wait <= aTerms.LatestStart(aNow)) {
    return true;
  }
  if (standing != Standing::InTime) {
    return false;
  }
  Duration late = aForecast.Expect(aRoutePriority, Standing::Late, 0, aNow);
  return aTerms.mTarget + kWaitMargin * late <= aTerms.mDeadline;
}

void ServedShares::Record(const std::string& aGroup,
                          bool aServed,
                          bool aRepeat,
                          Instant aNow)
{
  if (!mGroups.contains(aGroup)) {
    MakeRoom(mGroups, kMaxGroups, [](const Group& aEntry) { return aEntry.mAt; });
  }
  Group& group = mGroups[aGroup];
  double fade = Fade(group.mAt, aNow, kShareHalfLife);
  group.mServed = group.mServed * fade + (aServed ? 1 : 0);
  group.mEnded = group.mEnded * fade + (aRepeat ? 0 : 1);
  group.mAt = aNow;
}

double ServedShares::ShareOf(const std::string& aGroup, Instant aNow) const
{
  auto found = mGroups.find(aGroup);
  if (found == mGroups.end()) {
    return 1;
  }
  const Group& group = found->second;
  double fade = Fade(group.mAt, aNow, kShareHalfLife);
  double served = group.mServed * fade + kPriorServed;
  return std::min(1.0, served / (group.mEnded * fade + kPriorServed));
}

unsigned ServedShares::StepsOf(const std::string& aGroup, Instant aNow) const
{
  return static_cast<unsigned>(ShareOf(aGroup, aNow) * kServedSteps);
}

void GroupShares::Record(const RequestGroups& aGroups,
                         bool aServed,
                         bool aRepeat,
                         Instant aNow)
{
  mAll.Record("", aServed, aRepeat, aNow);
  if (!aGroups.mOrganisation.empty()) {
    mOrganisations.Record(aGroups.mOrganisation, aServed, aRepeat, aNow);
  }
  if (!aGroups.mDataCentre.empty()) {
    mDataCentres.Record(aGroups.mDataCentre, aServed, aRepeat, aNow);
  }
  if (!aGroups.mRoute.empty()) {
    mRoutes.Record(aGroups.mRoute, aServed, aRepeat, aNow);
  }
}

Treatment GroupShares::Of(const RequestGroups& aGroups, Instant aNow) const
{
  double organisation = mOrganisations.ShareOf(aGroups.mOrganisation, aNow);
  double route = mRoutes.ShareOf(aGroups.mRoute, aNow);
  Treatment treatment;
  treatment.mServedSteps = std::min(mOrganisations.StepsOf(aGroups.mOrganisation, aNow),
                                    mDataCentres.StepsOf(aGroups.mDataCentre, aNow));
  treatment.mStarved =
    std::min(organisation, route) < kStarvedPart * mAll.ShareOf("", aNow);
  return treatment;
}

Duration CallerTimeouts::Elapsed(std::uint64_t aRoute, Duration aTimeout, Instant aNow)
{
  if (!mRoutes.contains(aRoute)) {
    MakeRoom(mRoutes, kMaxRoutes, [](const Longest& aEntry) { return aEntry.mSeenAt; });
  }
  Longest& longest = mRoutes[aRoute];
  bool outdated = aNow - longest.mSeenAt > kLongestAge;
  if (aTimeout >= longest.mTimeout || outdated) {
    longest = { aTimeout, aNow };
    return Duration::zero();
  }
  Duration missing = longest.mTimeout - aTimeout;
  if (missing <= kTimeoutTolerance) {
    longest.mSeenAt = aNow;
    return Duration::zero();
  }
  return missing;
}

Return ReturnOf(Duration aElapsed, Duration aTimeout)
{
  if (aElapsed <= Duration::zero()) {
    return Return::None;
  }
  if (aElapsed < kMinReturnDelay) {
    return Return::TooSoon;
  }
  bool asTold = aElapsed < HonouredTime(aElapsed + aTimeout, kBackPart);
  return asTold ? Return::AsTold : Return::TooLate;
}

void AnswerTimes::Record(std::uint64_t aRoute, Duration aTook, Instant aNow)
{
  auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end()) {
    MakeRoom(mRoutes, kMaxRoutes, [](const Mean& aEntry) { return aEntry.mAt; });
    mRoutes[aRoute] = { aTook, aNow };
    return;
  }
  Mean& mean = found->second;
  mean.mTime += ToDuration(kAnswerWeight * Seconds(aTook - mean.mTime));
  mean.mAt = aNow;
}

Duration AnswerTimes::Expect(std::uint64_t aRoute, Duration aDefault) const
{
  auto found = mRoutes.find(aRoute);
  return found == mRoutes.end() ? aDefault : found->second.mTime;
}

void ReturnSchedule::RecordStart(Instant aNow)
{
  mStarts = mStarts * Fade(mStartsAt, aNow, kStartHalfLife) + 1;
  mStartsAt = aNow;
}

double ReturnSchedule::Rate(Instant aNow) const
{
  return mStarts * Fade(mStartsAt, aNow, kStartHalfLife) * std::log(2.0) /
         kStartHalfLife.count();
}

std::optional<Duration> ReturnSchedule::Book(Duration aLeast,
                                             Duration aLeft,
                                             Duration aElapsed,
                                             Instant aNow)
{
  double rate = Rate(aNow) * kPromisedPart;
  if (rate <= 0) {
    return std::nullopt;
  }
  Seconds gap{ 1 / rate };
  Instant earliest = aNow + aLeast;
  // A gap that is much longer than any caller waits must not overflow.
  Instant booked =
    std::max(earliest, mLastBooked + ToDuration(std::min(gap, Seconds(3600))));
  Duration delay = booked - aNow;
  bool late = aElapsed + delay >= HonouredTime(aElapsed + aLeft, kToldPart);
  if (late || delay > aLeft / kHonouredPart) {
    return std::max(delay, aLeft);
  }
  mLastBooked = booked;
  return delay;
}

Duration LimitToHonoured(Duration aDelay, Duration aLeft)
{
  return std::min(aDelay, aLeft / kHonouredPart);
}

} // namespace vanillaloft::decide
