// Keeps an instance's configuration, evacuations and backend server registrations in step
// with what operators and backend servers write to the platform's store. In a data centre
// with several instances one watches the store and the others watch that one.
#pragma once

#include <array>
#include <optional>
#include <random>
#include <string>
#include <variant>

#include "entry/core.h"
#include "store/feed.h"

namespace vanillaloft::daemon {

using base::Duration;
using base::Instant;
template<typename T>
using Awaitable = boost::asio::awaitable<T>;

// The registration of a backend server was deleted or has expired.
struct ServerDeregistered
{
  std::string mId;
};
// Operators started or ended the evacuation of a data centre.
struct Evacuation
{
  std::string mDataCentre;
  bool mActive = false;
};
// An item that cannot be decoded or was written by another program. It is logged, and it
// names no server to use.
struct UnreadableItem
{
  std::string mCause;
  std::optional<std::string> mServerId; // if the item should be a registration
};
// The meaning of an item of the store.
using DecodedItem = std::variant<decide::ConfigPtr,
                                 decide::Registration,
                                 ServerDeregistered,
                                 Evacuation,
                                 UnreadableItem>;

// Decodes the items of a platform's store and names the keys under which they are stored.
class ItemDecoder
{
public:
  virtual ~ItemDecoder() = default;
  virtual DecodedItem Decode(const store::Item& aItem) const = 0;
  virtual std::string OperatorPrefix() const = 0;
  virtual std::string ServerPrefix() const = 0;
  virtual std::string ConfigKey() const = 0;
};

// Lists and watches the store's items and applies them to the core of the instance.
// Items that peers relay are applied in the same way.
class Follower
{
public:
  Follower(entry::Core& aCore,
           store::Store& aStore,
           store::ChangeFeed& aFeed,
           const ItemDecoder& aDecoder)
    : mCore(aCore)
    , mStore(aStore)
    , mFeed(aFeed)
    , mDecoder(aDecoder)
    , mWatcher(aCore.Self().mAddress)
  {
  }

  // Starts following on the core's io_context.
  void Start();

private:
  // A call to the change feed.
  struct FeedCall
  {
    bool mIsListing; // false: a watch for changes
    store::WatchTime mTime;
    Instant mRequestedAt;
    std::optional<Instant> mReplicaAsOf; // AsOf() of the replica at mRequestedAt
  };
  // State of following one key prefix.
  struct PrefixState
  {
    store::StoreSection mSection;
    store::Replica& mReplica;
    std::string mPrefix;
    decide::FollowPlan mPlan;
    std::optional<FeedCall> mWatch = {};     // in flight
    const char* mAbandonedBecause = nullptr; // set if the watch was given up
    bool mHistoryCompacted = false;          // a new listing is required
    unsigned mFailures = 0;                  // consecutive failed calls
    Instant mFailureLoggedAt{};              // time of the last failure line in the log
  };

  Awaitable<void> FollowPrefix(store::StoreSection aSection, std::string aPrefix);
  // Chooses the next step for a prefix and the watcher of the data centre.
  decide::FollowStep NextStep(PrefixState& aState);
  // Time of a watch at the store.
  store::WatchTime TimeOf(decide::FollowStep aStep, const PrefixState& aState) const;
  // Gives up the watches that were in flight when the store may have lost calls.
  void AbandonLostWatches();
  // Gives up the watch of a section that a peer has had newer changes of since aSince.
  void AbandonLateWatch(store::StoreSection aSection, Instant aSince);
  void AbandonWatch(PrefixState& aState, const char* aCause);
  // Each makes one call, logs its result and returns the time until the next step.
  Awaitable<Duration> CallStore(PrefixState& aState, store::WatchTime aTime);
  Awaitable<Duration> CallWatcher(PrefixState& aState, std::string aWatcher);
  void RejectWatcher(const std::string& aWatcher, const char* aCause);
  // True if one instance of the data centre watches for all.
  bool IsShared() const;
  // Makes the call and applies its result. Returns the number of items received. Throws
  // StoreError.
  Awaitable<std::size_t> CallFeed(PrefixState& aState, FeedCall aCall);
  // Makes a watch, which can be given up meanwhile. Throws StoreError.
  Awaitable<store::ItemBatch> Watch(PrefixState& aState, FeedCall aCall);
  std::string Describe(const PrefixState& aState, const FeedCall& aCall) const;
  void RecordSuccess(PrefixState& aState, const FeedCall& aCall, std::size_t aItems);
  void RecordFailure(PrefixState& aState, const FeedCall& aCall, const char* aCause);
  Awaitable<void> ConfirmConfigLoop();
  Awaitable<void> ConfirmConfigOnce();
  Awaitable<void> DeregisterAfterGrace(std::string aId, Duration aGrace);
  void ApplyItems(const std::vector<store::Item>& aItems);
  void ApplyItem(const store::Item& aItem);
  void ConfirmConfigFromReplica();
  bool IsInForce(const decide::Config& aConfig) const;
  bool ApplyConfig(const store::Item& aItem);
  void ApplyDecoded(const decide::ConfigPtr& aConfig);
  void ApplyDecoded(const decide::Registration& aRegistration);
  void ApplyDecoded(const ServerDeregistered& aServer);
  void ApplyDecoded(const Evacuation& aEvacuation);
  void ApplyDecoded(const UnreadableItem& aItem);

  entry::Core& mCore;
  store::Store& mStore;
  store::ChangeFeed& mFeed;
  const ItemDecoder& mDecoder;
  std::array<std::optional<PrefixState>, store::kStoreSectionCount> mStates;
  decide::WatcherChoice mWatcher;
  std::string mWatcherAddress;      // last choice
  decide::ConfigPtr mReplicaConfig; // in the replica; null if it cannot be decoded
  std::minstd_rand mRandom{ std::random_device{}() };
};

} // namespace vanillaloft::daemon
