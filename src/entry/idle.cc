#include "entry/idle.h"

#include "base/event.h"

namespace vanillaloft::entry {

namespace {

constexpr std::size_t kMaxForOneServer = 32;
constexpr std::size_t kDescriptorDivisor = 8;
constexpr std::chrono::seconds kSweepInterval{ 1 };
constexpr base::Duration kMaxIdleTime = std::chrono::minutes(1);
constexpr base::Duration kLogInterval = std::chrono::seconds(1);

bool IsSame(const base::HostPort& aLeft, const base::HostPort& aRight)
{
  return aLeft.mHost == aRight.mHost && aLeft.mPort == aRight.mPort;
}

} // namespace

std::size_t MaxIdleConnections(std::size_t aDescriptors)
{
  return aDescriptors / kDescriptorDivisor;
}

IdleConnections::IdleConnections(boost::asio::io_context& aContext,
                                 const base::Clock& aClock,
                                 std::size_t aLimit)
  : mClock(aClock)
  , mLimit(aLimit)
  , mSweepTimer(aContext)
{
}

void IdleConnections::Keep(IdlePeer aPeer, ConnectionPtr aConnection)
{
  auto& ofServer = mByServer[aPeer.mName];
  if (ofServer.size() >= kMaxForOneServer) {
    return;
  }
  mByAge.push_back({ std::move(aPeer), std::move(aConnection), mClock.Now() });
  ofServer.push_back(std::prev(mByAge.end()));
  if (mByAge.size() > mLimit) {
    DisplaceOldest();
  }
  ArmSweep();
}

IdleConnections::ConnectionPtr IdleConnections::Take(const std::string& aServer,
                                                     const base::HostPort& aAddress)
{
  for (;;) {
    auto found = mByServer.find(aServer);
    if (found == mByServer.end()) {
      return nullptr;
    }
    Position latest = found->second.back();
    bool sameAddress = IsSame(latest->mPeer.mAddress, aAddress);
    ConnectionPtr connection = std::move(latest->mConnection);
    Erase(latest);
    if (sameAddress && connection->IsReusable()) {
      return connection;
    }
  }
}

void IdleConnections::CloseAll(const std::string& aServer)
{
  auto found = mByServer.find(aServer);
  if (found == mByServer.end()) {
    return;
  }
  for (Position idle : found->second) {
    mByAge.erase(idle);
  }
  mByServer.erase(found);
}

void IdleConnections::Erase(Position aIdle)
{
  auto found = mByServer.find(aIdle->mPeer.mName);
  found->second.remove(aIdle);
  if (found->second.empty()) {
    mByServer.erase(found);
  }
  mByAge.erase(aIdle);
}

void IdleConnections::DisplaceOldest()
{
  Erase(mByAge.begin());
  ++mDisplaced;
  base::Instant now = mClock.Now();
  if (mLoggedAt == base::Instant() || now - mLoggedAt >= kLogInterval) {
    mLoggedAt = now;
    base::Log(spdlog::level::warn,
              base::Event::IdleConnectionsFull,
              "limit={} closed={}",
              mLimit,
              mDisplaced);
  }
}

void IdleConnections::ArmSweep()
{
  if (mSweepArmed || mByAge.empty()) {
    return;
  }
  mSweepArmed = true;
  mSweepTimer.expires_after(kSweepInterval);
  mSweepTimer.async_wait([this](const boost::system::error_code& aCancelled) {
    if (!aCancelled) {
      mSweepArmed = false;
      Sweep();
      ArmSweep();
    }
  });
}

void IdleConnections::Sweep()
{
  base::Instant now = mClock.Now();
  for (Position idle = mByAge.begin(); idle != mByAge.end();) {
    Position next = std::next(idle);
    bool hasLeft = idle->mPeer.mHasLeft && idle->mPeer.mHasLeft();
    if (hasLeft || now - idle->mSince >= kMaxIdleTime) {
      Erase(idle);
    }
    idle = next;
  }
}

} // namespace vanillaloft::entry
