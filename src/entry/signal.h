// Wakes the coroutines of one thread that wait for something to happen.
#pragma once

#include <memory>
#include <set>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/clock.h"

namespace vanillaloft::entry {

class Signal
{
public:
  // Waits for the next NotifyAll, at most for aMost, on a timer of the I/O context.
  boost::asio::awaitable<void> Wait(boost::asio::io_context& aContext,
                                    base::Duration aMost)
  {
    boost::asio::steady_timer timer(aContext, aMost);
    Registration registration(mWaiting, timer);
    boost::system::error_code ended; // either way the wait is over
    co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ended));
  }

  void NotifyAll()
  {
    for (boost::asio::steady_timer* timer : *mWaiting) {
      timer->cancel();
    }
  }

private:
  using Timers = std::set<boost::asio::steady_timer*>;
  // Shared with the coroutines, which may be destroyed after this object at the end of
  // the process.
  using TimersPtr = std::shared_ptr<Timers>;

  // Registers a timer until its coroutine ends or is destroyed.
  class Registration
  {
  public:
    Registration(TimersPtr aWaiting, boost::asio::steady_timer& aTimer)
      : mWaiting(std::move(aWaiting))
      , mTimer(aTimer)
    {
      mWaiting->insert(&mTimer);
    }
    ~Registration() { mWaiting->erase(&mTimer); }
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

  private:
    TimersPtr mWaiting;
    boost::asio::steady_timer& mTimer;
  };

  TimersPtr mWaiting = std::make_shared<Timers>();
};

} // namespace vanillaloft::entry
