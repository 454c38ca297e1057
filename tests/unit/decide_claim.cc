// Unit tests of the choice of the instance that claims a data centre's shares.
#include <doctest/doctest.h>

#include "decide/claim.h"

using namespace vanillaloft::decide;
using namespace std::chrono_literals;

namespace {

MemberStatus StatusOf(const char* aAddress, unsigned aWeight)
{
  MemberStatus status;
  status.mSelf = { aAddress, 1 };
  status.mDataCentre = "d1";
  status.mWeight = aWeight;
  status.mHasStorePath = true;
  return status;
}

struct Mates
{
  Instant mNow{ 100s };
  MemberStatus mSelf = StatusOf("127.0.0.1:5", 10);
  Members mMembers{ "127.0.0.1:5", "d1" };
  ShareClaim mClaim;

  void Hear(const MemberStatus& aStatus) { mMembers.RecordStatus(aStatus, mNow); }
  // A read that is due takes place.
  bool IsDue()
  {
    bool due = mClaim.IsDue(mSelf, mMembers, mNow);
    if (due) {
      mClaim.RecordRead(mNow);
    }
    return due;
  }
};

} // namespace

// Guards against store calls that grow with the instances: after a start, each of them
// read the document several times and tried to write it.
TEST_CASE("all instances start at once: one of a data centre claims its shares")
{
  Mates mates;
  REQUIRE(mates.IsDue()); // its first read
  CHECK(mates.IsDue());   // alone
  mates.Hear(StatusOf("127.0.0.1:9", 5));
  CHECK(mates.IsDue());
  mates.Hear(StatusOf("127.0.0.1:8", 20));
  CHECK_FALSE(mates.IsDue());
  MemberStatus elsewhere = StatusOf("127.0.0.1:8", 20);
  elsewhere.mDataCentre = "d2";
  mates.Hear(elsewhere);
  CHECK(mates.IsDue());
  mates.Hear(StatusOf("127.0.0.1:4", 10));
  CHECK_FALSE(mates.IsDue());
}

TEST_CASE("an instance seldom reads the document while another one holds the shares")
{
  Mates mates;
  MemberStatus holder = StatusOf("127.0.0.1:9", 5);
  holder.mHoldsShares = true;
  mates.Hear(holder);
  REQUIRE(mates.IsDue()); // its first read
  CHECK_FALSE(mates.IsDue());
  mates.mNow += kShareReadInterval;
  mates.Hear(holder);
  CHECK(mates.IsDue());
  CHECK_FALSE(mates.IsDue());
  holder.mLeaving = true;
  mates.Hear(holder);
  CHECK(mates.IsDue());
  mates.mSelf.mHoldsShares = true;
  CHECK(mates.IsDue());
}

// Guards against a data centre without shares for 15 s: after a restart of the fleet all
// former holders write the document at once, and all but one lose.
TEST_CASE("a read that failed, or a write that lost, is repeated at once")
{
  Mates mates;
  mates.Hear(StatusOf("127.0.0.1:4", 20));
  CHECK(mates.mClaim.IsDue(mates.mSelf, mates.mMembers, mates.mNow));
  CHECK(mates.mClaim.IsDue(mates.mSelf, mates.mMembers, mates.mNow));
  mates.mClaim.RecordRead(mates.mNow);
  CHECK_FALSE(mates.IsDue());
}

// Guards against a data centre without shares: who should claim them cannot.
TEST_CASE(
  "the next instance claims if the first is lost, leaves or is cut from the store")
{
  Mates mates;
  MemberStatus first = StatusOf("127.0.0.1:4", 20);
  mates.Hear(first);
  REQUIRE(mates.IsDue()); // its first read
  REQUIRE_FALSE(mates.IsDue());
  SUBCASE("it is cut from the store")
  {
    first.mHasStorePath = false;
    mates.Hear(first);
  }
  SUBCASE("it leaves")
  {
    first.mLeaving = true;
    mates.Hear(first);
  }
  SUBCASE("it sends no more heartbeats")
  {
    mates.mNow += kMemberTimeout;
  }
  SUBCASE("it does not claim for a long time")
  {
    mates.mNow += kClaimPatience;
    mates.Hear(first);
    REQUIRE(mates.IsDue());
  }
  CHECK(mates.IsDue());
}
