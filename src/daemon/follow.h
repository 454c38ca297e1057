// Keeps an instance's beliefs equal to what operators and backend servers write to the
// platform's store.
#pragma once

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

// What an item of the store says.
struct ServerLeft
{
  std::string mId;
};
struct Evacuation
{
  std::string mDataCentre;
  bool mActive = false;
};
// An item that cannot be read or comes from another writer; nothing follows from it.
struct Unreadable
{
  std::string mCause;
};
using Belief = std::
  variant<decide::ConfigPtr, decide::Registration, ServerLeft, Evacuation, Unreadable>;

// Decodes the items of a platform's store.
class ItemReader
{
public:
  virtual ~ItemReader() = default;
  virtual Belief Read(const store::Item& aItem) const = 0;
  virtual std::string OperatorPrefix() const = 0;
  virtual std::string ServerPrefix() const = 0;
  virtual std::string ConfigKey() const = 0;
};

class Follower
{
public:
  Follower(entry::Core& aCore,
           store::Store& aStore,
           store::ChangeFeed& aFeed,
           const ItemReader& aReader)
    : mCore(aCore)
    , mStore(aStore)
    , mFeed(aFeed)
    , mReader(aReader)
  {
  }

  void Start();

private:
  // Where following a prefix stands.
  struct Position
  {
    store::Replica& mReplica;
    std::string mPrefix;
    bool mHistoryGone = false; // all must be listed
    unsigned mFailures = 0;    // since the last call that succeeded
    Instant mSaidAt{};         // when a failure was logged
  };
  // One call that follows a prefix.
  struct FeedCall
  {
    bool mLists; // or asks for changes
    Instant mAsked;
    std::optional<Instant> mAsOf; // of the replica, when it was asked
  };

  Awaitable<void> Follow(store::StoreSection aPart, std::string aPrefix);
  // Returns the number of items that came.
  Awaitable<std::size_t> Step(Position& aPosition, FeedCall aCall);
  std::string Describe(const Position& aPosition, const FeedCall& aCall) const;
  void NoteRead(Position& aPosition, const FeedCall& aCall, std::size_t aItems);
  void NoteFailure(Position& aPosition, const FeedCall& aCall, const char* aCause);
  Awaitable<void> ConfirmConfig();
  Awaitable<void> ConfirmOnce();
  Awaitable<void> RemoveLater(std::string aId, Duration aKept);
  void ApplyAll(const std::vector<store::Item>& aItems);
  void Apply(const store::Item& aItem);
  void Take(const decide::ConfigPtr& aConfig);
  void Take(const decide::Registration& aRegistration);
  void Take(const ServerLeft& aLeft);
  void Take(const Evacuation& aEvacuation);
  void Take(const Unreadable& aUnreadable);

  entry::Core& mCore;
  store::Store& mStore;
  store::ChangeFeed& mFeed;
  const ItemReader& mReader;
  std::minstd_rand mRandom{ std::random_device{}() };
};

} // namespace vanillaloft::daemon
