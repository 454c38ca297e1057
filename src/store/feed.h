// Following what others write to the platform's store: a listing of all items under a
// prefix, then the changes behind it.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "store/store.h"

namespace vanillaloft::store {

struct Item
{
  std::string mKey;
  std::string mValue;
  std::uint64_t mRevision = 0; // of its last change
  bool mDeleted = false;
};

// ItemBatch in order of key or of change.
struct ItemBatch
{
  std::vector<Item> mItems;
  std::uint64_t mRevision = 0; // of the store; changes are asked for from here on
};

// The store no longer knows the changes that were asked for; everything must be listed.
class HistoryCompacted : public StoreError
{
public:
  HistoryCompacted()
    : StoreError("the store dropped the history that was asked for")
  {
  }
};

class ChangeFeed
{
public:
  virtual ~ChangeFeed() = default;
  // All throw StoreError. A listing of several pages is not a snapshot: changes behind
  // its revision may already be in it.
  virtual Awaitable<ItemBatch> List(std::string aPrefix) = 0;
  // Answers once there is a change behind the revision or the wait is over. Throws
  // HistoryCompacted.
  virtual Awaitable<ItemBatch> WatchChanges(std::string aPrefix,
                                            std::uint64_t aAfter,
                                            std::chrono::milliseconds aWait) = 0;
};

} // namespace vanillaloft::store
