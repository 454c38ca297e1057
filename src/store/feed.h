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

// Items in order of key or of change.
struct Items
{
  std::vector<Item> mItems;
  std::uint64_t mRevision = 0; // of the store; changes are asked for from here on
};

// The store no longer knows the changes that were asked for; everything must be listed.
class HistoryGone : public StoreError
{
public:
  HistoryGone()
    : StoreError("the store dropped the history that was asked for")
  {
  }
};

class Feed
{
public:
  virtual ~Feed() = default;
  // All throw StoreError. A listing of several pages is not a snapshot: changes behind
  // its revision may already be in it.
  virtual Awaitable<Items> List(std::string aPrefix) = 0;
  // Answers once there is a change behind the revision or the wait is over. Throws
  // HistoryGone.
  virtual Awaitable<Items> Changes(std::string aPrefix,
                                   std::uint64_t aAfter,
                                   std::chrono::milliseconds aWait) = 0;
};

} // namespace vanillaloft::store
