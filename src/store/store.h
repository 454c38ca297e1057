// Interface to the platform's key-value store and list of instances. It is kept small so
// that an adapter for another store needs little code (about a page).
#pragma once

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace vanillaloft::store {

template<typename T>
using Awaitable = boost::asio::awaitable<T>;

// A value and its version, which compare-and-swap expects. Version 0 means that the key
// is absent.
struct Value
{
  std::uint64_t mVersion = 0;
  std::string mText;
};

// An entry of the platform's list of instances. The list lags behind the actual state.
struct ListedInstance
{
  std::string mAddress; // of the peer listener, "ip:port"
  std::string mDataCentre;
  bool mLeaving = false;
};

// A call failed or returned no valid response. A write may have taken effect or may still
// take effect later.
class StoreError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

// Time for which an instance stays listed after its last announcement.
constexpr std::chrono::seconds kAnnouncementTtl{ 12 };

// Calls to the store. All functions throw StoreError.
class Store
{
public:
  virtual ~Store() = default;
  virtual Awaitable<Value> Read(std::string aKey) = 0;
  // Returns the value as soon as its version differs from aVersion, or after aWait.
  virtual Awaitable<Value> Watch(std::string aKey,
                                 std::uint64_t aVersion,
                                 std::chrono::milliseconds aWait) = 0;
  // Returns true if the value was replaced, false if the version differed.
  virtual Awaitable<bool> CompareAndSwap(std::string aKey,
                                         std::uint64_t aVersion,
                                         std::string aText) = 0;
  virtual Awaitable<std::vector<ListedInstance>> Instances() = 0;
  // Adds this instance to the list for kAnnouncementTtl, on platforms that do not
  // maintain the list themselves.
  virtual Awaitable<void> Announce(ListedInstance aSelf) = 0;
};

} // namespace vanillaloft::store
