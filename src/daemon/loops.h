// The background loops of an entry instance: heartbeats, health probes, the configuration
// watch, the renewal of shares, and the planned stop.
#pragma once

#include <memory>
#include <set>

#include "decide/claim.h"
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

  // Who writes the configuration, and which component watches it.
  enum class ConfigSource : std::uint8_t
  {
    OwnStore,     // written by the vanillaloft command line, watched by these loops
    PlatformStore // written by the platform's operators, watched by a Follower
  };

  // Starts all loops on the core's io_context.
  void Start(ConfigSource aConfigSource);

  // Sends heartbeats to all peers at once, e.g. because the status of this instance
  // changed.
  void TellPeers();
  // Returns this instance's shares to the store.
  Awaitable<void> ReleaseShares();

private:
  struct LoopRow
  {
    const char* mName;
    Awaitable<void> (Loops::*mLoop)();
    bool mOwnStoreOnly; // only for ConfigSource::OwnStore
  };
  static const LoopRow kLoops[];

  Awaitable<void> TickLoop();
  Awaitable<void> HeartbeatLoop();
  Awaitable<void> SendHeartbeat(std::string aAddress);
  void SendHeartbeats();
  Awaitable<void> ProbeLoop();
  Awaitable<void> ProbeServer(std::string aServer, base::HostPort aAddress);
  Awaitable<void> WatchConfigLoop();
  Awaitable<void> ApplyStoredConfig(store::Value aValue);
  Awaitable<void> RenewSharesLoop();
  Awaitable<bool> RenewSharesOnce();
  Awaitable<void> ReadInstancesLoop();
  Awaitable<void> AnnounceLoop();
  Awaitable<void> LogStoreCallsLoop();
  void LogLostPeers();

  entry::Core& mCore;
  entry::Admission& mAdmission;
  entry::BackendClient& mBackend;
  entry::LookupHandler& mLookUps;
  entry::Relay& mRelay;
  store::Store& mStore;
  decide::ShareClaim mClaim;
  std::set<std::string> mAlivePeers;
  std::set<std::string> mHeartbeatsInFlight; // addresses with a heartbeat in flight
  std::uint64_t mConfigVersion = 0;
};

} // namespace vanillaloft::daemon
