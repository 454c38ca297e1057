// Connections to backend servers that are kept open between calls.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/clock.h"
#include "base/settings.h"
#include "net/http.h"

namespace vanillaloft::entry {

// Largest number of idle connections of a process with this many descriptors.
std::size_t MaxIdleConnections(std::size_t aDescriptors);

// The server at the other end of an idle connection.
struct IdlePeer
{
  std::string mName;
  base::HostPort mAddress;
  // Returns true once the server gets no requests any more. Empty: always false.
  std::function<bool()> mHasLeft;
};

// Keeps a bounded number of connections. At the limit the one that has been idle for the
// longest time is closed. Connections to servers that have left, and those that nobody
// used for long, are closed within a second.
class IdleConnections
{
public:
  using ConnectionPtr = std::unique_ptr<net::Connection>;

  IdleConnections(boost::asio::io_context& aContext,
                  const base::Clock& aClock,
                  std::size_t aLimit);
  IdleConnections(const IdleConnections&) = delete;
  IdleConnections& operator=(const IdleConnections&) = delete;

  void Keep(IdlePeer aPeer, ConnectionPtr aConnection);
  // Returns the latest connection to the server that is still usable; null if there is
  // none. Connections to a former address of the server are closed.
  ConnectionPtr Take(const std::string& aServer, const base::HostPort& aAddress);
  void CloseAll(const std::string& aServer);

  std::size_t Size() const { return mByAge.size(); }
  std::size_t Limit() const { return mLimit; }
  // Number of connections that were closed at the limit.
  std::uint64_t Displaced() const { return mDisplaced; }

private:
  struct Idle
  {
    IdlePeer mPeer;
    ConnectionPtr mConnection;
    base::Instant mSince;
  };
  using Position = std::list<Idle>::iterator;

  void Erase(Position aIdle);
  void DisplaceOldest();
  void ArmSweep();
  void Sweep();

  const base::Clock& mClock;
  std::size_t mLimit;
  std::list<Idle> mByAge; // the longest idle first
  std::map<std::string, std::list<Position>> mByServer;
  boost::asio::steady_timer mSweepTimer;
  bool mSweepArmed = false;
  std::uint64_t mDisplaced = 0;
  base::Instant mLoggedAt{};
};

} // namespace vanillaloft::entry
