// Basic types shared by every package: identifiers, units and the clock's time points.
// Identifiers are dense indexes into the tables of the configuration in force, so that
// hot paths use arrays instead of name look-ups.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace vanillaloft::base {

// The project's clock type. It has no now(): time is always read from a Clock object or
// passed in, so that tests can pause and advance it. The epoch is the boot of the machine
// and the clock keeps counting while the process or the machine is suspended.
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

// A dense index that cannot be confused with an index into another table.
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

// One start of one entry instance. The start identifier is random, so a successor at the
// same address is told apart from its predecessor.
struct Incarnation
{
  std::string mAddress; // "ip:port" of the peer listener
  std::uint64_t mStartId = 0;

  auto operator<=>(const Incarnation&) const = default;
};

// Revision of the operator configuration. Only ever rises.
using Revision = std::uint64_t;

} // namespace vanillaloft::base
