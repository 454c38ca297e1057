#include "decide/route.h"

#include <array>

namespace vanillaloft::decide {

namespace {

using std::chrono::milliseconds;

// Returns are spread over a further time of the same length.
struct RetryRow
{
  base::Result mRefusal;
  milliseconds mEarliest;
};

constexpr std::array kRetryRows = {
  RetryRow{ base::Result::RateExceeded, milliseconds(1000) },
  RetryRow{ base::Result::QueueTimeout, milliseconds(250) },
  RetryRow{ base::Result::QueueFull, milliseconds(250) },
  RetryRow{ base::Result::BackendServerShed, milliseconds(150) },
  RetryRow{ base::Result::NoBackendServer, milliseconds(500) },
  RetryRow{ base::Result::NotReady, milliseconds(300) },
  RetryRow{ base::Result::KeysUnconfirmed, milliseconds(500) },
  RetryRow{ base::Result::NotConnected, milliseconds(150) },
  RetryRow{ base::Result::BackendServerLeft, milliseconds(150) },
};

} // namespace

ServiceId DrawService(const Route& aRoute, std::uint64_t aDraw)
{
  std::uint64_t total = 0;
  for (const SplitPart& part : aRoute.mSplit) {
    total += part.mWeight;
  }
  if (total == 0) {
    return aRoute.mService;
  }
  std::uint64_t left = aDraw % total;
  for (const SplitPart& part : aRoute.mSplit) {
    if (left < part.mWeight) {
      return part.mService;
    }
    left -= part.mWeight;
  }
  return aRoute.mService;
}

Duration RetryAfter(base::Result aRefusal, std::uint64_t aDraw)
{
  for (const RetryRow& row : kRetryRows) {
    if (row.mRefusal == aRefusal) {
      auto spread = static_cast<std::uint64_t>(row.mEarliest.count());
      return row.mEarliest + milliseconds(aDraw % spread);
    }
  }
  return Duration::zero();
}

} // namespace vanillaloft::decide
