// Acceptance of configuration revisions: the revision in force only ever rises, whatever
// the store or a peer offers.
#pragma once

#include "decide/config.h"

namespace vanillaloft::decide {

enum class Offer : std::uint8_t
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
  Offer Weigh(Revision aRevision, const std::string& aDigest) const
  {
    Revision current = mCurrent ? mCurrent->mRevision : 0;
    if (aRevision > current) {
      return Offer::Accepted;
    }
    if (aRevision < current) {
      return Offer::Older;
    }
    return !mCurrent || aDigest == mCurrent->mDigest ? Offer::Known : Offer::Differs;
  }

  // Puts a configuration in force if it is newer.
  Offer Accept(ConfigPtr aConfig)
  {
    Offer offer = Weigh(aConfig->mRevision, aConfig->mDigest);
    if (offer == Offer::Accepted) {
      mCurrent = std::move(aConfig);
    }
    return offer;
  }

  const ConfigPtr& Current() const { return mCurrent; }

private:
  ConfigPtr mCurrent;
};

} // namespace vanillaloft::decide
