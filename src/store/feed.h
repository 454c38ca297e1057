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
  // after aWait. Throws HistoryCompacted.
  virtual Awaitable<ItemBatch> WatchChanges(std::string aPrefix,
                                            std::uint64_t aAfter,
                                            std::chrono::milliseconds aWait) = 0;
};

} // namespace vanillaloft::store
