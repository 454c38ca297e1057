// Synchronises the replicas of the platform's store among instances. Heartbeats carry the
// revisions of each replica, and an instance that lacks a change for some time fetches it
// from a peer.
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

  // Adds the revisions and ages of this instance's replicas to a status.
  void ReportReplicas(peer::wire::Status& aStatus) const;
  // Compares the revisions of a peer's replicas with this instance's and fetches changes
  // that this instance has lacked for some time. aRequestedAt: when the peer was sent the
  // request that it replies to; none if the status came in a request of the peer.
  void HandlePeerStatus(const peer::wire::Status& aStatus,
                        std::optional<Instant> aRequestedAt);
  // Returns the changes behind the revision up to which the peer's replica is complete.
  peer::wire::ItemsReply BuildItemsReply(const peer::wire::ItemsRequest& aRequest) const;

private:
  // Changes that a peer has and this instance lacks.
  struct Lag
  {
    std::uint64_t mRevision = 0; // of the peer's last change when the lag began
    Instant mSince{};            // start of the lag or end of the last fetch
    bool mFetching = false;
  };

  Awaitable<void> FetchItemsFrom(std::string aAddress, store::StoreSection aSection);
  void ApplyItemsReply(store::StoreSection aSection,
                       const std::string& aAddress,
                       const peer::wire::ItemsReply& aReply,
                       Instant aRequestedAt);
  // The replica must have been listed.
  std::uint64_t AgeInMs(const store::Replica& aReplica) const;

  Core& mCore;
  std::array<Lag, store::kStoreSectionCount> mLags;
};

} // namespace vanillaloft::entry
