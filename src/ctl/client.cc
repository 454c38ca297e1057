#include "ctl/client.h"

#include <iostream>
#include <optional>
#include <random>
#include <set>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

namespace vanillaloft::ctl {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::chrono::milliseconds kStateTimeout{ 800 };
constexpr std::chrono::milliseconds kPollInterval{ 200 };
constexpr std::chrono::seconds kConfirmTimeout{ 9 };
constexpr std::chrono::seconds kReadBackTimeout{ 20 };

Awaitable<void> Sleep(std::chrono::milliseconds aDuration)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aDuration);
  co_await timer.async_wait(asio::use_awaitable);
}

base::Revision RevisionIn(const Json& aJson)
{
  return aJson.is_object() ? aJson.value("revision", base::Revision(0)) : 0;
}

// Returns the state in an instance's response; none if the response is no state.
std::optional<Json> StateIn(const net::Response& aResponse)
{
  Json state = Json::parse(aResponse.body(), nullptr, false);
  bool valid = aResponse.result() == http::status::ok && state.is_object() &&
               state.value("revision", Json()).is_number_unsigned() &&
               state.value("data_centre", Json()).is_string();
  return valid ? std::optional<Json>(std::move(state)) : std::nullopt;
}

} // namespace

std::string NewOperationId()
{
  std::random_device device;
  return fmt::format("{:08x}{:08x}", device(), device());
}

Awaitable<StoredConfig> Client::ReadConfig()
{
  store::Value value = co_await mStore.Read(store::kConfigKey);
  StoredConfig stored{ value.mVersion, Json::object(), value.mText };
  if (value.mVersion != 0) {
    stored.mJson = Json::parse(value.mText, nullptr, false);
  }
  if (!stored.mJson.is_object()) {
    throw store::StoreError("the configuration in the store cannot be read");
  }
  co_return stored;
}

Awaitable<std::string> Client::ReadRevision(base::Revision aRevision)
{
  store::Value value = co_await mStore.Read(store::HistoryKey(aRevision));
  if (value.mVersion == 0) {
    throw CommandError(kExitFailure,
                       fmt::format("revision {} is not in the history", aRevision));
  }
  co_return value.mText;
}

Awaitable<std::vector<InstanceState>> Client::ReadStates()
{
  std::vector<InstanceState> states;
  for (const std::string& address : mInstances) {
    InstanceState state{ address, false, Json::object() };
    try {
      net::Request request(http::verb::get, "/state", net::kHttp11);
      auto response = co_await net::CallOnce(
        base::ParseHostPort("--instances", address), std::move(request), kStateTimeout);
      if (std::optional<Json> answer = StateIn(response)) {
        state.mState = std::move(*answer);
        state.mAnswered = true;
      }
    } catch (const net::CallError&) {
      // mAnswered stays false; the commands show it.
    }
    states.push_back(std::move(state));
  }
  co_return states;
}

// Checks whether a write without a reply took effect, before anything is repeated. A
// configuration contains the identifiers of its own and of the previous operation, so the
// write is also recognised after one further change.
Awaitable<bool> Client::ReadBackOperation(std::string aOperation)
{
  auto deadline = std::chrono::steady_clock::now() + kReadBackTimeout;
  while (std::chrono::steady_clock::now() < deadline) {
    try {
      StoredConfig now = co_await ReadConfig();
      bool isCurrent = now.mJson.value("operation", "") == aOperation;
      bool isPrevious = now.mJson.value("previous", "") == aOperation;
      co_return isCurrent || isPrevious;
    } catch (const store::StoreError&) {
    }
    co_await Sleep(kPollInterval);
  }
  throw CommandError(kExitUnknown,
                     "the store does not respond, and it is unknown whether the change "
                     "took effect; run 'vanillaloft history' once it responds");
}

Awaitable<base::Revision> Client::WriteConfig(StoredConfig aBase, Json aNext)
{
  base::Revision highest = RevisionIn(aBase.mJson);
  for (const InstanceState& state : co_await ReadStates()) {
    highest = std::max(highest, RevisionIn(state.mState));
  }
  std::string operation = NewOperationId();
  aNext["revision"] = highest + 1;
  aNext["operation"] = operation;
  aNext["previous"] = aBase.mJson.value("operation", "");
  if (aNext["previous"] == "") {
    aNext.erase("previous");
  }
  std::string text = aNext.dump(2) + "\n";
  try {
    decide::ParseConfig(text);
  } catch (const decide::ConfigError& error) {
    throw CommandError(kExitFailure,
                       fmt::format("invalid configuration: {}", error.what()));
  }
  bool swapped = false;
  bool outcomeUnknown = false;
  try {
    swapped = co_await mStore.CompareAndSwap(store::kConfigKey, aBase.mVersion, text);
  } catch (const store::StoreError&) {
    outcomeUnknown = true;
  }
  if (outcomeUnknown) {
    std::cout << "no reply from the store; reading back\n" << std::flush;
    swapped = co_await ReadBackOperation(operation);
    if (!swapped) {
      throw CommandError(kExitUnknown,
                         "no reply from the store, and the store does not contain the "
                         "change; it may still take effect: run 'vanillaloft show' "
                         "before repeating it");
    }
  }
  if (!swapped) {
    throw CommandError(kExitFailure,
                       "another operator changed the configuration; nothing was "
                       "written. Check 'vanillaloft diff' and retry");
  }
  try {
    co_await mStore.CompareAndSwap(store::HistoryKey(highest + 1), 0, text);
  } catch (const store::StoreError& error) {
    std::cout << "revision " << highest + 1
              << " is accepted but could not be added to the history: " << error.what()
              << "\n";
  }
  co_return highest + 1;
}

Awaitable<bool> Client::WaitUntilInForce(base::Revision aRevision)
{
  auto deadline = std::chrono::steady_clock::now() + kConfirmTimeout;
  std::map<std::string, bool> inForce; // by data centre
  for (;;) {
    inForce.clear();
    for (const InstanceState& state : co_await ReadStates()) {
      std::string dataCentre =
        state.mAnswered ? state.mState.value("data_centre", "") : state.mAdminAddress;
      bool confirmed = state.mAnswered && RevisionIn(state.mState) >= aRevision;
      auto [entry, added] = inForce.emplace(dataCentre, confirmed);
      entry->second = entry->second && confirmed;
    }
    bool all =
      std::ranges::all_of(inForce, [](const auto& aEntry) { return aEntry.second; });
    if (all || std::chrono::steady_clock::now() > deadline) {
      break;
    }
    co_await Sleep(kPollInterval);
  }
  bool all = !inForce.empty();
  for (const auto& [dataCentre, confirmed] : inForce) {
    std::cout << "  " << dataCentre << ": " << (confirmed ? "in force" : "not confirmed")
              << "\n";
    all = all && confirmed;
  }
  co_return all;
}

} // namespace vanillaloft::ctl
