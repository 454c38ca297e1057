#include "daemon/instance.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>
#include <openssl/rand.h>

namespace vanillaloft::daemon {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kSecretBytes = 32;
// Longest time for the last replies to peers. One that is frozen does not take them.
constexpr Duration kPeerCloseTime = std::chrono::milliseconds(100);

std::string RandomSecret()
{
  std::string secret(kSecretBytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(secret.data()), int(kSecretBytes)) !=
      1) {
    throw std::runtime_error("OpenSSL returned no random bytes");
  }
  return secret;
}

void ChangeSignalMask(int aHow)
{
  sigset_t signals;
  sigemptyset(&signals);
  for (int signal : { SIGTERM, SIGINT, SIGHUP }) {
    sigaddset(&signals, signal);
  }
  pthread_sigmask(aHow, &signals, nullptr);
}

std::uint64_t RandomStartId()
{
  std::random_device device;
  return (std::uint64_t(device()) << 32) | device();
}

} // namespace

void DeferSignals()
{
  ChangeSignalMask(SIG_BLOCK);
}

void AddSeeds(decide::Members& aMembers, const std::string& aSeeds)
{
  for (std::size_t from = 0; from < aSeeds.size();) {
    std::size_t to = std::min(aSeeds.find(',', from), aSeeds.size());
    std::string seed = aSeeds.substr(from, to - from);
    std::size_t at = std::min(seed.find('@'), seed.size());
    base::ParseHostPort("--seeds", seed.substr(0, at));
    aMembers.AddAddress(seed.substr(0, at),
                        at < seed.size() ? seed.substr(at + 1) : std::string());
    from = to + 1;
  }
}

Instance::Instance(entry::InstanceSettings aSettings,
                   const entry::Format& aFormat,
                   std::function<std::unique_ptr<store::Store>()> aMakeStore,
                   DispatchMode aDispatchMode)
  : mStore(aMakeStore())
  , mCore(mContext,
          mClock,
          aSettings,
          { aSettings.mPeerAddress, RandomStartId() },
          RandomSecret())
  , mAdmission(mCore)
  , mBackend(mCore, aFormat)
  , mDirectPlacement(mCore, mBackend)
  , mPipeline(mCore,
              mAdmission,
              mBackend,
              aDispatchMode == DispatchMode::Direct ? &mDirectPlacement : nullptr)
  , mLookUps(mCore)
  , mRelay(mCore, mPipeline, mAdmission.mTokens)
  , mListener(mCore, aFormat)
  , mLoops(mCore, mAdmission, mBackend, mLookUps, mRelay, *mStore)
  , mStopper(mCore, mLookUps, mListener, mLoops)
  , mPeerServer(mContext, mRelay, aSettings.mPeerAddress)
{
  AddSeeds(mCore.mMembers, aSettings.mSeeds);
}

// A settings file that cannot be read, e.g. because it is being written, changes nothing.
void Reload(const std::function<void()>& aOnReload)
{
  try {
    aOnReload();
    base::Log(spdlog::level::info, base::Event::Reloaded, "");
  } catch (const std::exception& error) {
    base::Log(spdlog::level::err,
              base::Event::ReloadFailed,
              "cause={}",
              base::Printable(error.what()));
  }
}

void Instance::AwaitReload(asio::signal_set& aSignals,
                           const std::function<void()>& aOnReload)
{
  aSignals.async_wait([&](const boost::system::error_code& aError, int) {
    if (aError) {
      return;
    }
    Reload(aOnReload);
    AwaitReload(aSignals, aOnReload);
  });
}

void Instance::Run(const std::function<void()>& aOnReload)
{
  asio::signal_set stopSignals(mContext, SIGTERM, SIGINT);
  asio::signal_set reloadSignals(mContext, SIGHUP);
  std::thread closer;
  auto onStopped = [&](const std::exception_ptr&) {
    Duration left = mCore.mStop.Left(decide::StopWait::Delivery, mCore.Now());
    auto time = std::chrono::floor<std::chrono::milliseconds>(
      std::min<Duration>(left, kPeerCloseTime));
    closer = std::thread([this, time] {
      mPeerServer.Close(time);
      mContext.stop();
    });
  };
  stopSignals.async_wait([&](const boost::system::error_code&, int) {
    asio::co_spawn(mContext, mStopper.Run(), onStopped);
  });
  AwaitReload(reloadSignals, aOnReload);
  ChangeSignalMask(SIG_UNBLOCK);
  base::Log(spdlog::level::info,
            base::Event::Started,
            "address={} data_centre={}",
            mCore.Self().mAddress,
            mCore.mSettings.mDataCentre);
  mContext.run();
  closer.join();
}

} // namespace vanillaloft::daemon
