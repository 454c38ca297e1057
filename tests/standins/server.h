// A small HTTP server for the stand-ins.
#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>

#include "base/settings.h"
#include "net/http.h"

namespace vanillaloft::standins {

namespace http = boost::beast::http;

using Handler = std::function<net::Awaitable<net::Response>(const net::Request&)>;

// Serves until SIGTERM.
void RunServer(const base::HostPort& aAt, Handler aHandler);

net::Response Reply(unsigned aStatus, std::string aBody);

// The number behind aName in a query, or 0.
std::uint64_t NumberIn(const std::string& aTarget, const std::string& aName);

net::Awaitable<void> Sleep(std::chrono::milliseconds aTime);

} // namespace vanillaloft::standins
