// Change feed of the platform's store: a listing of all items under a prefix, followed by
// a watch for the changes after that listing.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "store/store.h"

namespace vanillaloft::store {

// A key-value pair of the store, or its deletion.
struct Item
{
  std::string mKey;
  std::string mValue;
  std::uint64_t mRevision = 0; // revision of its last change
  bool mDeleted = false;
};

// Result of a listing, in key order, or of a watch, in order of change.
struct ItemBatch
{
  std::vector<Item> mItems;
  std::uint64_t mRevision = 0; // of the store; the next watch starts after it
};

// How long a watch waits at the store for changes, and the time in which the answer must
// then arrive. A store that is silent cannot be told from one without changes before.
struct WatchTime
{
  std::chrono::milliseconds mWait;
  std::chrono::milliseconds mAnswer;
};

// The store no longer has the changes after the requested revision, so that a new listing
// is required.
class HistoryCompacted : public StoreError
{
public:
  HistoryCompacted()
    : StoreError("the store no longer has the changes after the requested revision")
  {
  }
};

// Reads and watches the items under a key prefix.
class ChangeFeed
{
public:
  virtual ~ChangeFeed() = default;
  // All functions throw StoreError.
  // Lists all items under the prefix. A listing of several pages is not a snapshot: it
  // may already contain changes after its revision.
  virtual Awaitable<ItemBatch> List(std::string aPrefix) = 0;
  // Returns the changes after revision aAfter as soon as there are any, or an empty batch
  // after aTime.mWait. Throws HistoryCompacted, and StoreError if no byte of the answer
  // arrives within the time.
  virtual Awaitable<ItemBatch> WatchChanges(std::string aPrefix,
                                            std::uint64_t aAfter,
                                            WatchTime aTime) = 0;
  // Ends the watch of a prefix that is in flight, if there is one. It throws StoreError.
  virtual void AbandonWatch(const std::string& aPrefix) = 0;
};

} // namespace vanillaloft::store
