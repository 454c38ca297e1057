// The kinds of calls to the platform's store, which are counted because each has a price.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string_view>

namespace vanillaloft::store {

enum class CallKind : std::uint8_t
{
  List,      // a page of a listing
  StaleList, // a page that may be some seconds old
  Watch,
  Read,
  Write,
  GrantLease,
  RenewLease,
};

// Names in the metrics and the log, in order of CallKind.
constexpr std::array<std::string_view, 7> kCallKindNames = {
  "list", "stale_list", "watch", "read", "write", "grant_lease", "renew_lease"
};

using CallObserver = std::function<void(CallKind)>;

} // namespace vanillaloft::store
