// Backend server for tests, with slots, a service time, draining and shedding. It logs
// the requests that it ran, so that a test can detect an order that ran twice or a false
// "not run" answer.
//
// PUT /fault/MODE sets a fault: none, shed, drain, undrain, late (answers are delayed),
// crossed (answers carry a wrong request id), cold (five times slower for ten seconds),
// lag (load reports are frozen), report (load reports are current again), leaving (each
// answer says that the server leaves) and pause (refuses and asks for a pause).
//
// A query with bytes=NUMBER asks for an answer of that size.
//
// GET /log returns a line for each request that ran: idempotency key, organisation,
// target. GET /load returns the load report, GET /overruns the number of requests above
// the slots.
#include <algorithm>
#include <iostream>
#include <map>

#include "server.h"

namespace {

using namespace vanillaloft;
using namespace vanillaloft::standins;

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kLateAnswerDelay{ 5000 };
constexpr std::chrono::seconds kColdDuration{ 10 };
constexpr int kColdFactor = 5;
constexpr const char* kPauseSeconds = "1.5";

class BackendStandIn
{
public:
  BackendStandIn(unsigned aSlots, std::chrono::milliseconds aServiceTime)
    : mSlots(aSlots)
    , mServiceTime(aServiceTime)
  {
  }

  net::Awaitable<net::Response> Handle(const net::Request& aRequest)
  {
    std::string target(aRequest.target().data(), aRequest.target().size());
    if (target.starts_with("/fault/")) {
      SetFault(target.substr(7));
      co_return Reply(200, "ok");
    }
    if (target == "/load") {
      co_return Reply(200, mFrozenReport.empty() ? Report() : mFrozenReport);
    }
    if (target == "/log") {
      co_return Reply(200, mLog);
    }
    if (target == "/overruns") {
      co_return Reply(200, std::to_string(mOverruns));
    }
    co_return co_await Serve(aRequest, target);
  }

private:
  void SetFault(const std::string& aFault)
  {
    if (aFault == "drain" || aFault == "undrain") {
      mDraining = aFault == "drain";
    } else if (aFault == "cold") {
      mColdUntil = Clock::now() + kColdDuration;
    } else if (aFault == "lag") {
      mFrozenReport = Report();
    } else if (aFault == "report") {
      mFrozenReport.clear();
    } else {
      mFault = aFault;
    }
  }

  std::string Report() const
  {
    return std::string("{\"draining\":") + (mDraining ? "true" : "false") +
           ",\"in_flight\":" + std::to_string(mInFlight) + "}";
  }

  std::chrono::milliseconds ServiceTime() const
  {
    if (mFault == "late") {
      return kLateAnswerDelay;
    }
    return Clock::now() < mColdUntil ? kColdFactor * mServiceTime : mServiceTime;
  }

  net::Awaitable<net::Response> Serve(const net::Request& aRequest, std::string aTarget)
  {
    std::string id(aRequest["X-Request-Id"].data(), aRequest["X-Request-Id"].size());
    bool full = mInFlight >= mSlots;
    mOverruns += full ? 1 : 0;
    if (full || mFault == "shed" || mFault == "pause") {
      net::Response shed = Reply(503, "shed");
      shed.set("X-Not-Run", "1");
      if (mFault == "pause") {
        shed.set(http::field::retry_after, kPauseSeconds);
      }
      co_return shed;
    }
    if (aRequest.count(http::field::authorization) > 0) {
      mLog += "KEY-SEEN\n";
    }
    mLog += std::string(aRequest["Idempotency-Key"]) + " " +
            std::string(aRequest["X-Organisation"]) + " " + aTarget + "\n";
    ++mInFlight;
    co_await Sleep(ServiceTime());
    --mInFlight;
    std::string text =
      "answer to " + aTarget + " of " + std::string(aRequest["X-Organisation"]) + "\n";
    text.resize(std::max<std::size_t>(text.size(), QueryNumber(aTarget, "bytes=")));
    net::Response response = Reply(200, std::move(text));
    response.set(http::field::content_type, "text/plain");
    response.set("X-Request-Id", mFault == "crossed" ? "another" : id);
    if (mDraining) {
      response.set("X-Draining", "1");
    }
    if (mFault == "leaving") {
      response.set("Server-Leaving", "1");
    }
    co_return response;
  }

  unsigned mSlots;
  std::chrono::milliseconds mServiceTime;
  unsigned mInFlight = 0;
  unsigned mOverruns = 0;
  bool mDraining = false;
  Clock::time_point mColdUntil{};
  std::string mFrozenReport; // empty while reports are current
  std::string mFault = "none";
  std::string mLog;
};

} // namespace

int main(int aArgc, char** aArgv)
{
  if (aArgc != 4) {
    std::cerr << "usage: backend-standin IP:PORT SLOTS SERVICE-TIME-MS\n";
    return 2;
  }
  std::chrono::milliseconds serviceTime(std::stol(aArgv[3]));
  BackendStandIn backend(static_cast<unsigned>(std::stoul(aArgv[2])), serviceTime);
  RunServer(base::ParseHostPort("address", aArgv[1]),
            [&](const net::Request& aRequest) { return backend.Handle(aRequest); });
}
