#include "decide/notice.h"

namespace vanillaloft::decide {

namespace {

// Number of boots that are remembered.
constexpr std::size_t kMaxNotices = 4096;

} // namespace

// Boots that left are forgotten only in such numbers that no copy of them is expected.
void ServerNotices::RecordLeaving(const ServerBoot& aBoot)
{
  if (mNotices.size() >= kMaxNotices) {
    mNotices.clear();
  }
  mNotices[aBoot].mLeaving = true;
}

ServerNotices::Notice ServerNotices::Of(const ServerBoot& aBoot) const
{
  auto found = mNotices.find(aBoot);
  return found == mNotices.end() ? Notice() : found->second;
}

} // namespace vanillaloft::decide
