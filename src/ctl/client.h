// What the operators' commands need from the store and from instances.
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

// A command that cannot be carried out; the message is for the operator.
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
constexpr int kExitUnknown = 4; // it could not be learnt whether the change took effect

// The configuration as the store holds it.
struct Stored
{
  std::uint64_t mVersion = 0;
  Json mJson;
  std::string mText;
};

// One instance's own account of itself.
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

  Awaitable<Stored> ReadConfig();
  // The configuration of a former revision; throws CommandError if it is not kept.
  Awaitable<std::string> ReadRevision(base::Revision aRevision);
  Awaitable<std::vector<InstanceState>> States();

  // Writes a configuration as the revision behind aBase and all revisions in force, by
  // compare-and-swap: if another operator was faster, nothing is written. Returns the
  // revision. Throws CommandError.
  Awaitable<base::Revision> Change(Stored aBase, Json aNext);

  // Waits until each data centre has the revision in force and prints a line for each.
  // False if any is not confirmed.
  Awaitable<bool> Confirm(base::Revision aRevision);

  store::Store& Store() { return mStore; }

private:
  Awaitable<bool> ReadBack(std::string aOperation);

  store::Store& mStore;
  std::vector<std::string> mInstances; // admin addresses
};

// Random identifier of an operator's change.
std::string NewOperation();

} // namespace vanillaloft::ctl
