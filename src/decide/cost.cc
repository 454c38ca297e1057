#include "decide/cost.h"

#include <algorithm>
#include <cmath>

namespace vanillaloft::decide {

namespace {

using Seconds = std::chrono::duration<double>;

// Weight of the newest answer in an average, once it has enough of them.
constexpr unsigned kTrustedSamples = 12;
// A larger sample counts as this multiple of the average, so that neither a few long
// requests nor a minority of slow servers move it far.
constexpr double kLargestSample = 1.5;
constexpr std::size_t kMaxRoutes = 512;
// Size classes of bodies: none, up to 1 kB, and up to four times as much in each next.
constexpr std::size_t kFirstSizeClassBytes = 1024;
constexpr std::size_t kSizeClassFactor = 4;

// Half-life of a server's own figure, which changes many times per second.
constexpr Seconds kReportHalfLife{ 0.15 };
// Half-life of what answers showed. Behind it a server gets ordinary requests again,
// which show whether it has recovered.
constexpr Seconds kExcessHalfLife{ 0.8 };
// Answers that lie further apart than this say nothing about each other.
constexpr Duration kRatioMemory = std::chrono::seconds(3);
constexpr double kUsualPaceSmoothing = 0.1;
// Half-life of the usual pace of a server that is not used, so that it is tried again.
constexpr Seconds kUsualPaceHalfLife{ 4 };
constexpr double kMinPace = 0.1;
constexpr double kMaxPace = 50;
// Ratios up to this one say nothing about the server: it may have forgotten the object.
constexpr double kColdRatio = 4;
// Expected rest of the work of a request that takes longer than forecast, as a fraction
// of the time since its start.
constexpr double kLongRestFraction = 0.5;
// Probability below which further requests of other instances are not considered.
constexpr double kNegligible = 0.01;

double FadeToOne(double aFactor, Seconds aAge, Seconds aHalfLife)
{
  return 1 + (aFactor - 1) * std::exp2(-std::max(0.0, aAge / aHalfLife));
}

Duration ToDuration(double aMicroseconds)
{
  return Duration(static_cast<Duration::rep>(aMicroseconds));
}

} // namespace

std::size_t WorkForecast::SizeClassOf(std::size_t aBodyBytes)
{
  std::size_t size = 0;
  std::size_t limit = 0;
  while (aBodyBytes > limit && size + 1 < kSizeClasses) {
    limit = limit == 0 ? kFirstSizeClassBytes : limit * kSizeClassFactor;
    ++size;
  }
  return size;
}

const WorkForecast::Average* WorkForecast::Nearest(
  const std::array<Average, kSizeClasses>& aSizes,
  std::size_t aSize)
{
  for (std::size_t distance = 0; distance < kSizeClasses; ++distance) {
    for (std::size_t size : { aSize - distance, aSize + distance }) {
      if (size < kSizeClasses && aSizes[size].mSamples > 0) {
        return &aSizes[size];
      }
    }
  }
  return nullptr;
}

// Until a familiarity is known, a request is expected to take as long as with the next
// more or less familiar one. The servers are tried out this way.
std::optional<Duration> WorkForecast::Expect(const WorkClass& aClass) const
{
  auto found = mRoutes.find(aClass.mRoute);
  if (found == mRoutes.end()) {
    return std::nullopt;
  }
  std::size_t wanted = static_cast<std::size_t>(aClass.mFamiliarity);
  std::size_t size = SizeClassOf(aClass.mBodyBytes);
  for (std::size_t distance = 0; distance < kFamiliarityCount; ++distance) {
    for (std::size_t familiarity : { wanted - distance, wanted + distance }) {
      if (familiarity >= kFamiliarityCount) {
        continue;
      }
      if (const Average* average = Nearest(found->second.mWork[familiarity], size)) {
        return ToDuration(average->mMean);
      }
    }
  }
  return std::nullopt;
}

void WorkForecast::Add(Average& aAverage, double aSample)
{
  double sample =
    aAverage.mSamples > 0 ? std::min(aSample, kLargestSample * aAverage.mMean) : aSample;
  aAverage.mSamples = std::min(aAverage.mSamples + 1, kTrustedSamples);
  aAverage.mMean += (sample - aAverage.mMean) / aAverage.mSamples;
}

WorkForecast::Route& WorkForecast::RouteOf(std::uint64_t aRoute)
{
  if (mRoutes.size() >= kMaxRoutes && !mRoutes.contains(aRoute)) {
    mRoutes.clear();
  }
  return mRoutes[aRoute];
}

void WorkForecast::Learn(const WorkClass& aClass, Duration aWork)
{
  auto& sizes =
    RouteOf(aClass.mRoute).mWork[static_cast<std::size_t>(aClass.mFamiliarity)];
  Add(sizes[SizeClassOf(aClass.mBodyBytes)],
      double(std::max(aWork, Duration(1)).count()));
}

void Pace::Report(double aFactor, Instant aNow)
{
  mReported = std::clamp(aFactor, kMinPace, kMaxPace);
  mReportedAt = aNow;
}

void Pace::Observe(double aRatio, Instant aNow)
{
  double ratio = std::clamp(aRatio, kMinPace, kMaxPace);
  mUsual = Usual(aNow);
  bool inRow = aNow - mObservedAt < kRatioMemory;
  double excess = ratio / mUsual > kColdRatio ? ratio / mUsual : 1;
  double previous = inRow ? mLastRatio : 1;
  mExcess = std::max(std::sqrt(excess), std::min(excess, previous));
  mLastRatio = excess;
  mObservedAt = aNow;
  double step = std::min(ratio, kLargestSample * mUsual) - mUsual;
  mUsual += kUsualPaceSmoothing * step;
}

double Pace::Reported(Instant aNow) const
{
  return FadeToOne(mReported, aNow - mReportedAt, kReportHalfLife);
}

double Pace::Usual(Instant aNow) const
{
  return FadeToOne(mUsual, aNow - mObservedAt, kUsualPaceHalfLife);
}

double Pace::At(Instant aNow) const
{
  double excess = FadeToOne(mExcess, aNow - mObservedAt, kExcessHalfLife);
  double reported = Reported(aNow);
  return Usual(aNow) * (excess > 1 ? std::max(excess, reported) : reported);
}

void Backlog::Add(const Flight& aFlight)
{
  mFlights.push_back(aFlight);
}

void Backlog::Remove(std::uint64_t aNumber, bool aAnswered)
{
  auto found = std::ranges::find(mFlights, aNumber, &Flight::mNumber);
  if (found == mFlights.end()) {
    return;
  }
  if (aAnswered) {
    mAnsweredSentAt = std::max(mAnsweredSentAt, found->mSentAt);
  }
  mFlights.erase(found);
}

// Hands the requests to the slots in order of their sending, each to the slot that is
// free first. The number of other requests has a Poisson distribution around its mean,
// since they come from many instances that know little of each other.
Duration Backlog::WaitForSlot(unsigned aSlots,
                              double aOthers,
                              Duration aOtherWork,
                              Instant aNow) const
{
  std::vector<Seconds> slots(std::max(1U, aSlots), Seconds::zero());
  auto add = [&](Seconds aRest) { *std::ranges::min_element(slots) += aRest; };
  for (const Flight& flight : mFlights) {
    Duration elapsed = aNow - flight.mSentAt - flight.mWait;
    Duration rest = std::min(flight.mWork, flight.mWork - elapsed);
    add(rest > Duration::zero() ? Seconds(rest) : Seconds(kLongRestFraction * elapsed));
  }
  double mean = std::max(0.0, aOthers);
  double probability = std::exp(-mean); // of as many others as were added
  double left = 1 - probability;        // probability of more
  Seconds wait = probability * *std::ranges::min_element(slots);
  for (unsigned others = 1; left > kNegligible; ++others) {
    // On average half of the work of a running request is done.
    bool running = mFlights.size() + others <= aSlots;
    add(running ? Seconds(aOtherWork) / 2 : Seconds(aOtherWork));
    probability *= mean / others;
    left -= probability;
    wait += probability * *std::ranges::min_element(slots);
  }
  return std::chrono::duration_cast<Duration>(wait);
}

double Backlog::OverdueRatio(Instant aNow) const
{
  double largest = 1;
  double second = 1;
  for (const Flight& flight : mFlights) {
    Duration expected = flight.Expected();
    if (flight.mWork <= Duration::zero() || flight.mSentAt < mAnsweredSentAt) {
      continue;
    }
    double ratio = Seconds(aNow - flight.mSentAt) / Seconds(expected);
    if (ratio > kColdRatio) {
      second = std::max(second, std::min(ratio, largest));
      largest = std::max(largest, ratio);
    }
  }
  return std::max(std::sqrt(largest), second);
}

} // namespace vanillaloft::decide
