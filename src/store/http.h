// Adapter to a store that speaks the published HTTP protocol for key-value pairs with
// compare-and-swap (?cas=) and blocking queries (?index=&wait=).
#pragma once

#include "base/settings.h"
#include "net/http.h"
#include "store/store.h"

namespace vanillaloft::store {

class HttpStore final : public Store
{
public:
  HttpStore(base::HostPort aAt, std::chrono::milliseconds aTimeout)
    : mAt(std::move(aAt))
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
  Awaitable<net::Response> Call(net::Request aRequest,
                                std::chrono::milliseconds aTimeout);

  base::HostPort mAt;
  std::chrono::milliseconds mTimeout;
};

} // namespace vanillaloft::store
