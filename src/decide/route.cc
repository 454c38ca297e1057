#include "decide/route.h"

#include <array>

namespace vanillaloft::decide {

namespace {

using std::chrono::milliseconds;

// Retries are spread from the minimum delay to twice that delay.
struct RetryDelay
{
  base::Result mRefusal;
  milliseconds mMinDelay;
};

constexpr std::array kRetryDelays = {
  RetryDelay{ base::Result::RateExceeded, milliseconds(1000) },
  RetryDelay{ base::Result::QueueTimeout, milliseconds(250) },
  RetryDelay{ base::Result::QueueFull, milliseconds(250) },
  RetryDelay{ base::Result::BackendServerShed, milliseconds(150) },
  RetryDelay{ base::Result::NoBackendServer, milliseconds(500) },
  RetryDelay{ base::Result::NotReady, milliseconds(300) },
  RetryDelay{ base::Result::MemoryFull, milliseconds(500) },
  RetryDelay{ base::Result::KeysUnconfirmed, milliseconds(500) },
  RetryDelay{ base::Result::NotConnected, milliseconds(150) },
  RetryDelay{ base::Result::BackendServerLeft, milliseconds(150) },
};

} // namespace

ServiceId SelectService(const Route& aRoute, std::uint64_t aHash)
{
  std::uint64_t total = 0;
  for (const SplitPart& part : aRoute.mSplit) {
    total += part.mWeight;
  }
  if (total == 0) {
    return aRoute.mService;
  }
  std::uint64_t remainder = aHash % total;
  for (const SplitPart& part : aRoute.mSplit) {
    if (remainder < part.mWeight) {
      return part.mService;
    }
    remainder -= part.mWeight;
  }
  return aRoute.mService;
}

Duration RetryAfter(base::Result aRefusal, std::uint64_t aHash)
{
  for (const RetryDelay& entry : kRetryDelays) {
    if (entry.mRefusal == aRefusal) {
      auto spread = static_cast<std::uint64_t>(entry.mMinDelay.count());
      return entry.mMinDelay + milliseconds(aHash % spread);
    }
  }
  return Duration::zero();
}

} // namespace vanillaloft::decide
