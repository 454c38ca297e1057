// Unit tests of src/daemon: instances that follow a store, all in one process.
#include <doctest/doctest.h>

#include <array>
#include <set>
#include <thread>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/ranges.h>

#include "canned.h"
#include "daemon/follow.h"
#include "daemon/instance.h"
#include "entry/background.h"

using namespace vanillaloft;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
template<typename T>
using Awaitable = asio::awaitable<T>;

constexpr const char* kServerPrefix = "servers/";
constexpr const char* kOperatorPrefix = "operators/";
constexpr auto kPollInterval = 20ms;
constexpr auto kCallTimeout = 1000ms; // of calls other than watches

// The store content that all instances of a test read.
struct StoreContent
{
  std::map<std::string, store::Item> mItems; // by key, including deleted items
  std::uint64_t mRevision = 1;
  bool mSilent = false; // calls that arrive or end now are never answered

  void Write(const std::string& aKey, const std::string& aValue)
  {
    mItems[aKey] = { aKey, aValue, ++mRevision, false };
  }
  void Delete(const std::string& aKey) { mItems[aKey] = { aKey, "", ++mRevision, true }; }
};

// One instance's connection to the store, which the test can cut.
class StoreConnection final
  : public store::Store
  , public store::ChangeFeed
{
public:
  StoreConnection(asio::io_context& aContext,
                  const StoreContent& aContent,
                  const bool& aCut)
    : mContext(aContext)
    , mContent(aContent)
    , mCut(aCut)
  {
  }

  Awaitable<store::Value> Read(std::string) override
  {
    co_await SimulateRoundTrip();
    co_return store::Value();
  }
  Awaitable<store::Value> Watch(std::string,
                                std::uint64_t,
                                std::chrono::milliseconds) override
  {
    co_await SimulateRoundTrip();
    co_return store::Value();
  }
  Awaitable<bool> CompareAndSwap(std::string, std::uint64_t, std::string) override
  {
    co_await SimulateRoundTrip();
    co_return true;
  }
  Awaitable<std::vector<store::ListedInstance>> Instances() override
  {
    co_await SimulateRoundTrip();
    co_return std::vector<store::ListedInstance>();
  }
  Awaitable<void> Announce(store::ListedInstance) override
  {
    co_await SimulateRoundTrip();
  }

  Awaitable<store::ItemBatch> List(std::string aPrefix) override
  {
    ++mFeedCalls;
    co_await SimulateRoundTrip();
    store::ItemBatch items = ItemsAfter(aPrefix, 0);
    std::erase_if(items.mItems, [](const store::Item& aItem) { return aItem.mDeleted; });
    co_return items;
  }
  Awaitable<store::ItemBatch> WatchChanges(std::string aPrefix,
                                           std::uint64_t aAfter,
                                           store::WatchTime aTime) override
  {
    ++mFeedCalls;
    mAbandoned.erase(aPrefix);
    bool lost = mContent.mSilent;
    auto end = std::chrono::steady_clock::now() + aTime.mWait;
    for (;;) {
      co_await Wait(kPollInterval);
      auto now = std::chrono::steady_clock::now();
      store::ItemBatch items = ItemsAfter(aPrefix, aAfter);
      bool answers = now >= end || !items.mItems.empty();
      lost = lost || (answers && mContent.mSilent);
      if (answers && !lost) {
        co_return items;
      }
      if (mAbandoned.contains(aPrefix) || now >= end + aTime.mAnswer) {
        throw store::StoreError("the watch was given up or not answered");
      }
    }
  }
  void AbandonWatch(const std::string& aPrefix) override { mAbandoned.insert(aPrefix); }

  unsigned mFeedCalls = 0; // listings and watches

private:
  Awaitable<void> Wait(std::chrono::milliseconds aTime) const
  {
    asio::steady_timer timer(mContext, aTime);
    co_await timer.async_wait(asio::use_awaitable);
    if (mCut) {
      throw store::StoreError("the connection to the store is cut");
    }
  }

  Awaitable<void> SimulateRoundTrip() const
  {
    bool lost = mContent.mSilent;
    co_await Wait(kPollInterval);
    if (lost || mContent.mSilent) {
      co_await Wait(kCallTimeout);
      throw store::StoreError("the store did not answer");
    }
  }

  store::ItemBatch ItemsAfter(const std::string& aPrefix, std::uint64_t aAfter) const
  {
    store::ItemBatch items;
    for (const auto& [key, item] : mContent.mItems) {
      if (key.starts_with(aPrefix) && item.mRevision > aAfter) {
        items.mItems.push_back(item);
      }
    }
    items.mRevision = mContent.mRevision;
    return items;
  }

  asio::io_context& mContext;
  const StoreContent& mContent;
  const bool& mCut;
  std::set<std::string> mAbandoned; // prefixes
};

// Items under kServerPrefix have a server's state as value; an item under kOperatorPrefix
// marks a data centre as evacuated while it exists.
class TestDecoder final : public daemon::ItemDecoder
{
public:
  daemon::DecodedItem Decode(const store::Item& aItem) const override
  {
    if (aItem.mKey.starts_with(kOperatorPrefix)) {
      return daemon::Evacuation{ aItem.mKey.substr(OperatorPrefix().size()),
                                 !aItem.mDeleted };
    }
    std::string id = aItem.mKey.substr(ServerPrefix().size());
    if (aItem.mDeleted) {
      return daemon::ServerDeregistered{ id };
    }
    if (aItem.mValue == "throw") {
      throw std::runtime_error("an unexpected error");
    }
    if (aItem.mValue == "unreadable") {
      return daemon::UnreadableItem{ "unreadable", id };
    }
    decide::Registration registration;
    registration.mId = id;
    registration.mDraining = aItem.mValue == "draining";
    return registration;
  }
  std::string OperatorPrefix() const override { return kOperatorPrefix; }
  std::string ServerPrefix() const override { return kServerPrefix; }
  std::string ConfigKey() const override { return "operators-config"; }
};

std::string FreeAddress()
{
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

entry::InstanceSettings SettingsOf(const std::string& aAddress,
                                   const std::string& aPeer,
                                   const std::string& aDataCentre = "d1")
{
  entry::InstanceSettings settings;
  settings.mDataCentre = aDataCentre;
  settings.mPeerAddress = aAddress;
  settings.mSeeds = aPeer + "@d1";
  settings.mTicketLifetime = 30s;
  settings.mRequestTimeout = 10s;
  return settings;
}

// An entry instance that follows the store through its own connection.
struct FollowingInstance
{
  bool mCut = false;
  StoreConnection* mStore = nullptr;
  TestDecoder mDecoder;
  entry::NativeFormat mFormat;
  daemon::Instance mInstance;
  std::unique_ptr<daemon::Follower> mFollower;

  FollowingInstance(const StoreContent& aContent,
                    const std::string& aAddress,
                    const std::string& aPeer,
                    const std::string& aDataCentre = "d1")
    : mInstance(
        SettingsOf(aAddress, aPeer, aDataCentre),
        mFormat,
        [&] {
          auto store =
            std::make_unique<StoreConnection>(mInstance.mContext, aContent, mCut);
          mStore = store.get();
          return store;
        },
        daemon::DispatchMode::Direct)
    , mFollower(
        std::make_unique<daemon::Follower>(mInstance.mCore, *mStore, *mStore, mDecoder))
  {
    mInstance.mLoops.Start(daemon::Loops::ConfigSource::PlatformStore);
    mFollower->Start();
  }

  bool HasServer(const std::string& aServer) const
  {
    return mInstance.mCore.mFleet.Servers().contains(aServer);
  }
  bool IsLeavingOrGone(const std::string& aServer) const
  {
    const auto& servers = mInstance.mCore.mFleet.Servers();
    auto found = servers.find(aServer);
    return found == servers.end() || found->second->mRegistration.mDraining;
  }
};

// Two instances of one data centre, peers of each other.
struct InstancePair
{
  std::string mAddressA = FreeAddress();
  std::string mAddressB = FreeAddress();
  StoreContent mContent;
  FollowingInstance mA{ mContent, mAddressA, mAddressB };
  FollowingInstance mB{ mContent, mAddressB, mAddressA };

  // Runs both instances until the condition holds. Returns false if it does not hold
  // within 10 s, which is far more than is needed.
  template<typename Condition>
  bool RunUntil(Condition aCondition)
  {
    auto end = std::chrono::steady_clock::now() + 10s;
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      mA.mInstance.mContext.run_for(5ms);
      mB.mInstance.mContext.run_for(5ms);
    }
    return true;
  }

  // Runs both contexts while the peer servers close, because peer calls in flight
  // complete there.
  ~InstancePair()
  {
    bool closed = false;
    std::thread closer([&] {
      mA.mInstance.mPeerServer.Close();
      mB.mInstance.mPeerServer.Close();
      asio::post(mA.mInstance.mContext, [&] { closed = true; });
    });
    RunUntil([&] { return closed; });
    closer.join();
  }
};

// Closes the peer servers of instances while aRunUntil runs them, because peer calls in
// flight complete there. aRunUntil: runs all until a condition holds.
template<typename RunUntil>
void ClosePeerServers(std::vector<std::unique_ptr<FollowingInstance>>& aInstances,
                      RunUntil aRunUntil)
{
  bool closed = false;
  std::thread closer([&] {
    for (auto& instance : aInstances) {
      instance->mInstance.mPeerServer.Close();
    }
    asio::post(aInstances[0]->mInstance.mContext, [&] { closed = true; });
  });
  aRunUntil([&] { return closed; });
  closer.join();
}

// Three instances of one data centre. The first has the lowest address.
struct InstanceTrio
{
  std::array<std::string, 3> mAddresses{ FreeAddress(), FreeAddress(), FreeAddress() };
  StoreContent mContent;
  std::vector<std::unique_ptr<FollowingInstance>> mInstances;
  std::set<std::size_t> mFrozen; // indexes of instances that do not run

  InstanceTrio()
  {
    std::ranges::sort(mAddresses);
    std::string seeds = fmt::format("{}@d1", fmt::join(mAddresses, "@d1,"));
    seeds.resize(seeds.size() - std::string("@d1").size());
    for (const std::string& address : mAddresses) {
      mInstances.push_back(std::make_unique<FollowingInstance>(mContent, address, seeds));
    }
    mContent.Write("servers/i-1", "ready");
  }

  entry::Core& CoreOf(std::size_t aIndex) { return mInstances[aIndex]->mInstance.mCore; }
  unsigned FeedCalls(std::size_t aIndex)
  {
    return mInstances[aIndex]->mStore->mFeedCalls;
  }

  // Runs the instances that are not frozen until the condition holds. Returns false if it
  // does not hold within aMost.
  template<typename Condition>
  bool RunUntil(Condition aCondition, std::chrono::milliseconds aMost = 20s)
  {
    auto end = std::chrono::steady_clock::now() + aMost;
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      for (std::size_t i = 0; i < mInstances.size(); ++i) {
        if (!mFrozen.contains(i)) {
          mInstances[i]->mInstance.mContext.run_for(3ms);
        }
      }
    }
    return true;
  }

  // Runs until the two others follow the first.
  bool Settle()
  {
    unsigned callsBefore = 0;
    auto settled = [&] {
      unsigned calls = FeedCalls(1) + FeedCalls(2);
      return calls == std::exchange(callsBefore, calls) &&
             mInstances[1]->HasServer("i-1");
    };
    return RunUntil([&] {
      RunUntil([] { return false; }, 2s);
      return settled();
    });
  }

  ~InstanceTrio()
  {
    mFrozen.clear();
    ClosePeerServers(mInstances, [this](auto aCondition) { RunUntil(aCondition); });
  }
};

// Eight instances in as many data centres, so that each follows the store for itself.
struct SmallSite
{
  static constexpr std::size_t kInstances = 8;

  StoreContent mContent;
  std::vector<std::unique_ptr<FollowingInstance>> mInstances;

  SmallSite()
  {
    std::string first = FreeAddress();
    for (std::size_t i = 0; i < kInstances; ++i) {
      mInstances.push_back(std::make_unique<FollowingInstance>(
        mContent, i == 0 ? first : FreeAddress(), first, "d" + std::to_string(i + 1)));
    }
    mContent.Write("servers/i-1", "ready");
  }

  // Runs all instances until the condition holds. Returns false if it does not hold
  // within aMost.
  template<typename Condition>
  bool RunUntil(Condition aCondition, std::chrono::milliseconds aMost)
  {
    auto end = std::chrono::steady_clock::now() + aMost;
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      for (auto& instance : mInstances) {
        instance->mInstance.mContext.poll();
      }
      std::this_thread::sleep_for(1ms);
    }
    return true;
  }

  void RunFor(std::chrono::milliseconds aTime)
  {
    RunUntil([] { return false; }, aTime);
  }

  bool AllKnowEachOther()
  {
    return std::ranges::all_of(mInstances, [](auto& aInstance) {
      entry::Core& core = aInstance->mInstance.mCore;
      return core.mMembers.AliveCount(core.Now()) == kInstances - 1;
    });
  }
  bool AllSee(const std::string& aServer)
  {
    return std::ranges::all_of(
      mInstances, [&](auto& aInstance) { return aInstance->HasServer(aServer); });
  }

  ~SmallSite()
  {
    ClosePeerServers(mInstances, [this](auto aCondition) { RunUntil(aCondition, 60s); });
  }
};

} // namespace

// Guards against requests to servers that have left (DRAIN): a watch that is sent while
// the store is silent is lost, and instances were blind until its end, up to 6 s after
// the store's return.
TEST_CASE("all instances learn of changes within a second of the end of a silence")
{
  SmallSite site;
  REQUIRE(
    site.RunUntil([&] { return site.AllKnowEachOther() && site.AllSee("i-1"); }, 20s));
  std::chrono::milliseconds length{};
  SUBCASE("a short one, just after a change that ended all watches")
  {
    site.mContent.Write("servers/i-2", "ready");
    REQUIRE(site.RunUntil([&] { return site.AllSee("i-2"); }, 2s));
    length = 900ms;
  }
  SUBCASE("a short one in the middle of all watches")
  {
    site.RunFor(1700ms);
    length = 300ms;
  }
  SUBCASE("one that is longer than a watch")
  {
    length = 5600ms;
  }
  site.mContent.mSilent = true;
  site.RunFor(length);
  site.mContent.mSilent = false;
  site.mContent.Write("servers/i-3", "ready");
  CHECK(site.RunUntil([&] { return site.AllSee("i-3"); }, 1s));
}

// Guards against a price of store calls that grows with the number of instances: each
// watched every change for itself.
TEST_CASE("one of three instances watches the store, and the others learn at once")
{
  InstanceTrio trio;
  REQUIRE(trio.Settle());
  unsigned watcherCalls = trio.FeedCalls(0);
  unsigned otherCalls = trio.FeedCalls(1) + trio.FeedCalls(2);
  trio.mContent.Write("servers/i-1", "draining");
  trio.mContent.Write("operators/d1", "");
  CHECK(trio.RunUntil([&] {
    return trio.mInstances[1]->IsLeavingOrGone("i-1") &&
           trio.mInstances[2]->IsLeavingOrGone("i-1") &&
           trio.CoreOf(2).mFleet.IsEvacuated("d1");
  }));
  CHECK(trio.FeedCalls(0) > watcherCalls);
  CHECK(trio.FeedCalls(1) + trio.FeedCalls(2) == otherCalls);
}

// Guards against requests to a server that has left because the watcher, alone or with
// the one that would take over, hears nothing of the store.
TEST_CASE("the others learn of changes though watchers are frozen or cut from the store")
{
  InstanceTrio trio;
  REQUIRE(trio.Settle());
  SUBCASE("the watcher is frozen")
  {
    trio.mFrozen = { 0 };
  }
  SUBCASE("the watcher and the next one are frozen")
  {
    trio.mFrozen = { 0, 1 };
  }
  SUBCASE("the store does not answer the watcher")
  {
    trio.mInstances[0]->mCut = true;
  }
  SUBCASE("the store answers only one that does not watch")
  {
    trio.mInstances[0]->mCut = true;
    trio.mInstances[1]->mCut = true;
  }
  SUBCASE("the watcher is cut from the store and the next one frozen")
  {
    trio.mInstances[0]->mCut = true;
    trio.mFrozen = { 1 };
  }
  trio.mContent.Write("servers/i-1", "draining");
  CHECK(trio.RunUntil([&] { return trio.mInstances[2]->IsLeavingOrGone("i-1"); }));
  trio.mFrozen.clear();
  CHECK(trio.RunUntil([&] { return trio.mInstances[0]->IsLeavingOrGone("i-1"); }));
}

// Guards against requests to a server that has left: an instance that was cut off from
// the store kept the registrations as they were before the cut.
TEST_CASE("an instance cut off from the store learns from peers that a server leaves")
{
  InstancePair pair;
  pair.mContent.Write("servers/i-1", "ready");
  pair.mContent.Write("servers/i-2", "ready");
  REQUIRE(
    pair.RunUntil([&] { return pair.mB.HasServer("i-1") && pair.mB.HasServer("i-2"); }));
  pair.mB.mCut = true;
  pair.mContent.Write("servers/i-1", "draining");
  pair.mContent.Delete("servers/i-2");
  REQUIRE(pair.RunUntil([&] { return pair.mA.IsLeavingOrGone("i-1"); }));
  CHECK(pair.RunUntil([&] { return pair.mB.IsLeavingOrGone("i-1"); }));
  CHECK(pair.RunUntil([&] { return pair.mB.IsLeavingOrGone("i-2"); }));
}

// Guards against requests to a server whose registration was removed while one instance
// could not reach the store: that instance kept the server for the grace period of a
// store outage, although the store was available to its peers.
TEST_CASE("a server removed while one instance is cut off gets no grace period there")
{
  InstancePair pair;
  pair.mContent.Write("servers/i-1", "ready");
  pair.mContent.Write("servers/i-2", "ready");
  REQUIRE(
    pair.RunUntil([&] { return pair.mB.HasServer("i-1") && pair.mB.HasServer("i-2"); }));
  pair.mB.mCut = true;
  REQUIRE(pair.RunUntil([&] { return !pair.mB.mInstance.mCore.mStoreAvailable; }));
  pair.mContent.Delete("servers/i-2");
  pair.mContent.Write("servers/i-1", "draining");
  CHECK(pair.RunUntil([&] { return pair.mB.IsLeavingOrGone("i-1"); }));
  CHECK_FALSE(pair.mB.HasServer("i-2"));
}

// Guards against requests to an evacuated data centre: an instance that could not reach
// the store missed the operators' evacuation.
TEST_CASE("an instance cut off from the store learns of an evacuation from peers")
{
  InstancePair pair;
  pair.mContent.Write("servers/i-1", "ready");
  REQUIRE(pair.RunUntil([&] { return pair.mB.HasServer("i-1"); }));
  pair.mB.mCut = true;
  pair.mContent.Write("operators/d1", "");
  CHECK(pair.RunUntil([&] { return pair.mB.mInstance.mCore.mFleet.IsEvacuated("d1"); }));
  pair.mContent.Delete("operators/d1");
  CHECK(pair.RunUntil([&] { return !pair.mB.mInstance.mCore.mFleet.IsEvacuated("d1"); }));
}

// Guards against an instance that knows no servers and cannot serve, because it started
// while it could not reach the store.
TEST_CASE("an instance that starts cut off from the store learns the servers from peers")
{
  InstancePair pair;
  pair.mB.mCut = true;
  pair.mContent.Write("servers/i-1", "ready");
  pair.mContent.Write("servers/i-2", "ready");
  CHECK(
    pair.RunUntil([&] { return pair.mB.HasServer("i-1") && pair.mB.HasServer("i-2"); }));
}

// Guards against following that ends, or loses items, because of one odd entry.
TEST_CASE("an item that cannot be applied does not keep the others from being applied")
{
  InstancePair pair;
  pair.mContent.Write("servers/i-1", "throw");
  pair.mContent.Write("servers/i-2", "ready");
  CHECK(pair.RunUntil([&] { return pair.mA.HasServer("i-2"); }));
  pair.mContent.Write("servers/i-3", "throw");
  pair.mContent.Write("servers/i-4", "ready");
  CHECK(pair.RunUntil([&] { return pair.mA.HasServer("i-4"); }));
  CHECK_FALSE(pair.mA.HasServer("i-1"));
}

TEST_CASE("a registration that becomes unreadable names no server any more")
{
  InstancePair pair;
  pair.mContent.Write("servers/i-1", "ready");
  REQUIRE(pair.RunUntil([&] { return pair.mA.HasServer("i-1"); }));
  pair.mContent.Write("servers/i-1", "unreadable");
  CHECK(pair.RunUntil([&] { return !pair.mA.HasServer("i-1"); }));
}

TEST_CASE("settings that cannot be read at a reload do not end the process")
{
  bool called = false;
  CHECK_NOTHROW(daemon::Reload([&] {
    called = true;
    throw base::SettingError("the file is being written");
  }));
  CHECK(called);
}

TEST_CASE("a background loop goes on after an unexpected error")
{
  asio::io_context context;
  int runs = 0;
  entry::SpawnLoop(context, "test", [&]() -> Awaitable<void> {
    if (++runs == 1) {
      throw std::runtime_error("an unexpected error");
    }
    co_return;
  });
  context.run();
  CHECK(runs == 2);
}
