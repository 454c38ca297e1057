// Key-value store and instance listing for tests. PUT /fault/MODE sets a fault: none,
// down, slow, lose (replies to writes are lost) or older (values are restored to the
// state saved by PUT /fault/mark). GET /calls returns the number of calls so far.
#include <charconv>
#include <iostream>
#include <map>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "server.h"

namespace {

using namespace vanillaloft;
using namespace vanillaloft::standins;

constexpr std::chrono::milliseconds kWatchPollInterval{ 10 };
constexpr std::chrono::milliseconds kSlowAnswerDelay{ 3000 };
constexpr std::chrono::milliseconds kLostReplyDelay{ 60'000 };

struct Entry
{
  std::uint64_t mVersion = 0;
  std::string mText;
};

class StoreStandIn
{
public:
  explicit StoreStandIn(std::string aInstances)
    : mInstances(std::move(aInstances))
  {
  }

  net::Awaitable<net::Response> Handle(const net::Request& aRequest)
  {
    std::string target(aRequest.target().data(), aRequest.target().size());
    if (target == "/calls") {
      co_return Reply(200, std::to_string(mCalls));
    }
    if (target.starts_with("/fault/")) {
      SetFault(target.substr(7));
      co_return Reply(200, "ok");
    }
    ++mCalls;
    if (mFault == "down") {
      co_return Reply(503, "down");
    }
    if (mFault == "slow") {
      co_await Sleep(kSlowAnswerDelay);
    }
    if (target == "/v1/instances") {
      co_return Reply(200, mInstances);
    }
    std::string key = target.substr(7, target.find('?') - 7);
    if (aRequest.method() == http::verb::put) {
      co_return co_await Put(key, QueryNumber(target, "cas="), aRequest.body());
    }
    co_return co_await Get(
      key, QueryNumber(target, "index="), QueryNumber(target, "wait="));
  }

private:
  void SetFault(const std::string& aFault)
  {
    if (aFault == "mark") {
      mMarkedEntries = mEntries;
    } else if (aFault == "older") {
      mEntries = mMarkedEntries;
    } else {
      mFault = aFault;
    }
  }

  net::Awaitable<net::Response> Put(std::string aKey,
                                    std::uint64_t aCas,
                                    std::string aText)
  {
    bool swapped = mEntries[aKey].mVersion == aCas;
    if (swapped) {
      mEntries[aKey] = { ++mVersion, std::move(aText) };
    }
    if (mFault == "lose") {
      co_await Sleep(kLostReplyDelay);
    }
    co_return Reply(200, swapped ? "true" : "false");
  }

  net::Awaitable<net::Response> Get(std::string aKey,
                                    std::uint64_t aIndex,
                                    std::uint64_t aWait)
  {
    auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(aWait);
    while (aIndex != 0 && mEntries[aKey].mVersion == aIndex && mFault != "down" &&
           std::chrono::steady_clock::now() < until) {
      co_await Sleep(kWatchPollInterval);
    }
    if (mFault == "down") {
      co_return Reply(503, "down");
    }
    const Entry& entry = mEntries[aKey];
    if (entry.mVersion == 0) {
      co_return Reply(404, "");
    }
    net::Response response = Reply(200, entry.mText);
    response.set("X-Consul-Index", std::to_string(entry.mVersion));
    co_return response;
  }

  std::string mInstances;
  std::string mFault = "none";
  std::map<std::string, Entry> mEntries;
  std::map<std::string, Entry> mMarkedEntries;
  std::uint64_t mVersion = 0;
  std::uint64_t mCalls = 0;
};

} // namespace

int main(int aArgc, char** aArgv)
{
  if (aArgc != 3) {
    std::cerr << "usage: store-standin IP:PORT INSTANCES-JSON\n";
    return 2;
  }
  StoreStandIn store(aArgv[2]);
  RunServer(base::ParseHostPort("address", aArgv[1]),
            [&](const net::Request& aRequest) { return store.Handle(aRequest); });
}
