// Unit tests of the account of bytes.
#include <doctest/doctest.h>

#include "base/clock.h"
#include "decide/memory.h"

using namespace vanillaloft;
using namespace vanillaloft::decide;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMegabyte = 1024UL * 1024;

struct Fixture
{
  base::ManualClock mClock;
  MemoryAccount mAccount{ 8 * kMegabyte };

  // Opens a holder that has received aBytes just now.
  MemoryAccount::HolderId Open(std::size_t aBytes)
  {
    auto holder = mAccount.Open(mClock.Now());
    mAccount.SetHeld(holder, aBytes);
    mAccount.RecordProgress(holder, aBytes, mClock.Now());
    return holder;
  }
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "a single holder may grow beyond the budget")
{
  auto only = Open(kMegabyte);
  CHECK(mAccount.MayGrow(only, 64 * kMegabyte));
  Open(kMegabyte / 2);
  CHECK(mAccount.MayGrow(only, 64 * kMegabyte));
  Open(kMegabyte);
  CHECK_FALSE(mAccount.MayGrow(only, 64 * kMegabyte));
}

TEST_CASE_FIXTURE(Fixture,
                  "large requests leave room for small ones, and both for answers")
{
  Open(2 * kMegabyte);
  auto large = Open(2 * kMegabyte);
  CHECK_FALSE(mAccount.MayGrow(large, 3 * kMegabyte));
  auto small = Open(0);
  CHECK(mAccount.MayGrow(small, MemoryAccount::kSmallBytes));
  CHECK_FALSE(mAccount.MayGrow(small, MemoryAccount::kSmallBytes + 1));
  mAccount.EnterPhase(large, HoldPhase::Serving, mClock.Now());
  CHECK(mAccount.MayGrow(large, 6 * kMegabyte));
  CHECK_FALSE(mAccount.MayGrow(large, 7 * kMegabyte));
}

TEST_CASE_FIXTURE(Fixture, "bytes that are given back or end soon make room")
{
  auto first = Open(4 * kMegabyte);
  auto second = Open(kMegabyte);
  CHECK_FALSE(mAccount.MayGrow(second, 2 * kMegabyte));
  mAccount.SetEnding(first);
  CHECK(mAccount.MayGrow(second, 2 * kMegabyte));
  CHECK_FALSE(mAccount.MayGrow(first, 5 * kMegabyte));
  mAccount.Close(first);
  CHECK(mAccount.HeldBytes() == kMegabyte);
}

TEST_CASE_FIXTURE(Fixture, "of stalled holders the one with the most bytes ends first")
{
  Open(1000);
  auto large = Open(2 * kMegabyte);
  CHECK_FALSE(mAccount.ChooseStalled(mClock.Now()));
  mClock.Advance(30s);
  auto moving = Open(3 * kMegabyte);
  CHECK(mAccount.ChooseStalled(mClock.Now()) == large);
  mAccount.SetEnding(large);
  mAccount.SetPaused(moving, true, mClock.Now());
  mClock.Advance(30s);
  CHECK(mAccount.ChooseStalled(mClock.Now()) != moving);
}

TEST_CASE_FIXTURE(Fixture,
                  "the holder with the least progress for its bytes is the slowest")
{
  auto fast = Open(kMegabyte);
  auto slow = Open(kMegabyte);
  auto served = Open(kMegabyte);
  mAccount.EnterPhase(served, HoldPhase::Serving, mClock.Now());
  for (int second = 0; second < 20; ++second) {
    mClock.Advance(1s);
    mAccount.RecordProgress(fast, 100'000, mClock.Now());
    mAccount.RecordProgress(slow, 10, mClock.Now());
  }
  CHECK(mAccount.ChooseSlowest(mClock.Now()) == slow);
  mAccount.Close(slow);
  CHECK(mAccount.ChooseSlowest(mClock.Now()) == fast);
  mAccount.Close(fast);
  CHECK_FALSE(mAccount.ChooseSlowest(mClock.Now()));
}
