// Creates and connects all components of one entry instance. The code that creates an
// instance chooses the format, the store and the ports.
#pragma once

#include <functional>

#include <boost/asio/signal_set.hpp>

#include "base/clock.h"
#include "daemon/loops.h"
#include "daemon/stop.h"
#include "entry/direct.h"
#include "entry/listener.h"
#include "entry/native.h"
#include "peer/peer.h"

namespace vanillaloft::daemon {

// Keeps the signals that stop or reload the process pending until Instance::Run handles
// them. To be called first, because threads inherit it.
void DeferSignals();

// How requests reach backend servers.
enum class DispatchMode : std::uint8_t
{
  ByOwner, // through the instance that owns the server, in the server's data centre
  Direct   // from every instance to every server
};

// One entry instance. The members are public, so that the code that creates it and the
// tests can reach the components.
class Instance
{
public:
  Instance(entry::InstanceSettings aSettings,
           const entry::Format& aFormat,
           std::function<std::unique_ptr<store::Store>()> aMakeStore,
           DispatchMode aDispatchMode);

  // Serves requests until the planned stop, which SIGTERM or SIGINT starts, is complete.
  // Calls aOnReload for each SIGHUP.
  void Run(const std::function<void()>& aOnReload);

  boost::asio::io_context mContext{ 1 };
  base::SystemClock mClock;
  std::unique_ptr<store::Store> mStore;
  entry::Core mCore;
  entry::Admission mAdmission;
  entry::BackendClient mBackend;
  entry::DirectPlacement mDirectPlacement;
  entry::Pipeline mPipeline;
  entry::LookupHandler mLookUps;
  entry::Relay mRelay;
  entry::Listener mListener;
  Loops mLoops;
  Stopper mStopper;
  peer::Server mPeerServer;

private:
  void AwaitReload(boost::asio::signal_set& aSignals,
                   const std::function<void()>& aOnReload);
};

// Reads the settings again by aOnReload and logs the result. Errors are logged as well.
void Reload(const std::function<void()>& aOnReload);

// Adds peer addresses from a list of "ip:port" or "ip:port@data-centre" entries separated
// by commas. Throws base::SettingError.
void AddSeeds(decide::Members& aMembers, const std::string& aSeeds);

} // namespace vanillaloft::daemon
