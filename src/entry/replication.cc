#include "entry/replication.h"

#include <algorithm>

#include "entry/background.h"

namespace vanillaloft::entry {

namespace wire = peer::wire;

namespace {

constexpr std::chrono::milliseconds kItemsFetchTimeout{ 2000 };
// Changes normally arrive from the store within this time. After it, they are fetched
// from a peer that has them. A peer in another data centre is used later, since traffic
// between data centres is expensive.
constexpr Duration kPeerFetchDelay = std::chrono::milliseconds(700);
constexpr Duration kRemotePeerFetchDelay = 3 * kPeerFetchDelay;
// A replica that may lack deletions is normally confirmed by its own watch, which ends
// sooner than this, or by a peer that has their tombstones. After it, all items are
// fetched.
constexpr Duration kUnconfirmedFetchDelay = std::chrono::seconds(6);
// Longest time for which a request for items may wait here.
constexpr std::chrono::milliseconds kMaxItemsWait{ 5000 };

store::Item FromWire(const wire::Item& aItem)
{
  return { aItem.key(), aItem.value(), aItem.revision(), aItem.deleted() };
}

// An instance of an earlier build does not tell from where it has tombstones.
store::ReplicaPosition FromWire(const wire::Reach& aReach)
{
  std::uint64_t tombstonesFrom =
    aReach.has_tombstones_from() ? aReach.tombstones_from() : aReach.complete();
  return { aReach.complete(), aReach.changed(), tombstonesFrom };
}

// The age that the peer gives is that at its reply, whose time is not known, but it is
// not before the request and the time that the peer waited.
void ApplyItemsReply(Core& aCore,
                     store::StoreSection aSection,
                     const std::string& aAddress,
                     const wire::ItemsReply& aReply,
                     Instant aRequestedAt)
{
  store::ReplicaDelta delta;
  delta.mIsFullListing = aReply.whole();
  delta.mBatch.mRevision = aReply.complete();
  for (const wire::Item& item : aReply.items()) {
    delta.mBatch.mItems.push_back(FromWire(item));
  }
  Instant asOf = aRequestedAt + peer::TimeFromWire(aReply.waited_ms()) -
                 peer::TimeFromWire(aReply.age_ms());
  asOf = std::min(asOf, aCore.Now());
  aCore.RecordStoreAnswer(asOf);
  std::vector<store::Item> changes = aCore.ReplicaOf(aSection).ApplyDelta(delta, asOf);
  if (aReply.items_size() > 0) {
    base::Log(spdlog::level::info,
              base::Event::FeedRelayed,
              "part={} peer={} items={} news={} whole={} revision={} age_ms={}",
              static_cast<unsigned>(aSection),
              aAddress,
              aReply.items_size(),
              changes.size(),
              aReply.whole(),
              aReply.complete(),
              aReply.age_ms());
  }
  aCore.mOnItemsChanged(changes);
  aCore.NotifyReplicaNews(aSection);
}

} // namespace

Awaitable<bool> FetchItems(Core& aCore,
                           std::string aAddress,
                           store::StoreSection aSection,
                           std::chrono::milliseconds aWait,
                           std::chrono::milliseconds aTimeout)
{
  wire::ItemsRequest request;
  request.set_part(static_cast<std::uint32_t>(aSection));
  request.set_complete(aCore.ReplicaOf(aSection).Position().mCompleteRevision);
  request.set_wait_ms(static_cast<std::uint64_t>(aWait.count()));
  Instant requestedAt = aCore.Now();
  wire::ItemsReply reply =
    co_await aCore.mPeers.FetchItems(aAddress, std::move(request), aTimeout);
  if (!reply.listed()) {
    co_return false;
  }
  ApplyItemsReply(aCore, aSection, aAddress, reply, requestedAt);
  co_return true;
}

void Replication::ReportReplicas(wire::Status& aStatus) const
{
  for (std::size_t section = 0; section < store::kStoreSectionCount; ++section) {
    const store::Replica& replica = mCore.mReplicas[section];
    if (replica.HasListing()) {
      wire::Reach* position = aStatus.add_reaches();
      position->set_part(static_cast<std::uint32_t>(section));
      position->set_complete(replica.Position().mCompleteRevision);
      position->set_changed(replica.Position().mLastChangeRevision);
      position->set_age_ms(AgeInMs(replica));
      position->set_tombstones_from(replica.Position().mTombstonesFrom);
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
  for (const wire::Reach& reported : aStatus.reaches()) {
    if (!mCore.mOnItemsChanged || reported.part() >= store::kStoreSectionCount) {
      continue;
    }
    store::Replica& replica = mCore.mReplicas[reported.part()];
    Lag& lag = mLags[reported.part()];
    store::ReplicaPosition position = FromWire(reported);
    if (aRequestedAt) {
      Instant asOf = *aRequestedAt - peer::TimeFromWire(reported.age_ms());
      mCore.RecordStoreAnswer(asOf);
      replica.ConfirmCurrent(position, asOf);
    }
    bool behind = !replica.HasListing() || replica.IsBehind(position);
    if (!behind && !replica.MayLackDeletions(position)) {
      continue;
    }
    if (lag.mSince == Instant() ||
        replica.Position().mCompleteRevision >= lag.mRevision) {
      lag.mRevision = std::max(position.mLastChangeRevision, position.mTombstonesFrom);
      lag.mSince = mCore.Now();
    }
    if (behind && mCore.mOnPeerAhead) {
      mCore.mOnPeerAhead(static_cast<store::StoreSection>(reported.part()), lag.mSince);
    }
    bool sameDataCentre = aStatus.data_centre() == mCore.mSettings.mDataCentre;
    Duration delay = sameDataCentre ? kPeerFetchDelay : kRemotePeerFetchDelay;
    delay = behind ? delay : kUnconfirmedFetchDelay;
    if (mCore.Now() - lag.mSince >= delay && !lag.mFetching) {
      auto section = static_cast<store::StoreSection>(reported.part());
      Spawn(mCore.mContext, "fetch-items", FetchItemsFrom(aStatus.address(), section));
    }
  }
}

Awaitable<void> Replication::FetchItemsFrom(std::string aAddress,
                                            store::StoreSection aSection)
{
  Lag& lag = mLags[static_cast<std::size_t>(aSection)];
  lag.mFetching = true;
  try {
    co_await FetchItems(
      mCore, aAddress, aSection, std::chrono::milliseconds(0), kItemsFetchTimeout);
  } catch (const std::exception& error) {
    // The next heartbeat of a peer that has more changes retries.
    spdlog::debug("items not fetched from {}: {}", aAddress, error.what());
  }
  lag.mFetching = false;
  lag.mSince = mCore.Now();
}

Awaitable<wire::ItemsReply> Replication::AnswerItemsRequest(
  wire::ItemsRequest aRequest) const
{
  Instant arrivedAt = mCore.Now();
  wire::ItemsReply reply = BuildItemsReply(aRequest);
  if (aRequest.wait_ms() == 0 || !reply.listed() || reply.items_size() > 0) {
    co_return reply;
  }
  auto wait = std::min(peer::TimeFromWire(aRequest.wait_ms()), kMaxItemsWait);
  Instant until = mCore.mStop.Limit(decide::StopWait::Handler, mCore.Now() + wait);
  co_await mCore.mReplicaNews[aRequest.part()].Wait(mCore.mContext, until - mCore.Now());
  reply = BuildItemsReply(aRequest);
  auto waited = std::chrono::floor<std::chrono::milliseconds>(mCore.Now() - arrivedAt);
  reply.set_waited_ms(static_cast<std::uint64_t>(waited.count()));
  co_return reply;
}

wire::ItemsReply Replication::BuildItemsReply(const wire::ItemsRequest& aRequest) const
{
  wire::ItemsReply reply;
  if (aRequest.part() >= store::kStoreSectionCount ||
      !mCore.mReplicas[aRequest.part()].HasListing()) {
    return reply;
  }
  const store::Replica& replica = mCore.mReplicas[aRequest.part()];
  store::ReplicaDelta delta = replica.DeltaSince(aRequest.complete());
  reply.set_listed(true);
  reply.set_whole(delta.mIsFullListing);
  reply.set_complete(delta.mBatch.mRevision);
  reply.set_age_ms(AgeInMs(replica));
  for (store::Item& item : delta.mBatch.mItems) {
    wire::Item* sent = reply.add_items();
    sent->set_key(std::move(item.mKey));
    sent->set_value(std::move(item.mValue));
    sent->set_revision(item.mRevision);
    sent->set_deleted(item.mDeleted);
  }
  return reply;
}

} // namespace vanillaloft::entry
