// A request on its way through the instance.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "decide/config.h"
#include "decide/ticket.h"

namespace vanillaloft::entry {

using base::Duration;
using base::Instant;

// The connection that a request came on, for as long as the request is served.
struct CallerConnection
{
  std::uint32_t mAddress = 0;          // IPv4, host byte order; 0 for others
  bool mDisconnected = false;          // the caller's closing was noticed
  std::function<void()> mOnDisconnect; // called once when it is noticed
  std::function<bool()> mProbeClosed;  // looks at the connection itself

  // Also true if the caller has closed the connection unnoticed so far: a process that
  // was held up reads a request and its caller's closing at one go.
  bool IsDisconnected() const
  {
    return mDisconnected || (mProbeClosed && mProbeClosed());
  }
};

// Carries no key beyond the pipeline's first filter.
struct Exchange
{
  std::string mRequestId;
  std::string mMethod;
  std::string mHost;
  std::string mTarget;
  std::string mContentType;
  std::string mBody;
  std::vector<decide::HeaderField>
    mFields;           // passed on to the backend server as they came
  std::string mObject; // what the request is about; empty if it was not said
  std::string mTicket; // as presented, if any
  std::string mKey;    // as presented; never sent on, never logged
  bool mHasKey = false;
  Duration mCallerTimeout = Duration::max(); // as the caller said
  decide::ConfigPtr mConfig;                 // in which the indexes below are valid
  decide::RouteId mRoute;
  decide::ServiceId mService;
  decide::OrganisationId mOrganisation;
  std::string mOrganisationName;   // set instead of a key on requests from peers
  decide::BudgetId mDebitedBudget; // a token of it was taken for this request
  Instant mArrival{};
  Instant mDeadline{};
  CallerConnection* mCaller = nullptr; // none on requests from peers
  std::string mSendLog;                // each send and how it ended, for the log
  std::string mRefusalLog; // the servers that had no room at a refusal, for the log

  const decide::Route& MatchedRoute() const { return mConfig->mRoutes[mRoute.Value()]; }
  const std::string& ServiceName() const
  {
    return mConfig->mServices[mService.Value()].mName;
  }
  std::string OrganisationNameOr(const char* aOtherwise) const
  {
    return mOrganisation.IsNone() ? aOtherwise
                                  : mConfig->mOrganisations[mOrganisation.Value()].mName;
  }
  bool CallerDisconnected() const { return mCaller && mCaller->IsDisconnected(); }
};

} // namespace vanillaloft::entry
