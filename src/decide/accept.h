// Acceptance of configuration revisions: the revision in force only increases, whichever
// revisions the store or a peer offers.
#pragma once

#include "decide/config.h"

namespace vanillaloft::decide {

// How an offered revision compares with the one in force.
enum class RevisionCheck : std::uint8_t
{
  Accepted, // newer
  Known,    // the revision in force
  Older,    // the source is behind and needs repair
  Differs,  // the number of the revision in force, but with other content
};

class Acceptor
{
public:
  // Checks a revision and its digest, so that a text need not be fetched and parsed in
  // vain.
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

  // Applies a configuration if it is newer.
  RevisionCheck Accept(ConfigPtr aConfig)
  {
    RevisionCheck check = Check(aConfig->mRevision, aConfig->mDigest);
    if (check == RevisionCheck::Accepted) {
      mCurrent = std::move(aConfig);
    }
    return check;
  }

  const ConfigPtr& Current() const { return mCurrent; }

private:
  ConfigPtr mCurrent;
};

} // namespace vanillaloft::decide
