// Placement in which every instance sends directly to any registered backend server.
#pragma once

#include <unordered_map>

#include <boost/asio/steady_timer.hpp>

#include "decide/dispatch.h"
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
    , mDispatcher(aCore.mFleet, [this](auto aNumber) { Wake(aNumber); })
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

  Awaitable<decide::ServerChoice> ChooseServer(Exchange& aExchange,
                                               const Attempts& aAttempts);
  decide::PlacementRequest RequestOf(const Exchange& aExchange,
                                     const Attempts& aAttempts) const;
  Awaitable<void> WaitForCapacity(decide::Dispatcher::Number aNumber, Instant aUntil);
  Awaitable<decide::Outcome> SendTo(Exchange& aExchange,
                                    decide::ServerChoice aChoice,
                                    Attempts& aAttempts);
  void ResumeAfterWait(Exchange& aExchange, decide::Dispatcher::Number aNumber);
  void Wake(decide::Dispatcher::Number aNumber);
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
  decide::Dispatcher mDispatcher;
  // Timers of the waiting requests.
  std::unordered_map<decide::Dispatcher::Number, boost::asio::steady_timer*> mTimers;
};

} // namespace vanillaloft::entry
