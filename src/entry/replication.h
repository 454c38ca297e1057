// Keeps the copies of the platform's store equal among instances: heartbeats say how far
// each copy reaches, and an instance that lacks a change for some time fetches it from a
// peer.
#pragma once

#include <array>

#include "entry/core.h"

namespace vanillaloft::entry {

class Replication
{
public:
  explicit Replication(Core& aCore)
    : mCore(aCore)
  {
  }

  // Says how far the copies of this instance reach.
  void Fill(peer::wire::Status& aStatus) const;
  // Looks at how far a peer's copies reach, and fetches what this instance has lacked for
  // some time. aAsked: when the peer was asked; none if it spoke by itself.
  void Take(const peer::wire::Status& aStatus, std::optional<Instant> aAsked);
  // What a peer lacks.
  peer::wire::ItemsReply Answer(const peer::wire::ItemsRequest& aRequest) const;

private:
  // A change that a peer knew before this instance did.
  struct Lag
  {
    std::uint64_t mRevision = 0;
    Instant mSince{};
    bool mFetching = false;
  };

  Awaitable<void> FetchItemsFrom(std::string aAddress, store::StoreSection aPart);
  void TakeReply(store::StoreSection aPart,
                 const std::string& aAddress,
                 const peer::wire::ItemsReply& aReply,
                 Instant aAsked);
  // Milliseconds.
  std::uint64_t AgeOf(const store::Replica& aReplica) const;

  Core& mCore;
  std::array<Lag, store::kStoreSectionCount> mLags;
};

} // namespace vanillaloft::entry
