// Stand-in of the platform's key-value store and list of instances. Faults are set over
// HTTP: PUT /fault/MODE with none, down, slow, lose (replies of writes are lost) or older
// (values return to the state that PUT /fault/mark remembered). GET /calls returns the
// number of calls so far.
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

constexpr std::chrono::milliseconds kPoll{ 10 };
constexpr std::chrono::milliseconds kSlow{ 3000 };
constexpr std::chrono::milliseconds kNever{ 60'000 };

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
      co_await Sleep(kSlow);
    }
    if (target == "/v1/instances") {
      co_return Reply(200, mInstances);
    }
    std::string key = target.substr(7, target.find('?') - 7);
    if (aRequest.method() == http::verb::put) {
      co_return co_await Put(key, NumberIn(target, "cas="), aRequest.body());
    }
    co_return co_await Get(key, NumberIn(target, "index="), NumberIn(target, "wait="));
  }

private:
  void SetFault(const std::string& aFault)
  {
    if (aFault == "mark") {
      mMarked = mEntries;
    } else if (aFault == "older") {
      mEntries = mMarked;
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
      co_await Sleep(kNever);
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
      co_await Sleep(kPoll);
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
  std::map<std::string, Entry> mMarked;
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
