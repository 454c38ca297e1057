// The state of a request while the instance serves it.
#pragma once

#include <algorithm>
#include <array>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "decide/config.h"
#include "decide/ticket.h"

namespace vanillaloft::entry {

class Hold;

using base::Duration;
using base::Instant;

// What a request that is served waits for.
enum class ServeStep : std::uint8_t
{
  Routing, // for nothing
  Tokens,
  Capacity,
  Connection, // to a backend server
  Answer,     // of a backend server
  Peer        // for its reply
};

constexpr std::array<std::string_view, 6> kServeStepNames = { "routing",  "tokens",
                                                              "capacity", "connection",
                                                              "answer",   "peer" };

// The connection that a request arrived on. It exists while the request is served.
struct CallerConnection
{
  std::string mRequestId;              // empty until the request is known
  Hold* mHold = nullptr;               // bytes of the request and its answer
  std::uint32_t mAddress = 0;          // IPv4, host byte order; 0 for others
  bool mDisconnected = false;          // the caller was seen to close the connection
  std::function<void()> mOnDisconnect; // called once, when that is seen
  std::function<bool()> mProbeClosed;  // polls the connection

  // Polls the connection as well: a process that was suspended reads a request together
  // with the end of its connection, before any notice of the closing.
  bool IsDisconnected() const
  {
    return mDisconnected || (mProbeClosed && mProbeClosed());
  }
};

// One request with its routing decisions. Its key is never sent to peers or backend
// servers.
struct Exchange
{
  std::string mRequestId;
  std::string mMethod;
  std::string mHost;
  std::string mTarget;
  std::string mContentType;
  std::string mBody;
  std::vector<decide::HeaderField> mFields; // forwarded to the backend server unchanged
  std::string mObject;          // object of the request, for affinity; empty if not given
  std::string mTicket;          // as presented, if any
  bool mIssuerAnswered = false; // the instance that issued mTicket gave the result
  std::string mKey;             // as presented; never forwarded, never logged
  bool mHasKey = false;
  Duration mCallerTimeout = Duration::max(); // as given by the caller
  decide::ConfigPtr mConfig;                 // that the indexes below refer to
  decide::RouteId mRoute;
  decide::ServiceId mService;
  decide::OrganisationId mOrganisation;
  std::string mOrganisationName;   // replaces the key in requests from peers
  decide::BudgetId mDebitedBudget; // the budget that this request took a token of
  // Set if no token was available: whether another holder may have had one.
  std::optional<bool> mTokensElsewhere;
  Instant mArrival{};
  Instant mDeadline{};
  ServeStep mStep = ServeStep::Routing;
  Hold* mHold = nullptr;               // for requests from peers; see HeldBy
  CallerConnection* mCaller = nullptr; // null for requests from peers
  std::string mSendLog;                // each send and its result, for the log
  Instant mRetryAt{};                  // earliest useful retry after a refusal, if known
  Duration mRoomExpectedIn{};          // at a refusal for lack of capacity, if known
  Duration mSinceFirst{};              // since its caller's first attempt, if known
  std::string mRefusalLog; // servers without free capacity at a refusal, for the log

  // Takes over a configuration. Indexes into the tables of the former one are cleared.
  void UseConfig(decide::ConfigPtr aConfig)
  {
    mConfig = std::move(aConfig);
    mRoute = {};
    mService = {};
    mOrganisation = {};
    mDebitedBudget = {};
  }

  const decide::Route& MatchedRoute() const { return mConfig->mRoutes[mRoute.Value()]; }
  const std::string& ServiceName() const
  {
    return mConfig->mServices[mService.Value()].mName;
  }
  std::string OrganisationNameOr(const char* aDefault) const
  {
    return mOrganisation.IsNone() ? aDefault
                                  : mConfig->mOrganisations[mOrganisation.Value()].mName;
  }
  // Time until the caller gives up.
  Duration CallerTimeLeft(Instant aNow) const
  {
    Duration elapsed = aNow - mArrival;
    return mCallerTimeout == Duration::max()
             ? mCallerTimeout
             : std::max(mCallerTimeout - elapsed, Duration::zero());
  }
  Hold* HeldBy() const { return mCaller ? mCaller->mHold : mHold; }
  bool CallerDisconnected() const { return mCaller && mCaller->IsDisconnected(); }
};

} // namespace vanillaloft::entry
