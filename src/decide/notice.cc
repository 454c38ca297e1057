#include "decide/notice.h"

#include <algorithm>

namespace vanillaloft::decide {

namespace {

// Number of boots above which pauses that have ended are removed.
constexpr std::size_t kMaxNotices = 4096;
constexpr std::chrono::milliseconds kRetrySpread{ 500 };

} // namespace

ServerNotices::Notice& ServerNotices::Entry(const ServerBoot& aBoot, Instant aNow)
{
  if (mNotices.size() >= kMaxNotices) {
    std::erase_if(mNotices, [&](const auto& aEntry) {
      return !aEntry.second.mLeaving && aEntry.second.mPausedUntil <= aNow;
    });
  }
  // Boots that left are forgotten only in such numbers that no copy of them is expected.
  if (mNotices.size() >= kMaxNotices) {
    mNotices.clear();
  }
  return mNotices[aBoot];
}

void ServerNotices::RecordLeaving(const ServerBoot& aBoot, Instant aNow)
{
  Entry(aBoot, aNow).mLeaving = true;
}

void ServerNotices::RecordPause(const ServerBoot& aBoot, Duration aPause, Instant aNow)
{
  Instant& until = Entry(aBoot, aNow).mPausedUntil;
  until = std::max(until, aNow + std::min(aPause, kMaxRequestedPause));
}

ServerNotices::Notice ServerNotices::Of(const ServerBoot& aBoot) const
{
  auto found = mNotices.find(aBoot);
  return found == mNotices.end() ? Notice() : found->second;
}

Duration RetryAfterPause(Duration aLeft, std::uint64_t aHash)
{
  auto spread = static_cast<std::uint64_t>(kRetrySpread.count());
  return aLeft + std::chrono::milliseconds(aHash % spread);
}

} // namespace vanillaloft::decide
