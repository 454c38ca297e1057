#include "world.h"

#include <algorithm>
#include <stdexcept>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace vanillaloft::world {

using base::Result;

namespace {

// Network delays, one way.
constexpr Duration kSameDataCentreDelay = std::chrono::microseconds(100);
constexpr Duration kSameRegionDelay = std::chrono::microseconds(500);
constexpr Duration kOtherRegionDelay = std::chrono::milliseconds(12);
// The store: one way of a call, the effect of a slow write, and the caller's timeout.
constexpr Duration kStoreDelay = std::chrono::milliseconds(2);
constexpr Duration kSlowStoreDelay = std::chrono::milliseconds(2500);
constexpr Duration kStoreTimeout = std::chrono::milliseconds(1000);
// Intervals of the instances' periodic work.
constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
constexpr Duration kPollInterval = std::chrono::milliseconds(500);
constexpr Duration kClaimCheckInterval = std::chrono::milliseconds(300);
constexpr Duration kClaimRetryInterval = std::chrono::seconds(1);
// Token requests to other instances, and the wait for own tokens.
constexpr Duration kTokenRequestPause = std::chrono::milliseconds(20);
constexpr Duration kTokenRequestTimeout = std::chrono::milliseconds(60);
constexpr Duration kMinTokenWait = std::chrono::milliseconds(2);
constexpr Duration kMaxTokenWait = std::chrono::milliseconds(20);
constexpr Duration kForwardTimeout = std::chrono::milliseconds(1000);
constexpr Duration kTicketLifetime = std::chrono::seconds(30);
// Callers may use an address from an earlier lookup for this long.
constexpr Duration kLookupLifetime = std::chrono::seconds(5);
constexpr Duration kLateServiceTime = std::chrono::seconds(3);
constexpr std::size_t kMaxTokenRequests = 4;
constexpr std::size_t kMaxForwards = 3;
constexpr int kColdSlowdown = 5; // factor on the service time of a cold server
constexpr const char* kConfigKey = "vanillaloft/config";

std::pair<std::string, std::string> OrderedPair(const std::string& aLeft,
                                                const std::string& aRight)
{
  return aLeft < aRight ? std::pair(aLeft, aRight) : std::pair(aRight, aLeft);
}

} // namespace

// The platform's versioned key-value store.
struct World::FakeStore
{
  struct Entry
  {
    std::uint64_t mVersion = 0;
    std::string mText;
  };
  std::map<std::string, Entry> mEntries;
  std::map<std::string, Entry> mSavedEntries;
  std::uint64_t mVersion = 0;
  std::string mMode = "up";
};

// The arrivals of one organisation's requests for one service.
struct World::Demand
{
  OrganisationId mOrganisation;
  ServiceId mService;
  double mPerSecond = 0;
  std::vector<std::pair<std::string, double>> mWeights;
  unsigned mBurst = 1;
  std::uint64_t mGeneration = 0;
};

// One instance; mGeneration tells its successive processes apart.
struct World::Node
{
  struct Waiter
  {
    RequestPtr mRequest;
  };

  std::string mName;
  std::string mDataCentre;
  std::string mAddress;
  std::uint64_t mGeneration = 0;
  bool mAlive = false;
  bool mFrozen = false;
  bool mLeaving = false;
  Instant mLeavingSince{};
  int mClockDriftPerMille = 0;   // positive: fast
  Instant mClockAtDriftChange{}; // the node's clock when its rate last changed
  Instant mDriftChangedAt{};     // simulated time of that change
  std::vector<Action> mBacklog;
  std::optional<ShareHolder> mShares;
  ShareClaim mClaim;
  std::optional<Members> mMembers;
  std::optional<Steering> mSteer;
  std::optional<TicketLedger> mLedger;
  std::optional<Acceptor> mAcceptor;
  Revision mHighestRevision = 0;
  std::map<std::size_t, Instant> mNoTokenRequestUntil;
  std::map<std::size_t, FairQueue> mQueues; // by service
  std::map<WaiterId, Waiter> mWaiters;
  WaiterId mNextWaiterId = 1;
  std::vector<Bucket> mStaticBuckets; // for LimitPolicy::StaticSplit, by budget
  std::map<std::size_t, std::size_t> mNextServer;
};

World::World(ConfigPtr aConfig, Options aOptions)
  : mInitialConfig(std::move(aConfig))
  , mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mStore(std::make_unique<FakeStore>())
  , mTallies(mInitialConfig->mOrganisations.size())
{
  for (const Organisation& organisation : mInitialConfig->mOrganisations) {
    Rate total = mInitialConfig->mBudgets[organisation.mBudget.Value()].mTotal;
    for (auto* buckets : { &mOvershootBuckets, &mIdealBuckets }) {
      Bucket& bucket = buckets->emplace_back();
      bucket.SetRate(total, mNow - std::chrono::hours(1));
    }
  }
  for (const BackendServer& server : mInitialConfig->mBackendServers) {
    mServers[server.mName].mServiceTime = std::chrono::milliseconds(10);
  }
  mStore->mEntries[kConfigKey] = { ++mStore->mVersion, mInitialConfig->mText };
}

World::~World() = default;

void World::RecordDecision(std::uint64_t aValue)
{
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  mSignature = (mSignature ^ aValue) * kPrime;
  ++mDecisions;
}

void World::Schedule(Instant aTime, Action aAction)
{
  mEvents.push({ std::max(aTime, mNow), mNextEventOrder++, std::move(aAction) });
}

void World::RunOnNode(std::size_t aNode, std::uint64_t aGeneration, Action aAction)
{
  Node& node = *mNodes[aNode];
  if (!node.mAlive || node.mGeneration != aGeneration) {
    return;
  }
  if (node.mFrozen) {
    node.mBacklog.push_back(std::move(aAction));
    return;
  }
  aAction();
}

void World::ScheduleOnNode(std::size_t aNode,
                           std::uint64_t aGeneration,
                           Duration aDelay,
                           Action aAction)
{
  Schedule(mNow + aDelay, [this, aNode, aGeneration, action = std::move(aAction)] {
    RunOnNode(aNode, aGeneration, action);
  });
}

void World::RunFor(Duration aTime)
{
  Instant end = mNow + aTime;
  while (!mEvents.empty() && mEvents.top().mAt <= end) {
    Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    event.mAction();
  }
  mNow = end;
}

// Besides the name of an instance, "a1/holder" stands for the instance that holds the
// shares of a1, and "a1/dead" for the first dead instance of a1, in the order in which
// instances were added.
std::size_t World::NodeOf(const std::string& aName) const
{
  std::string dataCentre = aName.substr(0, aName.find('/'));
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    const Node& node = *mNodes[i];
    bool holder = aName.ends_with("/holder") && node.mAlive && node.mShares->IsHolder();
    bool dead = aName.ends_with("/dead") && !node.mAlive;
    if (node.mDataCentre == dataCentre && (holder || dead)) {
      return i;
    }
  }
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    if (mNodes[i]->mName == aName) {
      return i;
    }
  }
  throw std::invalid_argument("no such instance: " + aName);
}

std::optional<std::size_t> World::NodeAt(const std::string& aAddress) const
{
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    if (mNodes[i]->mAddress == aAddress) {
      return i;
    }
  }
  return std::nullopt;
}

Instant World::NodeNow(std::size_t aNode) const
{
  const Node& node = *mNodes[aNode];
  Duration passed = mNow - node.mDriftChangedAt;
  return node.mClockAtDriftChange + passed + passed * node.mClockDriftPerMille / 1000;
}

bool World::Connected(const std::string& aLeft, const std::string& aRight) const
{
  return aLeft == aRight || !mCuts.contains(OrderedPair(aLeft, aRight));
}

Duration World::Delay(const std::string& aLeft, const std::string& aRight) const
{
  if (aLeft == aRight) {
    return kSameDataCentreDelay;
  }
  DataCentreId left = mInitialConfig->FindDataCentre(aLeft);
  DataCentreId right = mInitialConfig->FindDataCentre(aRight);
  bool same = mInitialConfig->mDataCentres[left.Value()].mRegion ==
              mInitialConfig->mDataCentres[right.Value()].mRegion;
  return same ? kSameRegionDelay : kOtherRegionDelay;
}

void World::AddInstance(const std::string& aName)
{
  auto node = std::make_unique<Node>();
  node->mName = aName;
  node->mDataCentre = aName.substr(0, aName.find('/'));
  node->mAddress = aName;
  mNodes.push_back(std::move(node));
  StartNode(mNodes.size() - 1);
}

void World::StartNode(std::size_t aNode)
{
  Node& node = *mNodes[aNode];
  std::uint64_t generation = ++node.mGeneration;
  node.mAlive = true;
  node.mFrozen = false;
  node.mLeaving = false;
  node.mBacklog.clear();
  node.mQueues.clear();
  node.mWaiters.clear();
  Incarnation self{ node.mAddress, ++mLastIncarnation };
  node.mShares.emplace(self, node.mDataCentre);
  node.mClaim = {};
  node.mMembers.emplace(node.mAddress, node.mDataCentre);
  node.mSteer.emplace(node.mDataCentre);
  node.mLedger.emplace(
    self, "secret" + std::to_string(mLastIncarnation), kTicketLifetime);
  node.mAcceptor.emplace();
  node.mHighestRevision = 0;
  node.mStaticBuckets.clear();
  for (const auto& other : mNodes) {
    node.mMembers->AddAddress(other->mAddress, other->mDataCentre);
    other->mMembers->AddAddress(node.mAddress, node.mDataCentre);
  }
  Duration jitter(std::int64_t(mRandom() % 50'000));
  for (auto loop : { &World::SendHeartbeats,
                     &World::UpdateOwnership,
                     &World::ProbeServers,
                     &World::PollConfig,
                     &World::RenewShares }) {
    ScheduleOnNode(
      aNode, generation, jitter, [this, aNode, loop] { (this->*loop)(aNode); });
  }
}

void World::Kill(const std::string& aInstance)
{
  Node& node = *mNodes[NodeOf(aInstance)];
  node.mAlive = false;
  ++node.mGeneration;
}

void World::Replace(const std::string& aInstance, bool aNewAddress)
{
  std::size_t index = NodeOf(aInstance);
  if (mNodes[index]->mAlive) {
    Kill(aInstance);
  }
  if (aNewAddress) {
    mNodes[index]->mAddress += "'";
  }
  StartNode(index);
}

void World::Freeze(const std::string& aInstance)
{
  mNodes[NodeOf(aInstance)]->mFrozen = true;
}

void World::Thaw(const std::string& aInstance)
{
  std::size_t index = NodeOf(aInstance);
  Node& node = *mNodes[index];
  node.mFrozen = false;
  std::vector<Action> backlog = std::move(node.mBacklog);
  node.mBacklog.clear();
  for (Action& action : backlog) {
    RunOnNode(index, node.mGeneration, std::move(action));
  }
}

void World::Cut(const std::string& aLeft, const std::string& aRight)
{
  std::vector<std::string> places{ "store" };
  for (const DataCentre& dataCentre : mInitialConfig->mDataCentres) {
    places.push_back(dataCentre.mName);
  }
  for (const std::string& place : places) {
    if (place != aLeft && (aRight == "all" || place == aRight)) {
      mCuts.insert(OrderedPair(aLeft, place));
    }
  }
}

void World::RemoveCuts()
{
  mCuts.clear();
}

void World::SetStore(const std::string& aMode)
{
  if (aMode == "mark") {
    mStore->mSavedEntries = mStore->mEntries;
  } else if (aMode == "older") {
    mStore->mEntries = mStore->mSavedEntries;
  } else {
    mStore->mMode = aMode;
  }
}

void World::SetClockRate(const std::string& aInstance, int aPerMille)
{
  std::size_t index = NodeOf(aInstance);
  Node& node = *mNodes[index];
  node.mClockAtDriftChange = NodeNow(index);
  node.mDriftChangedAt = mNow;
  node.mClockDriftPerMille = aPerMille;
}

FakeBackendServer& World::Server(const std::string& aName)
{
  auto found = mServers.find(aName);
  if (found == mServers.end()) {
    throw std::invalid_argument("no such backend server: " + aName);
  }
  return found->second;
}

// A store call ends in a timeout if the store is unreachable or sends no reply.
void World::StoreRead(std::size_t aNode,
                      const std::string& aKey,
                      std::function<void(bool, std::uint64_t, std::string)> aDone)
{
  Node& node = *mNodes[aNode];
  std::uint64_t generation = node.mGeneration;
  std::string dataCentre = node.mDataCentre;
  ++mStoreCalls;
  bool ok =
    Connected(dataCentre, "store") && mStore->mMode != "down" && mStore->mMode != "slow";
  if (!ok) {
    ScheduleOnNode(aNode, generation, kStoreTimeout, [aDone] { aDone(false, 0, ""); });
    return;
  }
  Schedule(mNow + kStoreDelay, [this, aNode, generation, aKey, aDone] {
    FakeStore::Entry entry = mStore->mEntries[aKey];
    ScheduleOnNode(aNode, generation, kStoreDelay, [aDone, entry] {
      aDone(true, entry.mVersion, entry.mText);
    });
  });
}

void World::StoreSwap(std::size_t aNode,
                      const std::string& aKey,
                      std::uint64_t aVersion,
                      std::string aText,
                      std::function<void(std::optional<bool>)> aDone)
{
  Node& node = *mNodes[aNode];
  std::uint64_t generation = node.mGeneration;
  ++mStoreCalls;
  bool reachable = Connected(node.mDataCentre, "store") && mStore->mMode != "down";
  if (!reachable) {
    ScheduleOnNode(aNode, generation, kStoreTimeout, [aDone] { aDone(std::nullopt); });
    return;
  }
  // With a slow store, a write takes effect after its caller has timed out.
  bool replies = mStore->mMode == "up";
  Duration effect = mStore->mMode == "slow" ? kSlowStoreDelay : kStoreDelay;
  Schedule(mNow + effect,
           [this, aNode, generation, aKey, aVersion, aText, aDone, replies] {
             FakeStore::Entry& entry = mStore->mEntries[aKey];
             bool swapped = entry.mVersion == aVersion;
             if (swapped) {
               entry = { ++mStore->mVersion, aText };
             }
             if (replies) {
               ScheduleOnNode(
                 aNode, generation, kStoreDelay, [aDone, swapped] { aDone(swapped); });
             }
           });
  if (!replies) {
    ScheduleOnNode(aNode, generation, kStoreTimeout, [aDone] { aDone(std::nullopt); });
  }
}

MemberStatus World::StatusOf(std::size_t aNode) const
{
  const Node& node = *mNodes[aNode];
  MemberStatus status;
  status.mSelf = { node.mAddress, node.mGeneration };
  status.mDataCentre = node.mDataCentre;
  status.mEntryAddress = node.mAddress;
  status.mReady = node.mAcceptor->Current() != nullptr;
  status.mLeaving = node.mLeaving;
  status.mHoldsShares = node.mShares->IsHolder();
  status.mHasStorePath = Connected(node.mDataCentre, "store") && mStore->mMode != "down";
  status.mRevision = status.mReady ? node.mAcceptor->Current()->mRevision : 0;
  status.mFreeSlots = node.mSteer->FreeSlotsByService(Origin::Local, NodeNow(aNode));
  status.mRemoteSlots = node.mSteer->FreeSlotsByService(Origin::Remote, NodeNow(aNode));
  return status;
}

void World::ReceiveHeartbeat(std::size_t aNode,
                             std::size_t aFrom,
                             const MemberStatus& aStatus)
{
  Node& node = *mNodes[aNode];
  node.mMembers->RecordStatus(aStatus, NodeNow(aNode));
  Revision own = node.mAcceptor->Current() ? node.mAcceptor->Current()->mRevision : 0;
  const ConfigPtr& peerConfig = mNodes[aFrom]->mAcceptor->Current();
  if (aStatus.mRevision > own && peerConfig) {
    std::string text = peerConfig->mText;
    Duration roundTrip = 2 * Delay(node.mDataCentre, mNodes[aFrom]->mDataCentre);
    ScheduleOnNode(aNode, node.mGeneration, roundTrip, [this, aNode, text] {
      ApplyConfig(aNode, text);
    });
  }
}

// Runs an action on another instance after the network delay, if it is reachable.
void World::SendToPeer(std::size_t aFrom, std::size_t aTo, Action aAtReceiver)
{
  SendReply(aFrom, aTo, mNodes[aTo]->mGeneration, std::move(aAtReceiver));
}

// Like SendToPeer, but delivers only to the process that sent the request, which
// aToGeneration identifies.
void World::SendReply(std::size_t aFrom,
                      std::size_t aTo,
                      std::uint64_t aToGeneration,
                      Action aAtReceiver)
{
  const std::string& from = mNodes[aFrom]->mDataCentre;
  const std::string& to = mNodes[aTo]->mDataCentre;
  if (Connected(from, to)) {
    ScheduleOnNode(aTo, aToGeneration, Delay(from, to), std::move(aAtReceiver));
  }
}

void World::SendHeartbeats(std::size_t aNode)
{
  Node& node = *mNodes[aNode];
  for (const std::string& address : node.mMembers->HeartbeatTargets()) {
    auto to = NodeAt(address);
    if (!to || !mNodes[*to]->mAlive) {
      continue;
    }
    MemberStatus status = StatusOf(aNode);
    std::size_t peer = *to;
    std::uint64_t generation = node.mGeneration;
    SendToPeer(aNode, peer, [this, aNode, generation, peer, status] {
      ReceiveHeartbeat(peer, aNode, status);
      MemberStatus reply = StatusOf(peer);
      SendReply(peer, aNode, generation, [this, aNode, peer, reply] {
        ReceiveHeartbeat(aNode, peer, reply);
      });
    });
  }
  ScheduleOnNode(aNode, node.mGeneration, kHeartbeatInterval, [this, aNode] {
    SendHeartbeats(aNode);
  });
}

void World::UpdateOwnership(std::size_t aNode)
{
  Node& node = *mNodes[aNode];
  if (node.mAcceptor->Current()) {
    node.mSteer->UpdateOwnership(*node.mMembers, node.mLeaving, NodeNow(aNode));
    ServeWaiters(aNode);
  }
  ScheduleOnNode(
    aNode, node.mGeneration, kTickInterval, [this, aNode] { UpdateOwnership(aNode); });
}

void World::ProbeServers(std::size_t aNode)
{
  Node& node = *mNodes[aNode];
  const ConfigPtr& config = node.mAcceptor->Current();
  for (std::size_t i = 0; config && i < config->mBackendServers.size(); ++i) {
    FakeBackendServer& server = mServers[config->mBackendServers[i].mName];
    bool owned =
      node.mSteer->Views()[i]->mOwned || mOptions.mSteering != SteerPolicy::Owned;
    if (!owned || server.mReportsFrozen) {
      continue;
    }
    server.mReported = server.mInFlight;
    ServerState state = server.mDraining ? ServerState::Draining : ServerState::Serving;
    state = server.mDown ? ServerState::Down : state;
    node.mSteer->Report(BackendServerId(i), state, NodeNow(aNode));
  }
  ScheduleOnNode(
    aNode, node.mGeneration, kProbeInterval, [this, aNode] { ProbeServers(aNode); });
}

void World::ApplyConfig(std::size_t aNode, const std::string& aText)
{
  Node& node = *mNodes[aNode];
  ConfigPtr config = ParseConfig(aText);
  if (mOptions.mAcceptOlder && node.mAcceptor->Current() &&
      config->mDigest != node.mAcceptor->Current()->mDigest) {
    node.mAcceptor.emplace();
  }
  if (node.mAcceptor->Accept(config) != RevisionCheck::Accepted) {
    return;
  }
  mReversions += config->mRevision < node.mHighestRevision ? 1 : 0;
  node.mHighestRevision = std::max(node.mHighestRevision, config->mRevision);
  node.mSteer->SetConfig(config, NodeNow(aNode));
  node.mShares->SetConfig(config, NodeNow(aNode));
  if (node.mStaticBuckets.empty()) {
    auto count = static_cast<std::int64_t>(mNodes.size());
    for (const Budget& budget : config->mBudgets) {
      Rate part{ budget.mTotal.mPerSecond / count, budget.mTotal.mBurst / count };
      node.mStaticBuckets.emplace_back().SetRate(part, NodeNow(aNode));
    }
  }
}

// Reads the configuration from the store; one instance per data centre does so, and each
// that has none. If the store has an older revision, it gets the one in force.
void World::PollConfig(std::size_t aNode)
{
  Node& node = *mNodes[aNode];
  ScheduleOnNode(
    aNode, node.mGeneration, kPollInterval, [this, aNode] { PollConfig(aNode); });
  bool watches =
    !node.mAcceptor->Current() || node.mMembers->IsFirstInDataCentre(NodeNow(aNode));
  if (!watches) {
    return;
  }
  // The poll simulates a blocking watch, which Script::StoreRate counts at its own rate.
  --mStoreCalls;
  StoreRead(
    aNode,
    kConfigKey,
    [this, aNode](bool aOk, std::uint64_t aVersion, std::string aText) {
      if (!aOk || aVersion == 0) {
        return;
      }
      ApplyConfig(aNode, aText);
      const ConfigPtr& current = mNodes[aNode]->mAcceptor->Current();
      if (ParseConfig(aText)->mRevision < current->mRevision) {
        StoreSwap(
          aNode, kConfigKey, aVersion, current->mText, [](std::optional<bool>) {});
      }
    });
}

// Renews the instance's shares by a compare-and-swap of the share document in the store.
// One instance of each data centre does; the others read the document at their start.
void World::RenewShares(std::size_t aNode)
{
  Node& node = *mNodes[aNode];
  if (!node.mAcceptor->Current() || mOptions.mLimits != LimitPolicy::Shares) {
    ScheduleOnNode(
      aNode, node.mGeneration, kTickInterval, [this, aNode] { RenewShares(aNode); });
    return;
  }
  auto again = [this, aNode](Duration aDelay) {
    ScheduleOnNode(
      aNode, mNodes[aNode]->mGeneration, aDelay, [this, aNode] { RenewShares(aNode); });
  };
  if (!node.mClaim.IsDue(StatusOf(aNode), *node.mMembers, NodeNow(aNode))) {
    again(kClaimCheckInterval);
    return;
  }
  std::string key(ShareDocument::kKey);
  StoreRead(aNode, key, [=, this](bool aOk, std::uint64_t aVersion, std::string aText) {
    Node& self = *mNodes[aNode];
    if (!aOk) {
      again(kTickInterval * 5);
      return;
    }
    self.mShares->Observe(aVersion ? ShareDocument::Parse(aText) : ShareDocument(),
                          NodeNow(aNode));
    auto planned = self.mShares->PlanWrite(NodeNow(aNode));
    if (!planned) {
      self.mClaim.RecordRead(NodeNow(aNode));
      again(kClaimRetryInterval);
      return;
    }
    StoreSwap(
      aNode, key, aVersion, planned->Text(), [=, this](std::optional<bool> aSwapped) {
        ShareHolder& shares = *mNodes[aNode]->mShares;
        if (!aSwapped) {
          shares.WriteOutcomeUnknown();
          again(kTickInterval * 5);
        } else if (*aSwapped) {
          shares.WriteCommitted(NodeNow(aNode));
          mNodes[aNode]->mClaim.RecordRead(NodeNow(aNode));
          again(kRenewInterval);
        } else {
          shares.WriteConflicted();
          again(kTickInterval / 2);
        }
      });
  });
}

void World::Leave(const std::string& aInstance)
{
  std::size_t index = NodeOf(aInstance);
  Node& node = *mNodes[index];
  node.mLeaving = true;
  node.mLeavingSince = mNow;
  ScheduleOnNode(index,
                 node.mGeneration,
                 kLookupLifetime + kMemberTimeout,
                 [this, index] { ReleaseSharesAndStop(index, 5); });
}

// Returns the instance's shares to the store, then stops it; stops it without that after
// the last attempt.
void World::ReleaseSharesAndStop(std::size_t aNode, int aAttemptsLeft)
{
  std::string key(ShareDocument::kKey);
  std::string name = mNodes[aNode]->mName;
  if (aAttemptsLeft == 0) {
    Kill(name);
    return;
  }
  StoreRead(aNode, key, [=, this](bool aOk, std::uint64_t aVersion, std::string aText) {
    if (!aOk || aVersion == 0) {
      ReleaseSharesAndStop(aNode, aAttemptsLeft - 1);
      return;
    }
    ShareHolder& shares = *mNodes[aNode]->mShares;
    shares.Observe(ShareDocument::Parse(aText), NodeNow(aNode));
    auto released = shares.ReleaseShares(NodeNow(aNode));
    if (!released) {
      Kill(name);
      return;
    }
    StoreSwap(
      aNode, key, aVersion, released->Text(), [=, this](std::optional<bool> aSwapped) {
        if (aSwapped.value_or(false)) {
          Kill(name);
        } else {
          ReleaseSharesAndStop(aNode, aAttemptsLeft - 1);
        }
      });
  });
}

void World::SetDemand(const std::string& aOrganisation,
                      const std::string& aService,
                      double aPerSecond,
                      std::map<std::string, double> aWeights,
                      unsigned aBurst)
{
  OrganisationId organisation = mInitialConfig->FindOrganisation(aOrganisation);
  ServiceId service = mInitialConfig->FindService(aService);
  if (organisation.IsNone() || service.IsNone()) {
    throw std::invalid_argument("demand: unknown organisation or service");
  }
  auto same = [&](const std::unique_ptr<Demand>& aDemand) {
    return aDemand->mOrganisation == organisation && aDemand->mService == service;
  };
  auto found = std::ranges::find_if(mDemands, same);
  std::size_t index = static_cast<std::size_t>(found - mDemands.begin());
  if (found == mDemands.end()) {
    mDemands.push_back(std::make_unique<Demand>());
  }
  Demand& demand = *mDemands[index];
  demand.mOrganisation = organisation;
  demand.mService = service;
  demand.mPerSecond = aPerSecond;
  demand.mWeights.assign(aWeights.begin(), aWeights.end());
  demand.mBurst = aBurst;
  ++demand.mGeneration;
  if (aPerSecond > 0) {
    Arrive(index);
  }
}

// Picks the instance that a caller in a data centre uses: a random one there, or else in
// the same region.
std::optional<std::size_t> World::PickInstance(const std::string& aDataCentre)
{
  std::vector<std::size_t> usable;
  std::vector<std::size_t> others;
  RegionId region =
    mInitialConfig->mDataCentres[mInitialConfig->FindDataCentre(aDataCentre).Value()]
      .mRegion;
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    const Node& node = *mNodes[i];
    bool resolvable = !node.mLeaving || mNow - node.mLeavingSince < kLookupLifetime;
    if (!node.mAlive || !resolvable || !node.mAcceptor->Current()) {
      continue;
    }
    if (node.mDataCentre == aDataCentre) {
      usable.push_back(i);
    } else if (mInitialConfig
                 ->mDataCentres[mInitialConfig->FindDataCentre(node.mDataCentre).Value()]
                 .mRegion == region) {
      others.push_back(i);
    }
  }
  usable = usable.empty() ? others : usable;
  if (usable.empty()) {
    return std::nullopt;
  }
  return usable[mRandom() % usable.size()];
}

// The requests of a burst arrive together; the gaps between bursts are exponentially
// distributed.
void World::Arrive(std::size_t aDemand)
{
  Demand& demand = *mDemands[aDemand];
  std::exponential_distribution<double> gap(demand.mPerSecond / demand.mBurst);
  std::uint64_t generation = demand.mGeneration;
  Duration wait(static_cast<std::int64_t>(gap(mRandom) * 1'000'000));
  Schedule(mNow + wait, [this, aDemand, generation] {
    Demand& due = *mDemands[aDemand];
    if (due.mGeneration != generation) {
      return;
    }
    double sum = 0;
    for (const auto& [dataCentre, weight] : due.mWeights) {
      sum += weight;
    }
    for (unsigned i = 0; i < due.mBurst; ++i) {
      double draw = std::uniform_real_distribution<double>(0, sum)(mRandom);
      std::string at = due.mWeights.back().first;
      for (const auto& [dataCentre, weight] : due.mWeights) {
        draw -= weight;
        if (draw <= 0) {
          at = dataCentre;
          break;
        }
      }
      OrganisationTally& tally = mTallies[due.mOrganisation.Value()];
      ++tally.mArrived;
      if (!mIdealBuckets[due.mOrganisation.Value()].Take(kToken, mNow)) {
        ++tally.mIdealLimited;
      }
      auto node = PickInstance(at);
      if (!node) {
        ++tally.mLost;
        continue;
      }
      auto request = std::make_shared<SimulatedRequest>();
      request->mOrganisation = due.mOrganisation;
      request->mService = due.mService;
      request->mArrival = mNow;
      const Profile& profile = mInitialConfig->ProfileOf(due.mService);
      request->mWaitUntil = mNow + profile.mQueueTime;
      request->mDeadline = mNow + profile.mDeadline;
      std::size_t index = *node;
      RunOnNode(index, mNodes[index]->mGeneration, [this, index, request] {
        ApplyLimit(index, request, true);
      });
    }
    Arrive(aDemand);
  });
}

void World::Finish(RequestPtr aRequest, Result aResult)
{
  RecordDecision(static_cast<std::uint64_t>(aResult));
  if (aRequest->mDone) {
    aRequest->mDone(aResult);
    return;
  }
  OrganisationTally& tally = mTallies[aRequest->mOrganisation.Value()];
  if (aResult == Result::Ok) {
    ++tally.mAnswered;
    double milliseconds =
      std::chrono::duration<double, std::milli>(mNow - aRequest->mArrival).count();
    tally.mLatencies.push_back(milliseconds);
  } else if (aResult == Result::RateExceeded) {
    ++tally.mLimited;
  } else if (aResult == Result::AnswerLost) {
    ++tally.mLost;
  } else {
    ++tally.mRefused;
  }
}

// Debits one token of the organisation's budget. If the instance has none, it requests
// one from other holders; for a pause after they had none either, it only waits for its
// own. aFirst is false for later attempts of the same request, so that its demand counts
// once.
void World::ApplyLimit(std::size_t aNode, RequestPtr aRequest, bool aFirst)
{
  Node& node = *mNodes[aNode];
  BudgetId budget =
    mInitialConfig->mOrganisations[aRequest->mOrganisation.Value()].mBudget;
  Instant now = NodeNow(aNode);
  if (mOptions.mLimits == LimitPolicy::StaticSplit) {
    if (node.mStaticBuckets[budget.Value()].Take(kToken, now)) {
      OnAdmitted(aNode, aRequest);
    } else {
      Finish(aRequest, Result::RateExceeded);
    }
    return;
  }
  if (aFirst) {
    node.mShares->CountDemand(budget, kToken, now);
  }
  if (node.mShares->Debit(budget, kToken, now)) {
    OnAdmitted(aNode, aRequest);
    return;
  }
  if (now >= node.mNoTokenRequestUntil[budget.Value()]) {
    std::vector<std::string> sources = node.mShares->TokenSources(budget);
    std::erase_if(sources, [&](const std::string& aSource) {
      return node.mMembers->TimedOut(aSource, now);
    });
    if (sources.empty()) {
      node.mMembers->AddShareHolders(sources, now);
    }
    sources.resize(std::min(sources.size(), kMaxTokenRequests));
    RequestTokens(aNode, aRequest, sources, 0, aFirst);
    return;
  }
  WaitForTokens(aNode, aRequest);
}

// Requests a token from each source in turn until one gives it. A source of another data
// centre lends a batch. The borrower uses it until the end of the longest life of a
// token, longer than the product does, so that the check of the limits covers every
// lease.
void World::RequestTokens(std::size_t aNode,
                          RequestPtr aRequest,
                          std::vector<std::string> aSources,
                          std::size_t aIndex,
                          bool aFirst)
{
  Node& node = *mNodes[aNode];
  BudgetId budget =
    mInitialConfig->mOrganisations[aRequest->mOrganisation.Value()].mBudget;
  if (aIndex >= aSources.size()) {
    node.mNoTokenRequestUntil[budget.Value()] = NodeNow(aNode) + kTokenRequestPause;
    WaitForTokens(aNode, aRequest);
    return;
  }
  Instant asked = NodeNow(aNode);
  auto answered = std::make_shared<bool>(false);
  auto to = NodeAt(aSources[aIndex]);
  auto next = [=, this] {
    if (!*answered) {
      *answered = true;
      RequestTokens(aNode, aRequest, aSources, aIndex + 1, aFirst);
    }
  };
  bool reachable =
    to && mNodes[*to]->mAlive && Connected(node.mDataCentre, mNodes[*to]->mDataCentre);
  if (!to || (!reachable && !node.mMembers->Alive(aSources[aIndex], asked))) {
    next();
    return;
  }
  std::size_t source = *to;
  std::uint64_t generation = node.mGeneration;
  bool mates = node.mDataCentre == mNodes[source]->mDataCentre;
  UsableBudget usable = UsableBudgetOf(mInitialConfig->mBudgets[budget.Value()].mTotal);
  Duration lease = mates ? RelayLease(usable) : LoanLease(usable);
  MicroTokens most = kToken + node.mShares->Shortfall(budget, lease, asked);
  ScheduleOnNode(aNode, node.mGeneration, kTokenRequestTimeout, next);
  SendToPeer(aNode, source, [=, this] {
    ShareHolder& shares = *mNodes[source]->mShares;
    bool ready = mNodes[source]->mAcceptor->Current() != nullptr;
    if (ready && aFirst && mNodes[source]->mDataCentre == mNodes[aNode]->mDataCentre) {
      shares.CountDemand(budget, kToken, NodeNow(source));
    }
    MicroTokens given = 0;
    if (ready && mates) {
      given = shares.Debit(budget, kToken, NodeNow(source)) ? kToken : 0;
    } else if (ready) {
      given = shares.Lend(budget, kToken, most, NodeNow(source));
    }
    SendReply(source, aNode, generation, [=, this] {
      ShareHolder& borrower = *mNodes[aNode]->mShares;
      borrower.AddLoan(budget, given, asked + lease, NodeNow(aNode));
      if (*answered) {
        return;
      }
      if (borrower.Debit(budget, kToken, NodeNow(aNode))) {
        *answered = true;
        OnAdmitted(aNode, aRequest);
      } else {
        next();
      }
    });
  });
}

void World::WaitForTokens(std::size_t aNode, RequestPtr aRequest)
{
  Node& node = *mNodes[aNode];
  BudgetId budget =
    mInitialConfig->mOrganisations[aRequest->mOrganisation.Value()].mBudget;
  Duration wait = node.mShares->TimeUntil(budget, kToken, NodeNow(aNode));
  wait = std::clamp(wait, kMinTokenWait, kMaxTokenWait);
  if (mNow + wait > aRequest->mWaitUntil) {
    Finish(aRequest, Result::RateExceeded);
    return;
  }
  ScheduleOnNode(aNode, node.mGeneration, wait, [this, aNode, aRequest] {
    ApplyLimit(aNode, aRequest, false);
  });
}

// Overshoot is measured by one central token bucket with the organisation's whole rate
// and burst: a request that it has no token for exceeds the limit.
void World::OnAdmitted(std::size_t aNode, RequestPtr aRequest)
{
  std::size_t organisation = aRequest->mOrganisation.Value();
  if (!mOvershootBuckets[organisation].Take(kToken, mNow)) {
    ++mTallies[organisation].mOvershoot;
  }
  Place(aNode, aRequest);
}

// Takes a slot of a backend server that this instance may use, unless requests are queued
// for the service. Policies other than Owned don't track slots: they pick a server of the
// data centre and return a slot that steering does not account for.
std::optional<Slot> World::TakeSlot(std::size_t aNode, ServiceId aService, Origin aOrigin)
{
  Node& node = *mNodes[aNode];
  if (mOptions.mSteering == SteerPolicy::Owned) {
    if (node.mQueues[aService.Value()].Size() > 0) {
      return std::nullopt;
    }
    return node.mSteer->Acquire(aService, aOrigin, NodeNow(aNode));
  }
  std::vector<std::size_t> localServers;
  for (std::size_t i = 0; i < mInitialConfig->mBackendServers.size(); ++i) {
    const BackendServer& server = mInitialConfig->mBackendServers[i];
    if (server.mService == aService &&
        mInitialConfig->mDataCentres[server.mDataCentre.Value()].mName ==
          node.mDataCentre) {
      localServers.push_back(i);
    }
  }
  if (localServers.empty()) {
    return std::nullopt;
  }
  std::size_t chosen =
    localServers[node.mNextServer[aService.Value()]++ % localServers.size()];
  if (mOptions.mSteering == SteerPolicy::LeastReportedLoad) {
    for (std::size_t i : localServers) {
      if (mServers[mInitialConfig->mBackendServers[i].mName].mReported <
          mServers[mInitialConfig->mBackendServers[chosen].mName].mReported) {
        chosen = i;
      }
    }
  }
  auto view = std::make_shared<ServerView>();
  view->mInFlight = 1;
  view->mRemoteInFlight = 1;
  return Slot{ view, mInitialConfig->mBackendServers[chosen].mName, {}, Origin::Remote };
}

// Placement of an admitted request: the target of a configured shift first, if it
// applies, then an own slot, then the other instances of the data centre, then the queue.
void World::Place(std::size_t aNode, RequestPtr aRequest)
{
  Node& node = *mNodes[aNode];
  ServiceId service = aRequest->mService;
  auto finish = [this, aRequest](Result aResult) { Finish(aRequest, aResult); };
  auto local = [=, this] {
    Node& self = *mNodes[aNode];
    if (auto slot = TakeSlot(aNode, service, Origin::Local)) {
      Send(aNode, aRequest, *slot, Duration::zero(), finish);
      return;
    }
    auto localPeers = self.mSteer->InstancesOf(
      self.mSteer->OwnDataCentre(), service, *self.mMembers, NodeNow(aNode));
    TryForward(
      aNode, aRequest, localPeers, 0, [=, this] { EnqueueRequest(aNode, aRequest); });
  };
  if (auto target = node.mSteer->DrawShift(service)) {
    auto shiftTargets =
      node.mSteer->InstancesOf(*target, service, *node.mMembers, NodeNow(aNode));
    mShifted += shiftTargets.empty() ? 0 : 1;
    TryForward(aNode, aRequest, shiftTargets, 0, local);
    return;
  }
  local();
}

// Forwards the request to each address in turn until an instance takes it; calls
// aExhausted if none does.
void World::TryForward(std::size_t aNode,
                       RequestPtr aRequest,
                       std::vector<std::string> aAddresses,
                       std::size_t aIndex,
                       std::function<void()> aExhausted)
{
  if (aIndex >= std::min(aAddresses.size(), kMaxForwards)) {
    aExhausted();
    return;
  }
  Node& node = *mNodes[aNode];
  auto next = [=, this] {
    TryForward(aNode, aRequest, aAddresses, aIndex + 1, aExhausted);
  };
  auto to = NodeAt(aAddresses[aIndex]);
  if (!to || !mNodes[*to]->mAlive) {
    next();
    return;
  }
  std::size_t peer = *to;
  bool sameDataCentre = mNodes[peer]->mDataCentre == node.mDataCentre;
  mSpilled += sameDataCentre ? 0 : 1;
  RecordDecision(peer);
  auto answered = std::make_shared<bool>(false);
  ScheduleOnNode(aNode, node.mGeneration, kForwardTimeout, [=, this] {
    if (!*answered) {
      *answered = true;
      Finish(aRequest, Result::AnswerLost);
    }
  });
  std::uint64_t generation = node.mGeneration;
  auto replyBack = [=, this](Result aResult) {
    SendReply(peer, aNode, generation, [=, this] {
      if (*answered) {
        return;
      }
      *answered = true;
      if (aResult == Result::NoBackendServer || aResult == Result::BackendServerShed) {
        next();
      } else {
        Finish(aRequest, aResult);
      }
    });
  };
  SendToPeer(aNode, peer, [=, this] {
    auto slot =
      TakeSlot(peer, aRequest->mService, sameDataCentre ? Origin::Local : Origin::Remote);
    if (slot) {
      Send(peer, aRequest, *slot, Duration::zero(), replyBack);
    } else {
      replyBack(Result::NoBackendServer);
    }
  });
}

// Puts the request into the admission queue, and forwards it elsewhere when its queue
// time ends or no server is usable here.
void World::EnqueueRequest(std::size_t aNode, RequestPtr aRequest)
{
  Node& node = *mNodes[aNode];
  ServiceId service = aRequest->mService;
  auto forwardElsewhere = [=, this] {
    Node& self = *mNodes[aNode];
    auto others = self.mSteer->ForwardTargets(service, *self.mMembers, NodeNow(aNode));
    TryForward(
      aNode, aRequest, others, 0, [=, this] { Finish(aRequest, Result::QueueTimeout); });
  };
  if (node.mSteer->UsableSlots(service, NodeNow(aNode)) == 0 ||
      mOptions.mSteering != SteerPolicy::Owned) {
    forwardElsewhere();
    return;
  }
  WaiterId id = node.mNextWaiterId++;
  if (!node.mQueues[service.Value()].Push(aRequest->mOrganisation, id)) {
    Finish(aRequest, Result::QueueFull);
    return;
  }
  node.mWaiters[id] = { aRequest };
  Duration wait = mInitialConfig->ProfileOf(service).mQueueTime;
  ScheduleOnNode(aNode, node.mGeneration, wait, [=, this] {
    Node& self = *mNodes[aNode];
    if (self.mWaiters.erase(id) > 0) {
      self.mQueues[service.Value()].Remove(aRequest->mOrganisation, id);
      forwardElsewhere();
    }
  });
  ServeWaiters(aNode);
}

// Sends queued requests while slots are free.
void World::ServeWaiters(std::size_t aNode)
{
  Node& node = *mNodes[aNode];
  for (auto& [service, queue] : node.mQueues) {
    while (queue.Size() > 0) {
      auto slot = node.mSteer->Acquire(ServiceId(service), Origin::Local, NodeNow(aNode));
      if (!slot) {
        break;
      }
      WaiterId id = *queue.Pop();
      RequestPtr request = node.mWaiters.at(id).mRequest;
      node.mWaiters.erase(id);
      Send(aNode, request, *slot, Duration::zero(), [this, request](Result aResult) {
        Finish(request, aResult);
      });
    }
  }
}

// Sends a request to its slot's backend server and simulates the server. The server's own
// record tells whether slots were overrun and which orders ran.
void World::Send(std::size_t aNode,
                 RequestPtr aRequest,
                 Slot aSlot,
                 Duration,
                 std::function<void(Result)> aDone)
{
  FakeBackendServer& server = mServers[aSlot.mServer];
  std::uint64_t generation = mNodes[aNode]->mGeneration;
  RecordDecision(server.mServed);
  auto end = [=, this](Duration aAfter, Result aResult, AttemptOutcome aOutcome) {
    ScheduleOnNode(aNode, generation, aAfter, [=, this] {
      Steering::Release(aSlot, aOutcome, NodeNow(aNode));
      ServeWaiters(aNode);
      aDone(aResult);
    });
  };
  if (server.mDown) {
    aSlot.mView->mState = ServerState::Down;
    end(kSameDataCentreDelay, Result::NoBackendServer, AttemptOutcome::NotSent);
    return;
  }
  auto found = std::ranges::find(
    mInitialConfig->mBackendServers, aSlot.mServer, &BackendServer::mName);
  std::string fault = aRequest->mTicket.empty() ? "" : std::exchange(server.mFault, "");
  bool full = server.mInFlight >= found->mSlots;
  server.mPeakInFlight = std::max(server.mPeakInFlight, server.mInFlight + 1);
  if (full || server.mFalseReports || fault == "shed") {
    end(kSameDataCentreDelay, Result::BackendServerShed, AttemptOutcome::Shed);
    return;
  }
  if (fault == "die-before") {
    end(kSameDataCentreDelay, Result::AnswerLost, AttemptOutcome::Abandoned);
    return;
  }
  ++server.mServed;
  if (server.mDraining && mNow - server.mDrainingSince > std::chrono::seconds(2)) {
    ++server.mStartedAfterDrain;
  }
  if (!aRequest->mTicket.empty()) {
    ++mExecutions[aRequest->mTicket];
    mExecutedAttempts.insert(aRequest->mAttempt);
  }
  ++server.mInFlight;
  Duration time = server.mServiceTime * (mNow < server.mColdUntil ? kColdSlowdown : 1);
  time = fault == "late" ? kLateServiceTime : time;
  Schedule(mNow + time, [this, name = aSlot.mServer] {
    FakeBackendServer& done = mServers[name];
    --done.mInFlight;
    if (done.mDraining && done.mInFlight == 0) {
      mDrainTimes[name] = mNow - done.mDrainingSince;
    }
  });
  if (fault == "die-after") {
    end(kSameDataCentreDelay, Result::AnswerLost, AttemptOutcome::Abandoned);
  } else if (fault == "late") {
    end(std::chrono::seconds(1), Result::AnswerTimeout, AttemptOutcome::Abandoned);
  } else {
    end(time + kSameDataCentreDelay, Result::Ok, AttemptOutcome::Answered);
  }
}

void World::IssueTicket(const std::string& aOrder, const std::string& aInstance)
{
  std::size_t index = NodeOf(aInstance);
  auto ticket = mNodes[index]->mLedger->Issue(mInitialConfig->mOrganisations[0].mName,
                                              NodeNow(index));
  if (!ticket) {
    throw std::runtime_error("the instance issued no ticket");
  }
  mTickets[aOrder] = *ticket;
}

// A result that says "not run" is checked against the server's record of this attempt.
void World::PresentOrder(const std::string& aOrder,
                         const std::string& aInstance,
                         const std::string& aBody)
{
  auto request = std::make_shared<SimulatedRequest>();
  request->mOrganisation = OrganisationId(0);
  request->mService = ServiceId(0);
  request->mArrival = mNow;
  request->mWaitUntil = mNow + std::chrono::milliseconds(100);
  request->mDeadline = mNow + std::chrono::seconds(1);
  request->mTicket = mTickets.at(aOrder);
  request->mOrder = aOrder;
  request->mBody = aBody;
  request->mAttempt = ++mLastAttempt;
  mAnswers[aOrder] = "none";
  std::uint64_t attempt = request->mAttempt;
  auto done = [this, aOrder, attempt](Result aResult) {
    const base::ResultInfo& row = base::InfoOf(aResult);
    mAnswers[aOrder] = std::string(row.mName);
    RecordDecision(static_cast<std::uint64_t>(aResult));
    if (row.mExecuted == base::Executed::No && mExecutedAttempts.contains(attempt)) {
      ++mFalseNotRun;
    }
  };
  std::size_t entry = NodeOf(aInstance);
  std::string issuer = Ticket::Parse(request->mTicket)->mIssuer.mAddress;
  auto owner = NodeAt(issuer);
  if (issuer == mNodes[entry]->mAddress) {
    RunOnNode(
      entry, mNodes[entry]->mGeneration, [=, this] { RunOrder(entry, request, done); });
    return;
  }
  auto answered = std::make_shared<bool>(false);
  auto answerOnce = [=](Result aResult) {
    if (!*answered) {
      *answered = true;
      done(aResult);
    }
  };
  ScheduleOnNode(entry, mNodes[entry]->mGeneration, kForwardTimeout, [=] {
    answerOnce(Result::OutcomeUnknown);
  });
  if (owner && mNodes[*owner]->mAlive) {
    std::size_t peer = *owner;
    std::uint64_t generation = mNodes[entry]->mGeneration;
    SendToPeer(entry, peer, [=, this] {
      RunOrder(peer, request, [=, this](Result aResult) {
        SendReply(peer, entry, generation, [=] { answerOnce(aResult); });
      });
    });
  }
}

// Admits an order at the issuer of its ticket: runs it, repeats its outcome or refuses
// it.
void World::RunOrder(std::size_t aNode,
                     RequestPtr aRequest,
                     std::function<void(Result)> aDone)
{
  Node& node = *mNodes[aNode];
  TicketDecision admission = node.mLedger->Admit(aRequest->mTicket,
                                                 mInitialConfig->mOrganisations[0].mName,
                                                 aRequest->mBody,
                                                 NodeNow(aNode));
  bool again = mOptions.mForgetTickets && admission.mKind != TicketDecision::Kind::Start;
  if (admission.mKind == TicketDecision::Kind::Start || again) {
    StartOrder(aNode, aRequest, std::move(aDone), 2);
  } else if (admission.mKind == TicketDecision::Kind::Repeat) {
    aDone(admission.mOutcome.mResult);
  } else {
    aDone(admission.mRefusal);
  }
}

// Runs an order here or on another instance, and retries while it certainly did not run.
void World::StartOrder(std::size_t aNode,
                       RequestPtr aRequest,
                       std::function<void(Result)> aDone,
                       int aAttemptsLeft)
{
  std::uint64_t sequence = Ticket::Parse(aRequest->mTicket)->mSequence;
  auto finish = [=, this](Result aResult) {
    TicketLedger& ledger = *mNodes[aNode]->mLedger;
    if (aResult == Result::Ok) {
      ledger.Finish(sequence, Outcome{ Result::Ok, 200, "", "done", {}, {} });
      aDone(Result::Ok);
    } else if (base::InfoOf(aResult).mExecuted == base::Executed::No &&
               aAttemptsLeft > 1) {
      StartOrder(aNode, aRequest, aDone, aAttemptsLeft - 1);
    } else if (base::InfoOf(aResult).mExecuted == base::Executed::No) {
      ledger.Release(sequence);
      aDone(aResult);
    } else {
      ledger.Finish(sequence, Outcome{ Result::OutcomeUnknown, 0, "", "", {}, {} });
      aDone(Result::OutcomeUnknown);
    }
  };
  if (auto slot = TakeSlot(aNode, aRequest->mService, Origin::Local)) {
    Send(aNode, aRequest, *slot, Duration::zero(), finish);
    return;
  }
  auto forwarded = std::make_shared<SimulatedRequest>(*aRequest);
  forwarded->mDone = finish;
  Node& node = *mNodes[aNode];
  auto others =
    node.mSteer->ForwardTargets(aRequest->mService, *node.mMembers, NodeNow(aNode));
  TryForward(aNode, forwarded, others, 0, [finish] { finish(Result::NoBackendServer); });
}

// An operator reads, edits and swaps the configuration. The operator's connection to the
// store is not affected by cuts.
void World::ChangeConfig(const std::string&,
                         std::function<std::string(std::string)> aEdit)
{
  FakeStore::Entry before = mStore->mEntries[kConfigKey];
  bool up = mStore->mMode == "up" || mStore->mMode == "lose";
  if (!up || before.mVersion == 0) {
    ++mChangesRefused;
    return;
  }
  auto next = nlohmann::json::parse(aEdit(before.mText));
  next["revision"] =
    std::max(nlohmann::json::parse(before.mText)["revision"].get<Revision>(),
             HighestRevision()) +
    1;
  std::string text = next.dump();
  ParseConfig(text);
  Schedule(mNow + kStoreDelay, [this, before, text] {
    FakeStore::Entry& entry = mStore->mEntries[kConfigKey];
    if (entry.mVersion == before.mVersion) {
      entry = { ++mStore->mVersion, text };
      ++mChangesAccepted;
    } else {
      ++mChangesRefused;
    }
  });
}

const OrganisationTally& World::Tally(const std::string& aOrganisation) const
{
  return mTallies.at(mInitialConfig->FindOrganisation(aOrganisation).Value());
}

std::uint64_t World::Overshoot() const
{
  std::uint64_t sum = 0;
  for (const OrganisationTally& tally : mTallies) {
    sum += tally.mOvershoot;
  }
  return sum;
}

double World::WrongfulPercent(const std::string& aOrganisation) const
{
  const OrganisationTally& tally = Tally(aOrganisation);
  std::uint64_t wrongful =
    tally.mLimited > tally.mIdealLimited ? tally.mLimited - tally.mIdealLimited : 0;
  return tally.mArrived == 0 ? 0 : 100.0 * double(wrongful) / double(tally.mArrived);
}

double World::WrongfulPercent() const
{
  std::uint64_t wrongful = 0;
  std::uint64_t arrived = 0;
  for (const OrganisationTally& tally : mTallies) {
    wrongful +=
      tally.mLimited > tally.mIdealLimited ? tally.mLimited - tally.mIdealLimited : 0;
    arrived += tally.mArrived;
  }
  return arrived == 0 ? 0 : 100.0 * double(wrongful) / double(arrived);
}

std::uint64_t World::Overruns() const
{
  std::uint64_t overruns = 0;
  for (const BackendServer& server : mInitialConfig->mBackendServers) {
    overruns += mServers.at(server.mName).mPeakInFlight > server.mSlots ? 1 : 0;
  }
  return overruns;
}

std::uint64_t World::NewWorkAfterDrain() const
{
  std::uint64_t sum = 0;
  for (const auto& [name, server] : mServers) {
    sum += server.mStartedAfterDrain;
  }
  return sum;
}

unsigned World::ExecutionCount(const std::string& aOrder) const
{
  auto found = mExecutions.find(mTickets.at(aOrder));
  return found == mExecutions.end() ? 0 : found->second;
}

std::string World::LastAnswer(const std::string& aOrder) const
{
  return mAnswers.at(aOrder);
}

Revision World::LowestRevision() const
{
  Revision lowest = std::numeric_limits<Revision>::max();
  for (const auto& node : mNodes) {
    if (node->mAlive && !node->mFrozen) {
      const ConfigPtr& config = node->mAcceptor->Current();
      lowest = std::min(lowest, config ? config->mRevision : 0);
    }
  }
  return lowest;
}

Revision World::HighestRevision() const
{
  Revision highest = 0;
  for (const auto& node : mNodes) {
    if (node->mAlive && node->mAcceptor->Current()) {
      highest = std::max(highest, node->mAcceptor->Current()->mRevision);
    }
  }
  return highest;
}

bool World::KeyAccepted(const std::string& aInstance, const std::string& aKey) const
{
  const ConfigPtr& config = mNodes[NodeOf(aInstance)]->mAcceptor->Current();
  return config && !config->FindKey(DigestKey(aKey)).IsNone();
}

std::size_t World::RememberedOrders() const
{
  std::size_t most = 0;
  for (const auto& node : mNodes) {
    most = std::max(most, node->mLedger ? node->mLedger->Size() : 0);
  }
  return most;
}

unsigned World::FreeSlots(const std::string& aInstance, const std::string& aService) const
{
  std::size_t index = NodeOf(aInstance);
  return mNodes[index]->mSteer->FreeSlots(
    mInitialConfig->FindService(aService), Origin::Local, NodeNow(index));
}

Rate World::HeldRate(const std::string& aInstance, const std::string& aOrganisation) const
{
  std::size_t index = NodeOf(aInstance);
  BudgetId budget =
    mInitialConfig
      ->mOrganisations[mInitialConfig->FindOrganisation(aOrganisation).Value()]
      .mBudget;
  return mNodes[index]->mShares->CurrentShare(budget, NodeNow(index));
}

Duration World::DrainTime(const std::string& aServer) const
{
  auto found = mDrainTimes.find(aServer);
  return found == mDrainTimes.end() ? Duration::max() : found->second;
}

void World::ResetTallies()
{
  for (OrganisationTally& tally : mTallies) {
    std::uint64_t overshoot = tally.mOvershoot;
    tally = {};
    tally.mOvershoot = overshoot; // an invariant over the whole run
  }
}

} // namespace vanillaloft::world
