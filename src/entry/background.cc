#include "entry/background.h"

#include <chrono>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/event.h"

namespace vanillaloft::entry {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kRestartDelay{ 200 };

asio::awaitable<void> RunLogged(std::string aName, asio::awaitable<void> aTask)
{
  try {
    co_await std::move(aTask);
  } catch (const std::exception& error) {
    LogTaskFailure(aName, error);
  }
}

asio::awaitable<void> RunLoop(asio::io_context& aContext,
                              std::string aName,
                              std::function<asio::awaitable<void>()> aLoop)
{
  for (;;) {
    try {
      co_await aLoop();
      co_return;
    } catch (const std::exception& error) {
      LogTaskFailure(aName, error);
    }
    asio::steady_timer timer(aContext, kRestartDelay);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

} // namespace

void LogTaskFailure(const std::string& aName, const std::exception& aError)
{
  base::Log(spdlog::level::err,
            base::Event::TaskFailed,
            "task={} cause={}",
            aName,
            base::Printable(aError.what()));
}

void Spawn(asio::io_context& aContext, std::string aName, asio::awaitable<void> aTask)
{
  asio::co_spawn(aContext, RunLogged(std::move(aName), std::move(aTask)), asio::detached);
}

void SpawnLoop(asio::io_context& aContext,
               std::string aName,
               std::function<asio::awaitable<void>()> aLoop)
{
  asio::co_spawn(
    aContext, RunLoop(aContext, std::move(aName), std::move(aLoop)), asio::detached);
}

} // namespace vanillaloft::entry
