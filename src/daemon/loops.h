// The background work of an entry instance: heartbeats, probes, the configuration watch,
// the renewal of shares and the planned stop.
#pragma once

#include <memory>
#include <set>

#include "entry/admission.h"
#include "entry/backend.h"
#include "entry/core.h"
#include "entry/lookup.h"
#include "entry/relay.h"
#include "store/store.h"

namespace vanillaloft::daemon {

using base::Duration;
using base::Instant;
template<typename T>
using Awaitable = boost::asio::awaitable<T>;

class Loops
{
public:
  Loops(entry::Core& aCore,
        entry::Admission& aAdmission,
        entry::BackendClient& aBackend,
        entry::LookupHandler& aLookUps,
        entry::Relay& aRelay,
        store::Store& aStore)
    : mCore(aCore)
    , mAdmission(aAdmission)
    , mBackend(aBackend)
    , mLookUps(aLookUps)
    , mRelay(aRelay)
    , mStore(aStore)
  {
  }

  // Where the configuration comes from.
  enum class ConfigSource : std::uint8_t
  {
    OwnStore,     // written by our command line, watched by these loops
    PlatformStore // written by the platform's operators, see follow.h
  };

  // Starts all loops on the io_context.
  void Start(ConfigSource aConfigSource);

  // The planned stop: not named by look-ups any more, serves until cached answers and
  // tickets have expired and all requests have ended, gives its shares back.
  Awaitable<void> Stop();

private:
  Awaitable<void> Tick();
  Awaitable<void> Beats();
  Awaitable<void> BeatOne(std::string aAddress);
  void BeatAll();
  Awaitable<void> Probes();
  Awaitable<void> ProbeOne(std::string aServer, base::HostPort aAddress);
  Awaitable<void> WatchConfig();
  Awaitable<void> TakeConfig(store::Value aValue);
  Awaitable<void> RenewShares();
  Awaitable<bool> RenewOnce();
  Awaitable<void> GiveSharesBack();
  Awaitable<void> ReadInstances();
  Awaitable<void> Announce();
  Duration LongestLookUpLife() const;
  Instant LastNewRequest() const;
  void NotePeers();

  entry::Core& mCore;
  entry::Admission& mAdmission;
  entry::BackendClient& mBackend;
  entry::LookupHandler& mLookUps;
  entry::Relay& mRelay;
  store::Store& mStore;
  std::set<std::string> mAlivePeers;
  std::set<std::string> mBeating; // addresses with a heartbeat under way
  std::uint64_t mConfigVersion = 0;
};

} // namespace vanillaloft::daemon
