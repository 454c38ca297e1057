// Acceptance of configuration revisions: the revision in force only ever rises, whatever
// the store or a peer offers.
#pragma once

#include "decide/config.h"

namespace vanillaloft::decide {

enum class RevisionCheck : std::uint8_t
{
  Accepted,
  Known,   // the revision in force
  Older,   // the source is behind and should be repaired
  Differs, // the revision in force with another content
};

class Acceptor
{
public:
  // Weighs a revision before its text is fetched and parsed.
  RevisionCheck Check(Revision aRevision, const std::string& aDigest) const
  {
    Revision current = mCurrent ? mCurrent->mRevision : 0;
    if (aRevision > current) {
      return RevisionCheck::Accepted;
    }
    if (aRevision < current) {
      return RevisionCheck::Older;
    }
    return !mCurrent || aDigest == mCurrent->mDigest ? RevisionCheck::Known
                                                     : RevisionCheck::Differs;
  }

  // Puts a configuration in force if it is newer.
  RevisionCheck Accept(ConfigPtr aConfig)
  {
    RevisionCheck offer = Check(aConfig->mRevision, aConfig->mDigest);
    if (offer == RevisionCheck::Accepted) {
      mCurrent = std::move(aConfig);
    }
    return offer;
  }

  const ConfigPtr& Current() const { return mCurrent; }

private:
  ConfigPtr mCurrent;
};

} // namespace vanillaloft::decide
