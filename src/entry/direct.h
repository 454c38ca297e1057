// Placement in which every instance sends to any registered backend server itself.
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
    , mBackend(aBackend)
  {
  }

  Awaitable<decide::Outcome> Place(Exchange& aExchange) override;

private:
  // What happened to a request so far.
  struct Tries
  {
    std::vector<decide::ServerPtr> mServers;
    unsigned mSends = 0;
    unsigned mNotSent = 0;
    bool mMayHaveRun = false;
    std::optional<decide::Outcome> mFailure; // a server's own
  };

  // A request that waits for room. The most urgent one comes first.
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

  Awaitable<decide::ServerPtr> Pick(Exchange& aExchange, const Tries& aTries);
  Awaitable<void> WaitForRoom(const Exchange& aExchange, Instant aUntil);
  Awaitable<decide::Outcome> SendTo(Exchange& aExchange,
                                    decide::ServerPtr aServer,
                                    Tries& aTries);
  void NoteSend(Exchange& aExchange,
                const decide::Server& aServer,
                Instant aSent,
                const ServerAnswer& aAnswer) const;
  void NoteRefusal(Exchange& aExchange, const decide::Wish& aWish) const;
  void Ended(const decide::ServerPtr& aServer, decide::SendResult aResult);
  bool MayTryAgain(const Exchange& aExchange, const Tries& aTries, Result aCode);
  decide::Wish WishOf(const Exchange& aExchange, const Tries& aTries) const;

  Core& mCore;
  BackendClient& mBackend;
  std::map<std::string, std::set<Waiter>> mWaiters; // by service name
  std::uint64_t mNextWaiter = 0;
};

} // namespace vanillaloft::entry
