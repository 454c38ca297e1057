// Single-threaded HTTP server for the test stand-ins of the store and backend servers.
#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>

#include "base/settings.h"
#include "net/http.h"

namespace vanillaloft::standins {

namespace http = boost::beast::http;

using Handler = std::function<net::Awaitable<net::Response>(const net::Request&)>;

// Serves requests at aAt until SIGTERM or SIGINT.
void RunServer(const base::HostPort& aAt, Handler aHandler);

net::Response Reply(unsigned aStatus, std::string aBody);

// Returns the number that follows aName (such as "wait=") in the target, or 0 without
// one.
std::uint64_t QueryNumber(const std::string& aTarget, const std::string& aName);

net::Awaitable<void> Sleep(std::chrono::milliseconds aTime);

} // namespace vanillaloft::standins
