#include "entry/replication.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace vanillaloft::entry {

namespace wire = peer::wire;

namespace {

constexpr std::chrono::milliseconds kFetchTimeout{ 2000 };
// Changes come from the store within this time as a rule; after it a peer that knows more
// is asked. One of another data centre is asked later, since bytes between them are dear.
constexpr Duration kUsualLag = std::chrono::milliseconds(700);
constexpr Duration kUsualLagElsewhere = 3 * kUsualLag;

store::Item FromWire(const wire::Item& aItem)
{
  return { aItem.key(), aItem.value(), aItem.revision(), aItem.deleted() };
}

} // namespace

void Replication::Fill(wire::Status& aStatus) const
{
  for (std::size_t part = 0; part < store::kStoreSectionCount; ++part) {
    const store::Replica& replica = mCore.mReplicas[part];
    if (replica.HasListing()) {
      wire::Reach* reach = aStatus.add_reaches();
      reach->set_part(static_cast<std::uint32_t>(part));
      reach->set_complete(replica.Position().mCompleteRevision);
      reach->set_changed(replica.Position().mLastChangeRevision);
      reach->set_age_ms(AgeOf(replica));
    }
  }
}

std::uint64_t Replication::AgeOf(const store::Replica& aReplica) const
{
  auto age = std::chrono::ceil<std::chrono::milliseconds>(mCore.Now() - *aReplica.AsOf());
  return static_cast<std::uint64_t>(age.count());
}

// What a peer knows counts as that old when the peer was asked: how long its message was
// under way is not known.
void Replication::Take(const wire::Status& aStatus, std::optional<Instant> aAsked)
{
  for (const wire::Reach& wire : aStatus.reaches()) {
    if (!mCore.mOnItemsChanged || wire.part() >= store::kStoreSectionCount) {
      continue;
    }
    store::Replica& replica = mCore.mReplicas[wire.part()];
    Lag& lag = mLags[wire.part()];
    store::ReplicaPosition reach{ wire.complete(), wire.changed() };
    if (aAsked) {
      Instant asOf = *aAsked - std::chrono::milliseconds(wire.age_ms());
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
    bool here = aStatus.data_centre() == mCore.mSettings.mDataCentre;
    Duration usual = here ? kUsualLag : kUsualLagElsewhere;
    if (mCore.Now() - lag.mSince >= usual && !lag.mFetching) {
      boost::asio::co_spawn(
        mCore.mContext,
        FetchItemsFrom(aStatus.address(), static_cast<store::StoreSection>(wire.part())),
        boost::asio::detached);
    }
  }
}

void Replication::TakeReply(store::StoreSection aPart,
                            const std::string& aAddress,
                            const wire::ItemsReply& aReply,
                            Instant aAsked)
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
  Instant asOf = aAsked - std::chrono::milliseconds(aReply.age_ms());
  std::vector<store::Item> news = mCore.ReplicaOf(aPart).ApplyDelta(difference, asOf);
  base::Log(spdlog::level::info,
            base::Event::FeedRelayed,
            "part={} peer={} items={} news={} whole={} revision={} age_ms={}",
            static_cast<unsigned>(aPart),
            aAddress,
            aReply.items_size(),
            news.size(),
            aReply.whole(),
            aReply.complete(),
            aReply.age_ms());
  mCore.mOnItemsChanged(news);
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
  Instant asked = mCore.Now();
  try {
    wire::ItemsReply reply =
      co_await mCore.mPeers.FetchItems(aAddress, std::move(request), kFetchTimeout);
    TakeReply(aPart, aAddress, reply, asked);
  } catch (const std::exception& error) {
    // The next heartbeat of a peer that knows more tries again.
    spdlog::debug("items not fetched from {}: {}", aAddress, error.what());
  }
  lag.mFetching = false;
  lag.mSince = mCore.Now();
}

wire::ItemsReply Replication::Answer(const wire::ItemsRequest& aRequest) const
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
  reply.set_age_ms(AgeOf(replica));
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
