// Placement in which every instance sends directly to any registered backend server.
#pragma once

#include <set>

#include <boost/asio/steady_timer.hpp>

#include "entry/backend.h"
#include "entry/core.h"
#include "entry/pipeline.h"

namespace vanillaloft::entry {

class DirectPlacement final : public Placement
{
public:
  DirectPlacement(Core& aCore, BackendClient& aBackend)
    : mCore(aCore)
    , mResolver(aCore)
    , mBackend(aBackend)
  {
  }

  Awaitable<decide::Outcome> Place(Exchange& aExchange) override;

private:
  // The attempts made so far for a request.
  struct Attempts
  {
    std::vector<decide::ServerPtr> mServers;
    unsigned mSends = 0;
    unsigned mUnsent = 0;
    bool mMayHaveRun = false;
    std::optional<decide::Outcome> mFailure; // a server's response that reports a failure
  };

  // A request that waits for free capacity, ordered by priority and then by arrival.
  struct Waiter
  {
    unsigned mPriority;
    std::uint64_t mNumber;
    boost::asio::steady_timer* mTimer;

    bool operator<(const Waiter& aOther) const
    {
      return std::tie(mPriority, mNumber) < std::tie(aOther.mPriority, aOther.mNumber);
    }
  };

  Awaitable<decide::ServerChoice> ChooseServer(Exchange& aExchange,
                                               const Attempts& aAttempts);
  Awaitable<void> WaitForCapacity(const Exchange& aExchange, Instant aUntil);
  Awaitable<decide::Outcome> SendTo(Exchange& aExchange,
                                    decide::ServerChoice aChoice,
                                    Attempts& aAttempts);
  void LogSend(Exchange& aExchange,
               const decide::ServerChoice& aChoice,
               Instant aSent,
               const ServerAnswer& aAnswer) const;
  void LogRefusal(Exchange& aExchange, const decide::PlacementQuery& aQuery) const;
  void RecordNotices(const decide::ServerPtr& aServer, const ServerAnswer& aAnswer);
  void EndSend(const decide::ServerChoice& aChoice, decide::SendResult aResult);
  bool MayRetry(const Exchange& aExchange, const Attempts& aAttempts, Result aCode);
  decide::PlacementQuery QueryOf(const Exchange& aExchange,
                                 const Attempts& aAttempts) const;

  Core& mCore;
  Resolver mResolver;
  BackendClient& mBackend;
  std::map<std::string, std::set<Waiter>> mWaiters; // by service name
  std::uint64_t mNextWaiter = 0;
};

} // namespace vanillaloft::entry
