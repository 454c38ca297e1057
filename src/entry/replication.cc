#include "entry/replication.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace vanillaloft::entry {

namespace wire = peer::wire;

namespace {

constexpr std::chrono::milliseconds kItemsFetchTimeout{ 2000 };
// Changes normally arrive from the store within this time. After it, they are fetched
// from a peer that has them. A peer in another data centre is used later, since traffic
// between data centres is expensive.
constexpr Duration kPeerFetchDelay = std::chrono::milliseconds(700);
constexpr Duration kRemotePeerFetchDelay = 3 * kPeerFetchDelay;

store::Item FromWire(const wire::Item& aItem)
{
  return { aItem.key(), aItem.value(), aItem.revision(), aItem.deleted() };
}

} // namespace

void Replication::ReportReplicas(wire::Status& aStatus) const
{
  for (std::size_t part = 0; part < store::kStoreSectionCount; ++part) {
    const store::Replica& replica = mCore.mReplicas[part];
    if (replica.HasListing()) {
      wire::Reach* reach = aStatus.add_reaches();
      reach->set_part(static_cast<std::uint32_t>(part));
      reach->set_complete(replica.Position().mCompleteRevision);
      reach->set_changed(replica.Position().mLastChangeRevision);
      reach->set_age_ms(AgeInMs(replica));
    }
  }
}

std::uint64_t Replication::AgeInMs(const store::Replica& aReplica) const
{
  auto age = std::chrono::ceil<std::chrono::milliseconds>(mCore.Now() - *aReplica.AsOf());
  return static_cast<std::uint64_t>(age.count());
}

// The age that a peer reports is counted from the time of the request, since the network
// delay of the reply is unknown.
void Replication::HandlePeerStatus(const wire::Status& aStatus,
                                   std::optional<Instant> aRequestedAt)
{
  for (const wire::Reach& peerReach : aStatus.reaches()) {
    if (!mCore.mOnItemsChanged || peerReach.part() >= store::kStoreSectionCount) {
      continue;
    }
    store::Replica& replica = mCore.mReplicas[peerReach.part()];
    Lag& lag = mLags[peerReach.part()];
    store::ReplicaPosition reach{ peerReach.complete(), peerReach.changed() };
    if (aRequestedAt) {
      Instant asOf = *aRequestedAt - std::chrono::milliseconds(peerReach.age_ms());
      mCore.RecordStoreAnswer(asOf);
      replica.ConfirmCurrent(reach, asOf);
    }
    if (replica.HasListing() && !replica.IsBehind(reach)) {
      continue;
    }
    if (lag.mSince == Instant() ||
        replica.Position().mCompleteRevision >= lag.mRevision) {
      lag.mRevision = reach.mLastChangeRevision;
      lag.mSince = mCore.Now();
    }
    bool sameDataCentre = aStatus.data_centre() == mCore.mSettings.mDataCentre;
    Duration delay = sameDataCentre ? kPeerFetchDelay : kRemotePeerFetchDelay;
    if (mCore.Now() - lag.mSince >= delay && !lag.mFetching) {
      boost::asio::co_spawn(
        mCore.mContext,
        FetchItemsFrom(aStatus.address(),
                       static_cast<store::StoreSection>(peerReach.part())),
        boost::asio::detached);
    }
  }
}

void Replication::ApplyItemsReply(store::StoreSection aPart,
                                  const std::string& aAddress,
                                  const wire::ItemsReply& aReply,
                                  Instant aRequestedAt)
{
  if (!aReply.listed()) {
    return;
  }
  store::ReplicaDelta difference;
  difference.mIsFullListing = aReply.whole();
  difference.mItems.mRevision = aReply.complete();
  for (const wire::Item& item : aReply.items()) {
    difference.mItems.mItems.push_back(FromWire(item));
  }
  Instant asOf = aRequestedAt - std::chrono::milliseconds(aReply.age_ms());
  std::vector<store::Item> changes = mCore.ReplicaOf(aPart).ApplyDelta(difference, asOf);
  base::Log(spdlog::level::info,
            base::Event::FeedRelayed,
            "part={} peer={} items={} news={} whole={} revision={} age_ms={}",
            static_cast<unsigned>(aPart),
            aAddress,
            aReply.items_size(),
            changes.size(),
            aReply.whole(),
            aReply.complete(),
            aReply.age_ms());
  mCore.mOnItemsChanged(changes);
}

Awaitable<void> Replication::FetchItemsFrom(std::string aAddress,
                                            store::StoreSection aPart)
{
  store::Replica& replica = mCore.ReplicaOf(aPart);
  Lag& lag = mLags[static_cast<std::size_t>(aPart)];
  lag.mFetching = true;
  wire::ItemsRequest request;
  request.set_part(static_cast<std::uint32_t>(aPart));
  request.set_complete(replica.Position().mCompleteRevision);
  Instant requestedAt = mCore.Now();
  try {
    wire::ItemsReply reply =
      co_await mCore.mPeers.FetchItems(aAddress, std::move(request), kItemsFetchTimeout);
    ApplyItemsReply(aPart, aAddress, reply, requestedAt);
  } catch (const std::exception& error) {
    // The next heartbeat of a peer that has more changes retries.
    spdlog::debug("items not fetched from {}: {}", aAddress, error.what());
  }
  lag.mFetching = false;
  lag.mSince = mCore.Now();
}

wire::ItemsReply Replication::BuildItemsReply(const wire::ItemsRequest& aRequest) const
{
  wire::ItemsReply reply;
  if (aRequest.part() >= store::kStoreSectionCount ||
      !mCore.mReplicas[aRequest.part()].HasListing()) {
    return reply;
  }
  const store::Replica& replica = mCore.mReplicas[aRequest.part()];
  store::ReplicaDelta difference = replica.DeltaSince(aRequest.complete());
  reply.set_listed(true);
  reply.set_whole(difference.mIsFullListing);
  reply.set_complete(difference.mItems.mRevision);
  reply.set_age_ms(AgeInMs(replica));
  for (store::Item& item : difference.mItems.mItems) {
    wire::Item* sent = reply.add_items();
    sent->set_key(std::move(item.mKey));
    sent->set_value(std::move(item.mValue));
    sent->set_revision(item.mRevision);
    sent->set_deleted(item.mDeleted);
  }
  return reply;
}

} // namespace vanillaloft::entry
