// Synchronises the replicas of the platform's store among instances. Heartbeats carry the
// revisions of each replica, and an instance that lacks a change for some time fetches it
// from a peer.
#pragma once

#include <array>

#include "entry/core.h"

namespace vanillaloft::entry {

// Fetches from a peer the changes that this instance's replica of a section lacks, and
// applies them. aWait: how long the peer may wait for some if it has none. Returns false
// if the peer has no replica yet. Throws peer::PeerError.
Awaitable<bool> FetchItems(Core& aCore,
                           std::string aAddress,
                           store::StoreSection aSection,
                           std::chrono::milliseconds aWait,
                           std::chrono::milliseconds aTimeout);

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
  // If there are none, waits for news of this instance's replica as long as the peer
  // allows.
  Awaitable<peer::wire::ItemsReply> AnswerItemsRequest(
    peer::wire::ItemsRequest aRequest) const;

private:
  // Changes that a peer has and this instance lacks.
  struct Lag
  {
    std::uint64_t mRevision = 0; // of the peer's last change when the lag began
    Instant mSince{};            // start of the lag or end of the last fetch
    bool mFetching = false;
  };

  Awaitable<void> FetchItemsFrom(std::string aAddress, store::StoreSection aSection);
  peer::wire::ItemsReply BuildItemsReply(const peer::wire::ItemsRequest& aRequest) const;
  // The replica must have been listed.
  std::uint64_t AgeInMs(const store::Replica& aReplica) const;

  Core& mCore;
  std::array<Lag, store::kStoreSectionCount> mLags;
};

} // namespace vanillaloft::entry
