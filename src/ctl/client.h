// Access of the operators' commands to the store and to entry instances.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/settings.h"
#include "decide/config.h"
#include "net/http.h"
#include "store/keys.h"
#include "store/store.h"

namespace vanillaloft::ctl {

template<typename T>
using Awaitable = boost::asio::awaitable<T>;
using Json = nlohmann::ordered_json;

// Failure of a command; the message is shown to the operator.
class CommandError : public std::runtime_error
{
public:
  CommandError(int aExitCode, const std::string& aText)
    : std::runtime_error(aText)
    , mExitCode(aExitCode)
  {
  }
  int ExitCode() const { return mExitCode; }

private:
  int mExitCode;
};

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;      // refused or failed; nothing changed
constexpr int kExitUsage = 2;        // wrong flags or arguments
constexpr int kExitNotConfirmed = 3; // accepted, but not confirmed in force everywhere
constexpr int kExitUnknown = 4;      // unknown whether the change took effect

// The configuration in the store.
struct StoredConfig
{
  std::uint64_t mVersion = 0;
  Json mJson;
  std::string mText;
};

// State that one instance reports.
struct InstanceState
{
  std::string mAdminAddress;
  bool mAnswered = false;
  Json mState;
};

class Client
{
public:
  Client(store::Store& aStore, std::vector<std::string> aInstances)
    : mStore(aStore)
    , mInstances(std::move(aInstances))
  {
  }

  // Throws store::StoreError, also if the text in the store is no configuration.
  Awaitable<StoredConfig> ReadConfig();
  // Returns the text of a former revision from the history. Throws CommandError if the
  // history does not contain it.
  Awaitable<std::string> ReadRevision(base::Revision aRevision);
  // Asks all instances. One whose response breaks off or is no state has not answered.
  Awaitable<std::vector<InstanceState>> ReadStates();

  // Writes aNext by compare-and-swap with a revision above those of aBase and of all
  // instances that answer, and returns it. Throws CommandError; if another operator
  // changed the configuration since aBase was read, nothing is written.
  Awaitable<base::Revision> WriteConfig(StoredConfig aBase, Json aNext);

  // Waits until the revision is in force in each data centre or a timeout expires, and
  // prints a line for each data centre. Returns false if any is not confirmed.
  Awaitable<bool> WaitUntilInForce(base::Revision aRevision);

  store::Store& Store() { return mStore; }

private:
  Awaitable<bool> ReadBackOperation(std::string aOperation);

  store::Store& mStore;
  std::vector<std::string> mInstances; // admin addresses
};

// Returns a random identifier for an operator's change.
std::string NewOperationId();

} // namespace vanillaloft::ctl
