// Test helper: an entry instance that calls backend servers of the native interface.
#pragma once

#include <fmt/format.h>

#include "base/clock.h"
#include "canned.h"
#include "entry/backend.h"
#include "entry/direct.h"

namespace vanillaloft::test {

using namespace std::chrono_literals;
using namespace vanillaloft::entry;

constexpr const char* kConfig = R"({"revision":1,
  "regions":[{"name":"r1","data_centres":["d1"]},{"name":"r2","data_centres":["d2"]}],
  "organisations":[],"profiles":[{"name":"p"}],
  "services":[{"name":"s","profile":"p","backend_servers":[],
    "routes":[{"path":"/open","kind":"open"},{"path":"/order","kind":"order"}]}]})";
// Routes with longer paths come first.
constexpr std::size_t kOrderRoute = 0;
constexpr std::size_t kOpenRoute = 1;
constexpr std::size_t kMaxBodyBytes = 64UL * 1024 * 1024; // of a caller's request

// The response of a server of the native interface. No identifier if aRequest is empty.
inline std::string Response(const std::string& aStatus,
                            const std::string& aRequest,
                            const std::string& aBody)
{
  std::string id = aRequest.empty() ? "" : "X-Request-Id: " + aRequest + "\r\n";
  return fmt::format(
    "HTTP/1.1 {}\r\n{}Content-Length: {}\r\n\r\n{}", aStatus, id, aBody.size(), aBody);
}

inline std::string Answer(const std::string& aRequest)
{
  return Response("200 OK", aRequest, "answer to " + aRequest);
}

inline std::string Refusal(const std::string& aRequest)
{
  return Response("503 Full\r\nX-Not-Run: 1", aRequest, "");
}

struct CallingInstance
{
  boost::asio::io_context mContext;
  base::SystemClock mClock;
  Core mCore{ mContext,
              mClock,
              { "d1", { "127.0.0.1", 1 }, "127.0.0.1:2", {}, "", 30s, 10s, 60s },
              { "127.0.0.1:2", 7 },
              "secret" };
  NativeFormat mFormat;
  BackendClient mBackend{ mCore, mFormat };

  // Each request may be sent to two servers.
  CallingInstance()
  {
    auto config = std::make_shared<decide::Config>(*decide::ParseConfig(kConfig));
    config->mLimits.mBodyBytes = kMaxBodyBytes;
    for (decide::Route& route : config->mRoutes) {
      route.mMaxServers = 2;
    }
    mCore.AcceptConfig(config);
    mCore.mRetryBudget.Earn("s", 100, 10);
  }

  Exchange MakeExchange(const std::string& aRequest,
                        std::size_t aRoute = kOpenRoute) const
  {
    Exchange exchange;
    exchange.mMethod = aRoute == kOrderRoute ? "POST" : "GET";
    exchange.mTarget = aRoute == kOrderRoute ? "/order" : "/open";
    exchange.mTicket = "v1~127.9.9.9:1~1~1~grocer~99~00";
    exchange.mRequestId = aRequest;
    exchange.mConfig = mCore.Config();
    exchange.mRoute = decide::RouteId(aRoute);
    exchange.mService = decide::ServiceId(0);
    exchange.mArrival = mClock.Now();
    exchange.mDeadline = mClock.Now() + 2s;
    return exchange;
  }

  // Calls the server on a kept connection if there is one. Returns the body of the
  // answer, "not run", or the name of the result of a failed call.
  std::string Call(const ScriptedServer& aServer, const std::string& aRequest)
  {
    Exchange exchange = MakeExchange(aRequest);
    BackendTarget target{ "i-1", aServer.Address(), {} };
    try {
      ServerAnswer answer = RunCoroutine(
        mContext, mBackend.Call(exchange, target, ConnectionReuse::Allowed, false));
      return answer.mNotRun ? "not run" : answer.mOutcome.mBody;
    } catch (const base::RequestError& error) {
      return std::string(base::InfoOf(error.Code()).mName);
    }
  }

  void Register(const std::string& aId,
                const std::string& aDataCentre,
                const base::HostPort& aAddress)
  {
    decide::Registration registration;
    registration.mId = aId;
    registration.mService = "s";
    registration.mDataCentre = aDataCentre;
    registration.mAddress = aAddress;
    registration.mSlots = 4;
    mCore.mFleet.Register(registration, mClock.Now());
  }
};

} // namespace vanillaloft::test
