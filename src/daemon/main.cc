// vanillaloftd: one entry instance.
#include <csignal>
#include <iostream>
#include <random>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <openssl/rand.h>
#include <spdlog/sinks/stdout_sinks.h>

#include "base/settings.h"
#include "daemon/loops.h"
#include "daemon/runner.h"
#include "entry/session.h"
#include "store/http.h"

namespace {

using namespace vanillaloft;

constexpr int kExitOk = 0;
constexpr int kExitSetting = 2;
constexpr int kExitFailure = 1;
constexpr std::size_t kSecretBytes = 32;
constexpr std::chrono::milliseconds kStoreTimeout{ 1000 };

const std::vector<base::Flag> kFlags = {
  { "data-centre", "", true, "name of this instance's data centre in the configuration" },
  { "listen", "", true, "IP address and port for callers" },
  { "peer-listen", "", true, "IP address and port for other instances" },
  { "admin-listen", "", true, "IP address and port for operators" },
  { "store", "", true, "IP address and port of the platform's store" },
  { "seeds",
    "",
    false,
    "instances to try first: IP:PORT@DATA-CENTRE, separated by commas" },
  { "ticket-ttl-ms", "30000", false, "life of order tickets" },
  { "request-timeout-ms", "10000", false, "longest time in which a request must arrive" },
  { "stop-timeout-ms", "60000", false, "longest planned stop" },
  { "log-level", "info", false, "debug, info, warning or error" },
};

entry::InstanceSettings ToInstanceSettings(const base::Settings& aSettings)
{
  entry::InstanceSettings settings;
  settings.mDataCentre = aSettings.Text("data-centre");
  settings.mListen = aSettings.Address("listen");
  aSettings.Address("peer-listen");
  settings.mPeerAddress = aSettings.Text("peer-listen");
  settings.mStore = aSettings.Address("store");
  settings.mSeeds = aSettings.Text("seeds");
  settings.mTicketLife = aSettings.Milliseconds("ticket-ttl-ms", 100, 3'600'000);
  settings.mRequestTimeout = aSettings.Milliseconds("request-timeout-ms", 100, 600'000);
  settings.mStopTimeout = aSettings.Milliseconds("stop-timeout-ms", 0, 3'600'000);
  return settings;
}

void AddSeeds(decide::Members& aMembers, const std::string& aSeeds)
{
  for (std::size_t from = 0; from < aSeeds.size();) {
    std::size_t to = std::min(aSeeds.find(',', from), aSeeds.size());
    std::string seed = aSeeds.substr(from, to - from);
    std::size_t at = seed.find('@');
    if (at == std::string::npos) {
      throw base::SettingError("--seeds: '" + seed +
                               "' is not accepted; give IP:PORT@DATA-CENTRE");
    }
    base::ParseHostPort("--seeds", seed.substr(0, at));
    aMembers.AddAddress(seed.substr(0, at), seed.substr(at + 1));
    from = to + 1;
  }
}

std::string RandomSecret()
{
  std::string secret(kSecretBytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(secret.data()), int(kSecretBytes)) !=
      1) {
    throw std::runtime_error("no random bytes to be had");
  }
  return secret;
}

std::uint64_t RandomStart()
{
  std::random_device device;
  return (std::uint64_t(device()) << 32) | device();
}

void Run(const base::Settings& aSettings)
{
  entry::InstanceSettings settings = ToInstanceSettings(aSettings);
  base::HostPort admin = aSettings.Address("admin-listen");
  boost::asio::io_context context(1);
  base::SystemClock clock;
  base::Incarnation self{ settings.mPeerAddress, RandomStart() };
  entry::Core core(context, clock, settings, self, RandomSecret());
  AddSeeds(core.mMembers, settings.mSeeds);
  entry::Admission admission(core);
  entry::Backend backend(core);
  entry::Pipeline pipeline(core, admission, backend);
  entry::LookUps lookUps(core, pipeline);
  entry::Relay relay(core, pipeline);
  entry::Listener listener(core, pipeline, lookUps);
  store::HttpStore store(settings.mStore, kStoreTimeout);
  daemon::Loops loops(core, admission, backend, lookUps, relay, store);
  peer::Server peers(context, relay, settings.mPeerAddress);
  listener.Open(settings.mListen);
  listener.OpenAdmin(admin);
  daemon::Runner runner(core, store);
  loops.Start();
  boost::asio::co_spawn(context, runner.Loop(), boost::asio::detached);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  std::thread closer;
  auto stopped = [&](const std::exception_ptr&) {
    closer = std::thread([&] {
      peers.Close();
      context.stop();
    });
  };
  signals.async_wait([&](const boost::system::error_code&, int) {
    boost::asio::co_spawn(context, loops.Stop(), stopped);
  });
  base::Log(spdlog::level::info,
            base::Event::Started,
            "address={} data_centre={}",
            settings.mPeerAddress,
            settings.mDataCentre);
  context.run();
  closer.join();
}

} // namespace

int main(int aArgc, char** aArgv)
{
  spdlog::set_default_logger(spdlog::stderr_logger_mt("vanillaloftd"));
  std::signal(SIGPIPE, SIG_IGN);
  try {
    base::Settings settings = base::Settings::Parse(aArgc, aArgv, kFlags);
    if (settings.WantsHelp()) {
      std::cout << "usage: vanillaloftd FLAGS\n" << base::Settings::Help(kFlags);
      return kExitOk;
    }
    if (settings.WantsVersion()) {
      std::cout << "vanillaloftd " VANILLALOFT_VERSION "\n";
      return kExitOk;
    }
    spdlog::set_level(spdlog::level::from_str(settings.Text("log-level")));
    Run(settings);
    return kExitOk;
  } catch (const base::SettingError& error) {
    base::Log(spdlog::level::err, base::Event::SettingRefused, "{}", error.what());
    return kExitSetting;
  } catch (const std::exception& error) {
    spdlog::error("{}", error.what());
    return kExitFailure;
  }
}
