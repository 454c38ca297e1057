// Background tasks: coroutines that no caller waits for.
#pragma once

#include <exception>
#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace vanillaloft::entry {

// Logs an unexpected error that ended a task or a step of one.
void LogTaskFailure(const std::string& aName, const std::exception& aError);

// Starts a task. An unexpected error ends the task and is logged.
void Spawn(boost::asio::io_context& aContext,
           std::string aName,
           boost::asio::awaitable<void> aTask);

// Starts a loop. An unexpected error is logged, and the loop starts again after a short
// time. The loop ends when it returns.
void SpawnLoop(boost::asio::io_context& aContext,
               std::string aName,
               std::function<boost::asio::awaitable<void>()> aLoop);

} // namespace vanillaloft::entry
