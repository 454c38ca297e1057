// Decides when an instance reads the document of shares in the store, so that few of the
// calls grow with the number of instances: the holder of a data centre renews its shares,
// and while there is none, one instance claims them. The others seldom read it.
#pragma once

#include <optional>
#include <vector>

#include "decide/member.h"

namespace vanillaloft::decide {

// Time without a holder after which an instance no longer leaves the claim to another one
// of its data centre. A claim waits for the lease of a holder that died.
constexpr Duration kClaimPatience = std::chrono::seconds(15);

// Time between two reads of an instance that holds no shares and does not claim them. It
// finds the holders that have tokens by the document.
constexpr Duration kShareReadInterval = std::chrono::seconds(15);

class ShareClaim
{
public:
  // True if this instance is to read the document now. aSelf is its status, aMembers the
  // other instances. The first read is due at once.
  bool IsDue(const MemberStatus& aSelf, const Members& aMembers, Instant aNow);
  // Records that the document was read, and written if this instance claimed shares.
  // After a failure the next read is due at once.
  void RecordRead(Instant aNow) { mReadAt = aNow; }

private:
  bool MayClaim(const MemberStatus& aSelf, const Members& aMembers, Instant aNow);

  std::optional<Instant> mReadAt;        // when the document was read last
  std::optional<Instant> mNoHolderSince; // no instance of the data centre holds and stays
};

} // namespace vanillaloft::decide
