#include "world.h"

#include <algorithm>
#include <stdexcept>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace vanillaloft::world {

using base::Result;

namespace {

constexpr Duration kSameCentre = std::chrono::microseconds(100);
constexpr Duration kSameRegion = std::chrono::microseconds(500);
constexpr Duration kOtherRegion = std::chrono::milliseconds(12);
constexpr Duration kStoreDelay = std::chrono::milliseconds(2);
constexpr Duration kStoreSlow = std::chrono::milliseconds(2500);
constexpr Duration kStoreTimeout = std::chrono::milliseconds(1000);
constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
constexpr Duration kPollInterval = std::chrono::milliseconds(500);
constexpr Duration kMemberRead = std::chrono::seconds(15);
constexpr Duration kAskPause = std::chrono::milliseconds(20);
constexpr Duration kAskTimeout = std::chrono::milliseconds(60);
constexpr Duration kShortestWait = std::chrono::milliseconds(2);
constexpr Duration kLongestWait = std::chrono::milliseconds(20);
constexpr Duration kForwardTimeout = std::chrono::milliseconds(1000);
constexpr Duration kTicketLife = std::chrono::seconds(30);
constexpr Duration kLookUpLife = std::chrono::seconds(5);
constexpr Duration kLate = std::chrono::seconds(3);
constexpr std::size_t kMostAsks = 4;
constexpr std::size_t kMostForwards = 3;
constexpr int kColdFactor = 5; // a cold server is slower by this factor
constexpr const char* kConfigKey = "vanillaloft/config";

std::pair<std::string, std::string> Ordered(const std::string& aLeft,
                                            const std::string& aRight)
{
  return aLeft < aRight ? std::pair(aLeft, aRight) : std::pair(aRight, aLeft);
}

} // namespace

struct World::StoreFake
{
  struct Entry
  {
    std::uint64_t mVersion = 0;
    std::string mText;
  };
  std::map<std::string, Entry> mEntries;
  std::map<std::string, Entry> mMarked;
  std::uint64_t mVersion = 0;
  std::string mMode = "up";
};

struct World::Demand
{
  OrganisationId mOrganisation;
  ServiceId mService;
  double mPerSecond = 0;
  std::vector<std::pair<std::string, double>> mWeights;
  unsigned mBurst = 1;
  std::uint64_t mGeneration = 0;
};

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
  int mClockPerMille = 0; // fast or slow
  Instant mClockAtRate{}; // the node's clock when the rate was set
  Instant mRateSince{};   // the world's time then
  std::vector<Action> mBacklog;
  std::optional<ShareHolder> mShares;
  std::optional<Members> mMembers;
  std::optional<Steer> mSteer;
  std::optional<Ledger> mLedger;
  std::optional<Acceptor> mAcceptor;
  Revision mHighest = 0;
  std::map<std::size_t, Instant> mNoAskUntil;
  std::map<std::size_t, FairQueue> mQueues; // by service
  std::map<WaiterId, Waiter> mWaiters;
  WaiterId mNextWaiter = 1;
  std::vector<Bucket> mStatic; // of the static split
  std::map<std::size_t, std::size_t> mRobin;
};

World::World(ConfigPtr aConfig, Options aOptions)
  : mInitial(std::move(aConfig))
  , mOptions(aOptions)
  , mRandom(aOptions.mSeed)
  , mStore(std::make_unique<StoreFake>())
  , mTallies(mInitial->mOrganisations.size())
{
  for (const Organisation& organisation : mInitial->mOrganisations) {
    Rate total = mInitial->mBudgets[organisation.mBudget.Value()].mTotal;
    for (auto* buckets : { &mJudges, &mIdeals }) {
      Bucket& bucket = buckets->emplace_back();
      bucket.SetRate(total, mNow - std::chrono::hours(1));
    }
  }
  for (const BackendServer& server : mInitial->mBackendServers) {
    mServers[server.mName].mServiceTime = std::chrono::milliseconds(10);
  }
  mStore->mEntries[kConfigKey] = { ++mStore->mVersion, mInitial->mText };
}

World::~World() = default;

void World::Sign(std::uint64_t aValue)
{
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  mSignature = (mSignature ^ aValue) * kPrime;
  ++mDecisions;
}

void World::At(Instant aTime, Action aAction)
{
  mEvents.push({ std::max(aTime, mNow), mNextEvent++, std::move(aAction) });
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

void World::OnNode(std::size_t aNode,
                   std::uint64_t aGeneration,
                   Duration aDelay,
                   Action aAction)
{
  At(mNow + aDelay, [this, aNode, aGeneration, action = std::move(aAction)] {
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

// Besides an instance's own name, "a1/holder" names the instance that holds the shares of
// a1 and "a1/dead" the first of its instances that was killed.
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
  throw std::invalid_argument("there is no instance " + aName);
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
  Duration passed = mNow - node.mRateSince;
  return node.mClockAtRate + passed + passed * node.mClockPerMille / 1000;
}

bool World::Connected(const std::string& aLeft, const std::string& aRight) const
{
  return aLeft == aRight || !mCuts.contains(Ordered(aLeft, aRight));
}

Duration World::Delay(const std::string& aLeft, const std::string& aRight) const
{
  if (aLeft == aRight) {
    return kSameCentre;
  }
  DataCentreId left = mInitial->FindDataCentre(aLeft);
  DataCentreId right = mInitial->FindDataCentre(aRight);
  bool same = mInitial->mDataCentres[left.Value()].mRegion ==
              mInitial->mDataCentres[right.Value()].mRegion;
  return same ? kSameRegion : kOtherRegion;
}

void World::AddInstance(const std::string& aName)
{
  auto node = std::make_unique<Node>();
  node->mName = aName;
  node->mDataCentre = aName.substr(0, aName.find('/'));
  node->mAddress = aName;
  mNodes.push_back(std::move(node));
  Boot(mNodes.size() - 1);
}

void World::Boot(std::size_t aNode)
{
  Node& node = *mNodes[aNode];
  std::uint64_t generation = ++node.mGeneration;
  node.mAlive = true;
  node.mFrozen = false;
  node.mLeaving = false;
  node.mBacklog.clear();
  node.mQueues.clear();
  node.mWaiters.clear();
  Incarnation self{ node.mAddress, ++mStarts };
  node.mShares.emplace(self, node.mDataCentre);
  node.mMembers.emplace(node.mAddress, node.mDataCentre);
  node.mSteer.emplace(node.mDataCentre);
  node.mLedger.emplace(self, "secret" + std::to_string(mStarts), kTicketLife);
  node.mAcceptor.emplace();
  node.mHighest = 0;
  node.mStatic.clear();
  for (const auto& other : mNodes) {
    node.mMembers->AddAddress(other->mAddress, other->mDataCentre);
    other->mMembers->AddAddress(node.mAddress, node.mDataCentre);
  }
  Duration jitter(std::int64_t(mRandom() % 50'000));
  for (auto loop : { &World::Beat,
                     &World::Tick,
                     &World::ProbeServers,
                     &World::PollConfig,
                     &World::Renew }) {
    OnNode(aNode, generation, jitter, [this, aNode, loop] { (this->*loop)(aNode); });
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
  Boot(index);
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
  for (const DataCentre& dataCentre : mInitial->mDataCentres) {
    places.push_back(dataCentre.mName);
  }
  for (const std::string& place : places) {
    if (place != aLeft && (aRight == "all" || place == aRight)) {
      mCuts.insert(Ordered(aLeft, place));
    }
  }
}

void World::HealAll()
{
  mCuts.clear();
}

void World::SetStore(const std::string& aMode)
{
  if (aMode == "mark") {
    mStore->mMarked = mStore->mEntries;
  } else if (aMode == "older") {
    mStore->mEntries = mStore->mMarked;
  } else {
    mStore->mMode = aMode;
  }
}

void World::SetClockRate(const std::string& aInstance, int aPerMille)
{
  std::size_t index = NodeOf(aInstance);
  Node& node = *mNodes[index];
  node.mClockAtRate = NodeNow(index);
  node.mRateSince = mNow;
  node.mClockPerMille = aPerMille;
}

BackendFake& World::Server(const std::string& aName)
{
  auto found = mServers.find(aName);
  if (found == mServers.end()) {
    throw std::invalid_argument("there is no backend server " + aName);
  }
  return found->second;
}

// A call that cannot reach the store, or whose reply does not come, ends as a timeout.
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
    OnNode(aNode, generation, kStoreTimeout, [aDone] { aDone(false, 0, ""); });
    return;
  }
  At(mNow + kStoreDelay, [this, aNode, generation, aKey, aDone] {
    StoreFake::Entry entry = mStore->mEntries[aKey];
    OnNode(aNode, generation, kStoreDelay, [aDone, entry] {
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
  bool reaches = Connected(node.mDataCentre, "store") && mStore->mMode != "down";
  if (!reaches) {
    OnNode(aNode, generation, kStoreTimeout, [aDone] { aDone(std::nullopt); });
    return;
  }
  // A slow store lets a write take effect after its caller has given up.
  bool replies = mStore->mMode == "up";
  Duration effect = mStore->mMode == "slow" ? kStoreSlow : kStoreDelay;
  At(mNow + effect, [this, aNode, generation, aKey, aVersion, aText, aDone, replies] {
    StoreFake::Entry& entry = mStore->mEntries[aKey];
    bool swapped = entry.mVersion == aVersion;
    if (swapped) {
      entry = { ++mStore->mVersion, aText };
    }
    if (replies) {
      OnNode(aNode, generation, kStoreDelay, [aDone, swapped] { aDone(swapped); });
    }
  });
  if (!replies) {
    OnNode(aNode, generation, kStoreTimeout, [aDone] { aDone(std::nullopt); });
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
  status.mRevision = status.mReady ? node.mAcceptor->Current()->mRevision : 0;
  status.mFreeSlots = node.mSteer->FreeSlotsByService(Origin::Local, NodeNow(aNode));
  status.mRemoteSlots = node.mSteer->FreeSlotsByService(Origin::Remote, NodeNow(aNode));
  return status;
}

void World::HearBeat(std::size_t aNode, std::size_t aFrom, const MemberStatus& aStatus)
{
  Node& node = *mNodes[aNode];
  node.mMembers->Heard(aStatus, NodeNow(aNode));
  Revision own = node.mAcceptor->Current() ? node.mAcceptor->Current()->mRevision : 0;
  const ConfigPtr& theirs = mNodes[aFrom]->mAcceptor->Current();
  if (aStatus.mRevision > own && theirs) {
    std::string text = theirs->mText;
    Duration there = 2 * Delay(node.mDataCentre, mNodes[aFrom]->mDataCentre);
    OnNode(
      aNode, node.mGeneration, there, [this, aNode, text] { TakeConfig(aNode, text); });
  }
}

// Runs something at another instance after the network's delay, if it can be reached.
void World::Exchange(std::size_t aFrom, std::size_t aTo, Action aAtReceiver)
{
  Reply(aFrom, aTo, mNodes[aTo]->mGeneration, std::move(aAtReceiver));
}

// The same for a reply: only the incarnation that asked gets it.
void World::Reply(std::size_t aFrom,
                  std::size_t aTo,
                  std::uint64_t aToGeneration,
                  Action aAtReceiver)
{
  const std::string& from = mNodes[aFrom]->mDataCentre;
  const std::string& to = mNodes[aTo]->mDataCentre;
  if (Connected(from, to)) {
    OnNode(aTo, aToGeneration, Delay(from, to), std::move(aAtReceiver));
  }
}

void World::Beat(std::size_t aNode)
{
  Node& node = *mNodes[aNode];
  for (const std::string& address : node.mMembers->Neighbours()) {
    auto to = NodeAt(address);
    if (!to || !mNodes[*to]->mAlive) {
      continue;
    }
    MemberStatus status = StatusOf(aNode);
    std::size_t peer = *to;
    std::uint64_t generation = node.mGeneration;
    Exchange(aNode, peer, [this, aNode, generation, peer, status] {
      HearBeat(peer, aNode, status);
      MemberStatus reply = StatusOf(peer);
      Reply(peer, aNode, generation, [this, aNode, peer, reply] {
        HearBeat(aNode, peer, reply);
      });
    });
  }
  OnNode(aNode, node.mGeneration, kBeatInterval, [this, aNode] { Beat(aNode); });
}

void World::Tick(std::size_t aNode)
{
  Node& node = *mNodes[aNode];
  if (node.mAcceptor->Current()) {
    node.mSteer->Beat(*node.mMembers, node.mLeaving, NodeNow(aNode));
    ServeWaiters(aNode);
  }
  OnNode(aNode, node.mGeneration, kTick, [this, aNode] { Tick(aNode); });
}

void World::ProbeServers(std::size_t aNode)
{
  Node& node = *mNodes[aNode];
  const ConfigPtr& config = node.mAcceptor->Current();
  for (std::size_t i = 0; config && i < config->mBackendServers.size(); ++i) {
    BackendFake& server = mServers[config->mBackendServers[i].mName];
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
  OnNode(aNode, node.mGeneration, kProbeInterval, [this, aNode] { ProbeServers(aNode); });
}

void World::TakeConfig(std::size_t aNode, const std::string& aText)
{
  Node& node = *mNodes[aNode];
  ConfigPtr config = ParseConfig(aText);
  if (mOptions.mAcceptOlder && node.mAcceptor->Current() &&
      config->mDigest != node.mAcceptor->Current()->mDigest) {
    node.mAcceptor.emplace();
  }
  if (node.mAcceptor->Accept(config) != Offer::Accepted) {
    return;
  }
  mReversions += config->mRevision < node.mHighest ? 1 : 0;
  node.mHighest = std::max(node.mHighest, config->mRevision);
  node.mSteer->SetConfig(config, NodeNow(aNode));
  node.mShares->SetConfig(config, NodeNow(aNode));
  if (node.mStatic.empty()) {
    auto count = static_cast<std::int64_t>(mNodes.size());
    for (const Budget& budget : config->mBudgets) {
      Rate part{ budget.mTotal.mPerSecond / count, budget.mTotal.mBurst / count };
      node.mStatic.emplace_back().SetRate(part, NodeNow(aNode));
    }
  }
}

void World::PollConfig(std::size_t aNode)
{
  Node& node = *mNodes[aNode];
  OnNode(aNode, node.mGeneration, kPollInterval, [this, aNode] { PollConfig(aNode); });
  bool watches =
    !node.mAcceptor->Current() || node.mMembers->IsFirstInDataCentre(NodeNow(aNode));
  if (!watches) {
    return;
  }
  --mStoreCalls; // stands for a watch that waits, counted below at its own rate
  StoreRead(
    aNode,
    kConfigKey,
    [this, aNode](bool aOk, std::uint64_t aVersion, std::string aText) {
      if (!aOk || aVersion == 0) {
        return;
      }
      TakeConfig(aNode, aText);
      const ConfigPtr& current = mNodes[aNode]->mAcceptor->Current();
      if (ParseConfig(aText)->mRevision < current->mRevision) {
        StoreSwap(
          aNode, kConfigKey, aVersion, current->mText, [](std::optional<bool>) {});
      }
    });
}

void World::Renew(std::size_t aNode)
{
  Node& node = *mNodes[aNode];
  if (!node.mAcceptor->Current() || mOptions.mLimits != LimitPolicy::Shares) {
    OnNode(aNode, node.mGeneration, kTick, [this, aNode] { Renew(aNode); });
    return;
  }
  auto again = [this, aNode](Duration aDelay) {
    OnNode(aNode, mNodes[aNode]->mGeneration, aDelay, [this, aNode] { Renew(aNode); });
  };
  std::string key(ShareDocument::kKey);
  StoreRead(aNode, key, [=, this](bool aOk, std::uint64_t aVersion, std::string aText) {
    Node& self = *mNodes[aNode];
    if (!aOk) {
      again(kTick * 5);
      return;
    }
    self.mShares->Observe(aVersion ? ShareDocument::Parse(aText) : ShareDocument(),
                          NodeNow(aNode));
    auto planned = self.mShares->Plan(NodeNow(aNode));
    if (!planned) {
      bool member =
        self.mShares->OtherHolderAlive(NodeNow(aNode)) && !self.mShares->IsHolder();
      again(member ? kMemberRead : kRenewInterval);
      return;
    }
    StoreSwap(
      aNode, key, aVersion, planned->Text(), [=, this](std::optional<bool> aSwapped) {
        ShareHolder& shares = *mNodes[aNode]->mShares;
        if (!aSwapped) {
          shares.Unknown();
          again(kTick * 5);
        } else if (*aSwapped) {
          shares.Committed(NodeNow(aNode));
          again(kRenewInterval);
        } else {
          shares.Conflicted();
          again(kTick / 2);
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
  OnNode(index, node.mGeneration, kLookUpLife + kMemberTimeout, [this, index] {
    GiveBack(index, 5);
  });
}

void World::GiveBack(std::size_t aNode, int aTries)
{
  std::string key(ShareDocument::kKey);
  std::string name = mNodes[aNode]->mName;
  if (aTries == 0) {
    Kill(name);
    return;
  }
  StoreRead(aNode, key, [=, this](bool aOk, std::uint64_t aVersion, std::string aText) {
    if (!aOk || aVersion == 0) {
      GiveBack(aNode, aTries - 1);
      return;
    }
    ShareHolder& shares = *mNodes[aNode]->mShares;
    shares.Observe(ShareDocument::Parse(aText), NodeNow(aNode));
    auto without = shares.Leave(NodeNow(aNode));
    if (!without) {
      Kill(name);
      return;
    }
    StoreSwap(
      aNode, key, aVersion, without->Text(), [=, this](std::optional<bool> aSwapped) {
        if (aSwapped.value_or(false)) {
          Kill(name);
        } else {
          GiveBack(aNode, aTries - 1);
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
  OrganisationId organisation = mInitial->FindOrganisation(aOrganisation);
  ServiceId service = mInitial->FindService(aService);
  if (organisation.IsNone() || service.IsNone()) {
    throw std::invalid_argument("demand names an unknown organisation or service");
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

std::optional<std::size_t> World::PickInstance(const std::string& aDataCentre)
{
  std::vector<std::size_t> usable;
  std::vector<std::size_t> others;
  RegionId region =
    mInitial->mDataCentres[mInitial->FindDataCentre(aDataCentre).Value()].mRegion;
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    const Node& node = *mNodes[i];
    bool stays = !node.mLeaving || mNow - node.mLeavingSince < kLookUpLife;
    if (!node.mAlive || !stays || !node.mAcceptor->Current()) {
      continue;
    }
    if (node.mDataCentre == aDataCentre) {
      usable.push_back(i);
    } else if (mInitial->mDataCentres[mInitial->FindDataCentre(node.mDataCentre).Value()]
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

// Arrivals of a burst come together; bursts are apart by exponential times.
void World::Arrive(std::size_t aDemand)
{
  Demand& demand = *mDemands[aDemand];
  std::exponential_distribution<double> gap(demand.mPerSecond / demand.mBurst);
  std::uint64_t generation = demand.mGeneration;
  Duration wait(static_cast<std::int64_t>(gap(mRandom) * 1'000'000));
  At(mNow + wait, [this, aDemand, generation] {
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
      if (!mIdeals[due.mOrganisation.Value()].Take(kToken, mNow)) {
        ++tally.mIdealLimited;
      }
      auto node = PickInstance(at);
      if (!node) {
        ++tally.mLost;
        continue;
      }
      auto request = std::make_shared<WorldRequest>();
      request->mOrganisation = due.mOrganisation;
      request->mService = due.mService;
      request->mArrival = mNow;
      const Profile& profile = mInitial->ProfileOf(due.mService);
      request->mUntil = mNow + profile.mQueueTime;
      request->mDeadline = mNow + profile.mDeadline;
      std::size_t index = *node;
      RunOnNode(index, mNodes[index]->mGeneration, [this, index, request] {
        Limit(index, request, true);
      });
    }
    Arrive(aDemand);
  });
}

void World::Finish(RequestPtr aRequest, Result aResult)
{
  Sign(static_cast<std::uint64_t>(aResult));
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

void World::Limit(std::size_t aNode, RequestPtr aRequest, bool aFirst)
{
  Node& node = *mNodes[aNode];
  BudgetId budget = mInitial->mOrganisations[aRequest->mOrganisation.Value()].mBudget;
  Instant now = NodeNow(aNode);
  if (mOptions.mLimits == LimitPolicy::StaticSplit) {
    if (node.mStatic[budget.Value()].Take(kToken, now)) {
      Admitted(aNode, aRequest);
    } else {
      Finish(aRequest, Result::RateExceeded);
    }
    return;
  }
  if (aFirst) {
    node.mShares->CountDemand(budget, kToken, now);
  }
  if (node.mShares->Spend(budget, kToken, now)) {
    Admitted(aNode, aRequest);
    return;
  }
  if (now >= node.mNoAskUntil[budget.Value()]) {
    std::vector<std::string> givers = node.mShares->Givers(budget);
    std::erase_if(givers, [&](const std::string& aGiver) {
      return node.mMembers->Gone(aGiver, now);
    });
    if (givers.empty()) {
      node.mMembers->AddHolders(givers, now);
    }
    givers.resize(std::min(givers.size(), kMostAsks));
    AskNext(aNode, aRequest, givers, 0, aFirst);
    return;
  }
  LimitWait(aNode, aRequest);
}

void World::AskNext(std::size_t aNode,
                    RequestPtr aRequest,
                    std::vector<std::string> aGivers,
                    std::size_t aIndex,
                    bool aFirst)
{
  Node& node = *mNodes[aNode];
  BudgetId budget = mInitial->mOrganisations[aRequest->mOrganisation.Value()].mBudget;
  if (aIndex >= aGivers.size()) {
    node.mNoAskUntil[budget.Value()] = NodeNow(aNode) + kAskPause;
    LimitWait(aNode, aRequest);
    return;
  }
  Instant asked = NodeNow(aNode);
  auto answered = std::make_shared<bool>(false);
  auto to = NodeAt(aGivers[aIndex]);
  auto next = [=, this] {
    if (!*answered) {
      *answered = true;
      AskNext(aNode, aRequest, aGivers, aIndex + 1, aFirst);
    }
  };
  bool reachable =
    to && mNodes[*to]->mAlive && Connected(node.mDataCentre, mNodes[*to]->mDataCentre);
  if (!to || (!reachable && !node.mMembers->Alive(aGivers[aIndex], asked))) {
    next();
    return;
  }
  std::size_t giver = *to;
  std::uint64_t generation = node.mGeneration;
  Duration life = Divide(mInitial->mBudgets[budget.Value()].mTotal).mTokenLife;
  OnNode(aNode, node.mGeneration, kAskTimeout, next);
  Exchange(aNode, giver, [=, this] {
    ShareHolder& shares = *mNodes[giver]->mShares;
    bool ready = mNodes[giver]->mAcceptor->Current() != nullptr;
    if (ready && aFirst && mNodes[giver]->mDataCentre == mNodes[aNode]->mDataCentre) {
      shares.CountDemand(budget, kToken, NodeNow(giver));
    }
    bool given = ready && shares.Spend(budget, kToken, NodeNow(giver));
    Reply(giver, aNode, generation, [=, this] {
      if (*answered) {
        return;
      }
      if (given && NodeNow(aNode) - asked <= life) {
        *answered = true;
        Admitted(aNode, aRequest);
      } else {
        next();
      }
    });
  });
}

void World::LimitWait(std::size_t aNode, RequestPtr aRequest)
{
  Node& node = *mNodes[aNode];
  BudgetId budget = mInitial->mOrganisations[aRequest->mOrganisation.Value()].mBudget;
  Duration wait = node.mShares->TimeUntil(budget, kToken, NodeNow(aNode));
  wait = std::clamp(wait, kShortestWait, kLongestWait);
  if (mNow + wait > aRequest->mUntil) {
    Finish(aRequest, Result::RateExceeded);
    return;
  }
  OnNode(aNode, node.mGeneration, wait, [this, aNode, aRequest] {
    Limit(aNode, aRequest, false);
  });
}

// The judge is one central bucket with the whole rate and burst: what it cannot pay for
// was admitted beyond them.
void World::Admitted(std::size_t aNode, RequestPtr aRequest)
{
  std::size_t organisation = aRequest->mOrganisation.Value();
  if (!mJudges[organisation].Take(kToken, mNow)) {
    ++mTallies[organisation].mOvershoot;
  }
  Place(aNode, aRequest);
}

std::optional<Slot> World::TakeSlot(std::size_t aNode, ServiceId aService, Origin aOrigin)
{
  Node& node = *mNodes[aNode];
  if (mOptions.mSteering == SteerPolicy::Owned) {
    if (node.mQueues[aService.Value()].Size() > 0) {
      return std::nullopt;
    }
    return node.mSteer->Acquire(aService, aOrigin, NodeNow(aNode));
  }
  std::vector<std::size_t> here;
  for (std::size_t i = 0; i < mInitial->mBackendServers.size(); ++i) {
    const BackendServer& server = mInitial->mBackendServers[i];
    if (server.mService == aService &&
        mInitial->mDataCentres[server.mDataCentre.Value()].mName == node.mDataCentre) {
      here.push_back(i);
    }
  }
  if (here.empty()) {
    return std::nullopt;
  }
  std::size_t chosen = here[node.mRobin[aService.Value()]++ % here.size()];
  if (mOptions.mSteering == SteerPolicy::LeastReportedLoad) {
    for (std::size_t i : here) {
      if (mServers[mInitial->mBackendServers[i].mName].mReported <
          mServers[mInitial->mBackendServers[chosen].mName].mReported) {
        chosen = i;
      }
    }
  }
  auto view = std::make_shared<ServerView>();
  view->mInFlight = 1;
  view->mRemoteInFlight = 1;
  return Slot{ view, mInitial->mBackendServers[chosen].mName, {}, Origin::Remote };
}

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
    auto mates = self.mSteer->InstancesOf(
      self.mSteer->OwnDataCentre(), service, *self.mMembers, NodeNow(aNode));
    TryForward(aNode, aRequest, mates, 0, [=, this] { Wait(aNode, aRequest); });
  };
  if (auto target = node.mSteer->DrawShift(service)) {
    auto moved =
      node.mSteer->InstancesOf(*target, service, *node.mMembers, NodeNow(aNode));
    mShifted += moved.empty() ? 0 : 1;
    TryForward(aNode, aRequest, moved, 0, local);
    return;
  }
  local();
}

void World::TryForward(std::size_t aNode,
                       RequestPtr aRequest,
                       std::vector<std::string> aAddresses,
                       std::size_t aIndex,
                       std::function<void()> aNone)
{
  if (aIndex >= std::min(aAddresses.size(), kMostForwards)) {
    aNone();
    return;
  }
  Node& node = *mNodes[aNode];
  auto next = [=, this] { TryForward(aNode, aRequest, aAddresses, aIndex + 1, aNone); };
  auto to = NodeAt(aAddresses[aIndex]);
  if (!to || !mNodes[*to]->mAlive) {
    next();
    return;
  }
  std::size_t peer = *to;
  bool mate = mNodes[peer]->mDataCentre == node.mDataCentre;
  mSpilled += mate ? 0 : 1;
  Sign(peer);
  auto answered = std::make_shared<bool>(false);
  OnNode(aNode, node.mGeneration, kForwardTimeout, [=, this] {
    if (!*answered) {
      *answered = true;
      Finish(aRequest, Result::AnswerLost);
    }
  });
  std::uint64_t generation = node.mGeneration;
  auto back = [=, this](Result aResult) {
    Reply(peer, aNode, generation, [=, this] {
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
  Exchange(aNode, peer, [=, this] {
    auto slot = TakeSlot(peer, aRequest->mService, mate ? Origin::Local : Origin::Remote);
    if (slot) {
      Send(peer, aRequest, *slot, Duration::zero(), back);
    } else {
      back(Result::NoBackendServer);
    }
  });
}

void World::Wait(std::size_t aNode, RequestPtr aRequest)
{
  Node& node = *mNodes[aNode];
  ServiceId service = aRequest->mService;
  auto elsewhere = [=, this] {
    Node& self = *mNodes[aNode];
    auto others = self.mSteer->Elsewhere(service, *self.mMembers, NodeNow(aNode));
    TryForward(
      aNode, aRequest, others, 0, [=, this] { Finish(aRequest, Result::QueueTimeout); });
  };
  if (node.mSteer->UsableSlots(service, NodeNow(aNode)) == 0 ||
      mOptions.mSteering != SteerPolicy::Owned) {
    elsewhere();
    return;
  }
  WaiterId id = node.mNextWaiter++;
  if (!node.mQueues[service.Value()].Push(aRequest->mOrganisation, id)) {
    Finish(aRequest, Result::QueueFull);
    return;
  }
  node.mWaiters[id] = { aRequest };
  Duration wait = mInitial->ProfileOf(service).mQueueTime;
  OnNode(aNode, node.mGeneration, wait, [=, this] {
    Node& self = *mNodes[aNode];
    if (self.mWaiters.erase(id) > 0) {
      self.mQueues[service.Value()].Remove(aRequest->mOrganisation, id);
      elsewhere();
    }
  });
  ServeWaiters(aNode);
}

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

// What the backend server does with a request. Its own counts are the judge of overruns
// and of what ran.
void World::Send(std::size_t aNode,
                 RequestPtr aRequest,
                 Slot aSlot,
                 Duration,
                 std::function<void(Result)> aDone)
{
  BackendFake& server = mServers[aSlot.mServer];
  std::uint64_t generation = mNodes[aNode]->mGeneration;
  Sign(server.mServed);
  auto end = [=, this](Duration aAfter, Result aResult, Ending aEnding) {
    OnNode(aNode, generation, aAfter, [=, this] {
      Steer::Release(aSlot, aEnding, NodeNow(aNode));
      ServeWaiters(aNode);
      aDone(aResult);
    });
  };
  if (server.mDown) {
    aSlot.mView->mState = ServerState::Down;
    end(kSameCentre, Result::NoBackendServer, Ending::Unreached);
    return;
  }
  auto found =
    std::ranges::find(mInitial->mBackendServers, aSlot.mServer, &BackendServer::mName);
  std::string fault = aRequest->mTicket.empty() ? "" : std::exchange(server.mFault, "");
  bool full = server.mInFlight >= found->mSlots;
  server.mMostInFlight = std::max(server.mMostInFlight, server.mInFlight + 1);
  if (full || server.mLies || fault == "shed") {
    end(kSameCentre, Result::BackendServerShed, Ending::Shed);
    return;
  }
  if (fault == "die-before") {
    end(kSameCentre, Result::AnswerLost, Ending::Abandoned);
    return;
  }
  ++server.mServed;
  if (server.mDraining && mNow - server.mDrainingSince > std::chrono::seconds(2)) {
    ++server.mAfterDrain;
  }
  if (!aRequest->mTicket.empty()) {
    ++mRuns[aRequest->mTicket];
    mRanAttempts.insert(aRequest->mAttempt);
  }
  ++server.mInFlight;
  Duration time = server.mServiceTime * (mNow < server.mColdUntil ? kColdFactor : 1);
  time = fault == "late" ? kLate : time;
  At(mNow + time, [this, name = aSlot.mServer] {
    BackendFake& done = mServers[name];
    --done.mInFlight;
    if (done.mDraining && done.mInFlight == 0) {
      mDrainTimes[name] = mNow - done.mDrainingSince;
    }
  });
  if (fault == "die-after") {
    end(kSameCentre, Result::AnswerLost, Ending::Abandoned);
  } else if (fault == "late") {
    end(std::chrono::seconds(1), Result::AnswerTimeout, Ending::Abandoned);
  } else {
    end(time + kSameCentre, Result::Ok, Ending::Answered);
  }
}

void World::IssueTicket(const std::string& aOrder, const std::string& aInstance)
{
  std::size_t index = NodeOf(aInstance);
  auto ticket =
    mNodes[index]->mLedger->Issue(mInitial->mOrganisations[0].mName, NodeNow(index));
  if (!ticket) {
    throw std::runtime_error("no ticket was issued");
  }
  mTickets[aOrder] = *ticket;
}

// A refusal that says "not run" is checked against the server's own record of this
// attempt.
void World::PresentOrder(const std::string& aOrder,
                         const std::string& aInstance,
                         const std::string& aBody)
{
  auto request = std::make_shared<WorldRequest>();
  request->mOrganisation = OrganisationId(0);
  request->mService = ServiceId(0);
  request->mArrival = mNow;
  request->mUntil = mNow + std::chrono::milliseconds(100);
  request->mDeadline = mNow + std::chrono::seconds(1);
  request->mTicket = mTickets.at(aOrder);
  request->mOrder = aOrder;
  request->mBody = aBody;
  request->mAttempt = ++mAttempts;
  mAnswers[aOrder] = "none";
  std::uint64_t attempt = request->mAttempt;
  auto done = [this, aOrder, attempt](Result aResult) {
    const base::ResultInfo& row = base::InfoOf(aResult);
    mAnswers[aOrder] = std::string(row.mName);
    Sign(static_cast<std::uint64_t>(aResult));
    if (row.mExecuted == base::Executed::No && mRanAttempts.contains(attempt)) {
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
  auto once = [=](Result aResult) {
    if (!*answered) {
      *answered = true;
      done(aResult);
    }
  };
  OnNode(entry, mNodes[entry]->mGeneration, kForwardTimeout, [=] {
    once(Result::OutcomeUnknown);
  });
  if (owner && mNodes[*owner]->mAlive) {
    std::size_t peer = *owner;
    std::uint64_t generation = mNodes[entry]->mGeneration;
    Exchange(entry, peer, [=, this] {
      RunOrder(peer, request, [=, this](Result aResult) {
        Reply(peer, entry, generation, [=] { once(aResult); });
      });
    });
  }
}

void World::RunOrder(std::size_t aNode,
                     RequestPtr aRequest,
                     std::function<void(Result)> aDone)
{
  Node& node = *mNodes[aNode];
  Admission admission = node.mLedger->Admit(aRequest->mTicket,
                                            mInitial->mOrganisations[0].mName,
                                            aRequest->mBody,
                                            NodeNow(aNode));
  bool again = mOptions.mForgetTickets && admission.mKind != Admission::Kind::Start;
  if (admission.mKind == Admission::Kind::Start || again) {
    StartOrder(aNode, aRequest, std::move(aDone), 2);
  } else if (admission.mKind == Admission::Kind::Repeat) {
    aDone(admission.mOutcome.mResult);
  } else {
    aDone(admission.mRefusal);
  }
}

void World::StartOrder(std::size_t aNode,
                       RequestPtr aRequest,
                       std::function<void(Result)> aDone,
                       int aTries)
{
  std::uint64_t sequence = Ticket::Parse(aRequest->mTicket)->mSequence;
  auto finish = [=, this](Result aResult) {
    Ledger& ledger = *mNodes[aNode]->mLedger;
    if (aResult == Result::Ok) {
      ledger.Finish(sequence, Outcome{ Result::Ok, 200, "", "done", {}, {} });
      aDone(Result::Ok);
    } else if (base::InfoOf(aResult).mExecuted == base::Executed::No && aTries > 1) {
      StartOrder(aNode, aRequest, aDone, aTries - 1);
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
  auto forwarded = std::make_shared<WorldRequest>(*aRequest);
  forwarded->mDone = finish;
  Node& node = *mNodes[aNode];
  auto others =
    node.mSteer->Elsewhere(aRequest->mService, *node.mMembers, NodeNow(aNode));
  TryForward(aNode, forwarded, others, 0, [finish] { finish(Result::NoBackendServer); });
}

// An operator reads, edits and swaps through a route of its own to the store.
void World::Change(const std::string&, std::function<std::string(std::string)> aEdit)
{
  StoreFake::Entry before = mStore->mEntries[kConfigKey];
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
  At(mNow + kStoreDelay, [this, before, text] {
    StoreFake::Entry& entry = mStore->mEntries[kConfigKey];
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
  return mTallies.at(mInitial->FindOrganisation(aOrganisation).Value());
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
  for (const BackendServer& server : mInitial->mBackendServers) {
    overruns += mServers.at(server.mName).mMostInFlight > server.mSlots ? 1 : 0;
  }
  return overruns;
}

std::uint64_t World::NewWorkAfterDrain() const
{
  std::uint64_t sum = 0;
  for (const auto& [name, server] : mServers) {
    sum += server.mAfterDrain;
  }
  return sum;
}

unsigned World::TimesRan(const std::string& aOrder) const
{
  auto found = mRuns.find(mTickets.at(aOrder));
  return found == mRuns.end() ? 0 : found->second;
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
    mInitial->FindService(aService), Origin::Local, NodeNow(index));
}

Rate World::HeldRate(const std::string& aInstance, const std::string& aOrganisation) const
{
  std::size_t index = NodeOf(aInstance);
  BudgetId budget =
    mInitial->mOrganisations[mInitial->FindOrganisation(aOrganisation).Value()].mBudget;
  return mNodes[index]->mShares->InForce(budget, NodeNow(index));
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
    tally.mOvershoot = overshoot; // what must always hold is never forgotten
  }
}

} // namespace vanillaloft::world
