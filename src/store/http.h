// Client of a store with the published HTTP protocol for key-value pairs, as in Consul:
// compare-and-swap (?cas=) and blocking queries (?index=&wait=).
#pragma once

#include "base/settings.h"
#include "net/http.h"
#include "store/store.h"

namespace vanillaloft::store {

// Announce() does nothing: the platform maintains the list of instances itself.
class HttpStore final : public Store
{
public:
  HttpStore(base::HostPort aAddress, std::chrono::milliseconds aTimeout)
    : mAddress(std::move(aAddress))
    , mTimeout(aTimeout)
  {
  }

  Awaitable<Value> Read(std::string aKey) override;
  Awaitable<Value> Watch(std::string aKey,
                         std::uint64_t aVersion,
                         std::chrono::milliseconds aWait) override;
  Awaitable<bool> CompareAndSwap(std::string aKey,
                                 std::uint64_t aVersion,
                                 std::string aText) override;
  Awaitable<std::vector<ListedInstance>> Instances() override;
  Awaitable<void> Announce(ListedInstance) override { co_return; }

private:
  // Sends a request. Throws StoreError if no response arrives within the timeout.
  Awaitable<net::Response> Call(net::Request aRequest,
                                std::chrono::milliseconds aTimeout);

  base::HostPort mAddress;
  std::chrono::milliseconds mTimeout; // of a call, added to the wait of a watch
};

} // namespace vanillaloft::store
