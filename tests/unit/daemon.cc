// Tests of the package daemon: instances that follow a store, in one process.
#include <doctest/doctest.h>

#include <thread>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "canned.h"
#include "daemon/follow.h"
#include "daemon/instance.h"

using namespace vanillaloft;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
template<typename T>
using Awaitable = asio::awaitable<T>;

constexpr const char* kServers = "servers/";
constexpr const char* kOperators = "operators/";
constexpr auto kPoll = 20ms;

// What all instances of a test read.
struct Content
{
  std::map<std::string, store::Item> mItems; // deleted ones, too
  std::uint64_t mRevision = 1;

  void Write(const std::string& aKey, const std::string& aValue)
  {
    mItems[aKey] = { aKey, aValue, ++mRevision, false };
  }
  void Delete(const std::string& aKey) { mItems[aKey] = { aKey, "", ++mRevision, true }; }
};

// One instance's way to the store, which can be cut.
class LinkedStore final
  : public store::Store
  , public store::ChangeFeed
{
public:
  LinkedStore(asio::io_context& aContext, const Content& aContent, const bool& aCut)
    : mContext(aContext)
    , mContent(aContent)
    , mCut(aCut)
  {
  }

  Awaitable<store::Value> Read(std::string) override
  {
    co_await Pass();
    co_return store::Value();
  }
  Awaitable<store::Value> Watch(std::string,
                                std::uint64_t,
                                std::chrono::milliseconds) override
  {
    co_await Pass();
    co_return store::Value();
  }
  Awaitable<bool> CompareAndSwap(std::string, std::uint64_t, std::string) override
  {
    co_await Pass();
    co_return true;
  }
  Awaitable<std::vector<store::ListedInstance>> Instances() override
  {
    co_await Pass();
    co_return std::vector<store::ListedInstance>();
  }
  Awaitable<void> Announce(store::ListedInstance) override { co_await Pass(); }

  Awaitable<store::ItemBatch> List(std::string aPrefix) override
  {
    co_await Pass();
    store::ItemBatch items = Behind(aPrefix, 0);
    std::erase_if(items.mItems, [](const store::Item& aItem) { return aItem.mDeleted; });
    co_return items;
  }
  Awaitable<store::ItemBatch> WatchChanges(std::string aPrefix,
                                           std::uint64_t aAfter,
                                           std::chrono::milliseconds aWait) override
  {
    for (std::chrono::milliseconds waited{}; waited < aWait; waited += kPoll) {
      co_await Pass();
      store::ItemBatch items = Behind(aPrefix, aAfter);
      if (!items.mItems.empty()) {
        co_return items;
      }
    }
    co_return Behind(aPrefix, aAfter);
  }

private:
  Awaitable<void> Pass() const
  {
    asio::steady_timer timer(mContext, kPoll);
    co_await timer.async_wait(asio::use_awaitable);
    if (mCut) {
      throw store::StoreError("cut off");
    }
  }

  store::ItemBatch Behind(const std::string& aPrefix, std::uint64_t aAfter) const
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
  const Content& mContent;
  const bool& mCut;
};

// A server's value is its state, a data centre's that it is evacuated.
class PlainReader final : public daemon::ItemReader
{
public:
  daemon::Belief Read(const store::Item& aItem) const override
  {
    if (aItem.mKey.starts_with(kOperators)) {
      return daemon::Evacuation{ aItem.mKey.substr(OperatorPrefix().size()),
                                 !aItem.mDeleted };
    }
    std::string id = aItem.mKey.substr(ServerPrefix().size());
    if (aItem.mDeleted) {
      return daemon::ServerLeft{ id };
    }
    decide::Registration registration;
    registration.mId = id;
    registration.mDraining = aItem.mValue == "draining";
    return registration;
  }
  std::string OperatorPrefix() const override { return kOperators; }
  std::string ServerPrefix() const override { return kServers; }
  std::string ConfigKey() const override { return "operators-config"; }
};

std::string FreeAddress()
{
  asio::io_context context;
  asio::ip::tcp::acceptor any(context, { asio::ip::address_v4::loopback(), 0 });
  return "127.0.0.1:" + std::to_string(any.local_endpoint().port());
}

entry::InstanceSettings SettingsOf(const std::string& aAddress, const std::string& aPeer)
{
  entry::InstanceSettings settings;
  settings.mDataCentre = "d1";
  settings.mPeerAddress = aAddress;
  settings.mSeeds = aPeer + "@d1";
  settings.mTicketLifetime = 30s;
  settings.mRequestTimeout = 10s;
  return settings;
}

// An instance that follows the store.
struct Node
{
  bool mCut = false;
  LinkedStore* mStore = nullptr;
  PlainReader mReader;
  entry::OwnFormat mFormat;
  daemon::Instance mInstance;
  std::unique_ptr<daemon::Follower> mFollower;

  Node(const Content& aContent, const std::string& aAddress, const std::string& aPeer)
    : mInstance(
        SettingsOf(aAddress, aPeer),
        mFormat,
        [&] {
          auto store = std::make_unique<LinkedStore>(mInstance.mContext, aContent, mCut);
          mStore = store.get();
          return store;
        },
        daemon::Reach::Direct)
    , mFollower(
        std::make_unique<daemon::Follower>(mInstance.mCore, *mStore, *mStore, mReader))
  {
    mInstance.mLoops.Start(daemon::Loops::Source::Followed);
    mFollower->Start();
  }

  bool Knows(const std::string& aServer) const
  {
    return mInstance.mCore.mFleet.Servers().contains(aServer);
  }
  bool KnowsLeaving(const std::string& aServer) const
  {
    const auto& servers = mInstance.mCore.mFleet.Servers();
    auto found = servers.find(aServer);
    return found == servers.end() || found->second->mRegistration.mDraining;
  }
};

// Two instances of one data centre, peers of each other.
struct Pair
{
  std::string mAddressA = FreeAddress();
  std::string mAddressB = FreeAddress();
  Content mContent;
  Node mA{ mContent, mAddressA, mAddressB };
  Node mB{ mContent, mAddressB, mAddressA };

  // Runs both until the condition holds; false if it does not within the time, which is
  // far more than is needed.
  template<typename Condition>
  bool Until(Condition aCondition)
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

  // Calls of peers under way complete on the instances' contexts.
  ~Pair()
  {
    bool closed = false;
    std::thread closer([&] {
      mA.mInstance.mPeers.Close();
      mB.mInstance.mPeers.Close();
      asio::post(mA.mInstance.mContext, [&] { closed = true; });
    });
    Until([&] { return closed; });
    closer.join();
  }
};

} // namespace

// Guards against requests to a server that has left, from an instance whose knowledge
// became as old as its cut from the store.
TEST_CASE("an instance cut off from the store hears from peers that a server leaves")
{
  Pair pair;
  pair.mContent.Write("servers/i-1", "ready");
  pair.mContent.Write("servers/i-2", "ready");
  REQUIRE(pair.Until([&] { return pair.mB.Knows("i-1") && pair.mB.Knows("i-2"); }));
  pair.mB.mCut = true;
  pair.mContent.Write("servers/i-1", "draining");
  pair.mContent.Delete("servers/i-2");
  REQUIRE(pair.Until([&] { return pair.mA.KnowsLeaving("i-1"); }));
  CHECK(pair.Until([&] { return pair.mB.KnowsLeaving("i-1"); }));
  CHECK(pair.Until([&] { return pair.mB.KnowsLeaving("i-2"); }));
}

// Guards against requests to a server whose registration was removed while one instance
// could not reach the store: that instance waited for the registration to come back.
TEST_CASE("a server that was removed during an instance's own cut is not waited for")
{
  Pair pair;
  pair.mContent.Write("servers/i-1", "ready");
  pair.mContent.Write("servers/i-2", "ready");
  REQUIRE(pair.Until([&] { return pair.mB.Knows("i-1") && pair.mB.Knows("i-2"); }));
  pair.mB.mCut = true;
  REQUIRE(pair.Until([&] { return !pair.mB.mInstance.mCore.mStoreAvailable; }));
  pair.mContent.Delete("servers/i-2");
  pair.mContent.Write("servers/i-1", "draining");
  CHECK(pair.Until([&] { return pair.mB.KnowsLeaving("i-1"); }));
  CHECK_FALSE(pair.mB.Knows("i-2"));
}

// Guards against an instance that goes on sending to a data centre which operators
// evacuated while it could not reach the store.
TEST_CASE("an instance cut off from the store hears from peers of an evacuation")
{
  Pair pair;
  pair.mContent.Write("servers/i-1", "ready");
  REQUIRE(pair.Until([&] { return pair.mB.Knows("i-1"); }));
  pair.mB.mCut = true;
  pair.mContent.Write("operators/d1", "");
  CHECK(pair.Until([&] { return pair.mB.mInstance.mCore.mFleet.IsEvacuated("d1"); }));
  pair.mContent.Delete("operators/d1");
  CHECK(pair.Until([&] { return !pair.mB.mInstance.mCore.mFleet.IsEvacuated("d1"); }));
}

// Guards against an instance that is useless because it started while it could not reach
// the store.
TEST_CASE("an instance that starts cut off from the store hears from peers which servers "
          "there are")
{
  Pair pair;
  pair.mB.mCut = true;
  pair.mContent.Write("servers/i-1", "ready");
  pair.mContent.Write("servers/i-2", "ready");
  CHECK(pair.Until([&] { return pair.mB.Knows("i-1") && pair.mB.Knows("i-2"); }));
}
