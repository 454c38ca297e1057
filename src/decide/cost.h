// Forecast of the time that requests take on backend servers, learned from the answers
// that this instance sees. A server's requests are counted by their remaining work
// instead of by their number, so that a long one occupies one slot and not the server.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/types.h"

namespace vanillaloft::decide {

using base::Duration;
using base::Instant;

// How likely a server remembers the object of a request, the most likely first.
enum class Familiarity : std::uint8_t
{
  Recent,     // this instance sent a request for the object recently
  Home,       // all instances of the data centre send requests for the object there first
  SecondHome, // or there, whichever ends them earlier
  Copy,       // instances of the region's other data centres do
  Foreign
};

constexpr std::size_t kFamiliarityCount = 5;

// What the work of a request depends on.
struct WorkClass
{
  std::uint64_t mRoute = 0; // hash of the route and the service
  Familiarity mFamiliarity = Familiarity::Home;
  std::size_t mBodyBytes = 0; // of the request

  bool operator==(const WorkClass&) const = default;
};

// Moving averages of the time that requests take without waiting, at the usual pace of
// their server. Keeps a bounded number of routes.
class WorkForecast
{
public:
  // Expected time of a request. Nothing while no request of its route was answered.
  std::optional<Duration> Expect(const WorkClass& aClass) const;
  // Learns from an answer. aWork is the time that the request took, less its wait, at the
  // server's usual pace.
  void Learn(const WorkClass& aClass, Duration aWork);

private:
  static constexpr std::size_t kSizeClasses = 6;
  struct Average
  {
    double mMean = 0;
    unsigned mSamples = 0; // up to kTrustedSamples
  };
  struct Route
  {
    // By familiarity, then by the size class of the request's body.
    std::array<std::array<Average, kSizeClasses>, kFamiliarityCount> mWork;
  };

  static std::size_t SizeClassOf(std::size_t aBodyBytes);
  static const Average* Nearest(const std::array<Average, kSizeClasses>& aSizes,
                                std::size_t aSize);

  static void Add(Average& aAverage, double aSample);
  Route& RouteOf(std::uint64_t aRoute);

  std::unordered_map<std::uint64_t, Route> mRoutes;
};

// How long work takes on a server compared with the forecast; 1 is as forecast.
class Pace
{
public:
  // The server's own figure for this moment, which changes many times per second.
  void Report(double aFactor, Instant aNow);
  // The ratio of an answer's time to its forecast at the usual pace. One such ratio is
  // weak evidence, since some requests take long on any server; a second one in a row is
  // not.
  void Observe(double aRatio, Instant aNow);
  double At(Instant aNow) const;
  // Moving average of the observed ratios, forgotten while there are none.
  double Usual(Instant aNow) const;
  // The part of the pace that the server reported last.
  double Reported(Instant aNow) const;

private:
  double mUsual = 1;
  double mReported = 1;
  Instant mReportedAt{};
  double mExcess = 1; // of the last answers above the usual pace
  double mLastRatio = 1;
  Instant mObservedAt{};
};

// A request of this instance at a server.
struct Flight
{
  std::uint64_t mNumber = 0; // 0: none
  WorkClass mClass;
  Instant mSentAt{};
  Duration mWait{}; // expected until a slot is free
  Duration mWork{}; // expected behind that; zero: no forecast

  Duration Expected() const { return mWait + mWork; }
};

// The work in hand at one server, as far as this instance knows it.
class Backlog
{
public:
  void Add(const Flight& aFlight);
  // Removes a request. aAnswered: it got an answer of the server.
  void Remove(std::uint64_t aNumber, bool aAnswered);
  // Mean time until a slot becomes free. aOthers is the mean number of requests of other
  // instances, of which each takes aOtherWork in all; their number at this moment is not
  // known.
  Duration WaitForSlot(unsigned aSlots,
                       double aOthers,
                       Duration aOtherWork,
                       Instant aNow) const;
  // The ratio of elapsed to expected time that the overdue requests show, at least 1. A
  // request that a later one overtook is long itself and says nothing about the server.
  double OverdueRatio(Instant aNow) const;

private:
  std::vector<Flight> mFlights; // by the time of sending
  Instant mAnsweredSentAt{};    // when the newest answered request was sent
};

} // namespace vanillaloft::decide
