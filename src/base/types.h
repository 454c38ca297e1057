// Basic types shared by all packages: identifiers and time. Identifiers are dense indexes
// into the tables of the active configuration, so that hot paths index arrays instead of
// looking up names.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace vanillaloft::base {

// Clock type of all time points. It has no now(): the time is read from a Clock object or
// passed as an argument, so that tests can pause and advance it. The epoch is the boot of
// the machine; time spent suspended, by the process or the machine, is counted.
struct BootClock
{
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;
};

using Duration = BootClock::duration;
using Instant = BootClock::time_point;

// A dense table index. The tag makes indexes into different tables distinct types; kNone
// marks an absent entry.
template<typename Tag>
struct Index
{
  static constexpr std::uint16_t kNone = 0xffff;

  std::uint16_t mValue = kNone;

  constexpr Index() = default;
  constexpr explicit Index(std::size_t aValue)
    : mValue(static_cast<std::uint16_t>(aValue))
  {
  }
  constexpr bool IsNone() const { return mValue == kNone; }
  constexpr std::size_t Value() const { return mValue; }
  constexpr auto operator<=>(const Index&) const = default;
};

using RegionId = Index<struct RegionTag>;
using DataCentreId = Index<struct DataCentreTag>;
using OrganisationId = Index<struct OrganisationTag>;
using ServiceId = Index<struct ServiceTag>;
using RouteId = Index<struct RouteTag>;
using ProfileId = Index<struct ProfileTag>;
using BackendServerId = Index<struct BackendServerTag>;
using BudgetId = Index<struct BudgetTag>;

// Identifies one process lifetime of an entry instance. The start identifier is random,
// which distinguishes a restarted instance from its predecessor at the same address.
struct Incarnation
{
  std::string mAddress; // "ip:port" of the peer listener
  std::uint64_t mStartId = 0;

  auto operator<=>(const Incarnation&) const = default;
};

// Revision of the operator configuration. It never decreases.
using Revision = std::uint64_t;

} // namespace vanillaloft::base
