// What backend servers say of themselves in their responses: that they are leaving, and
// for how long they want no requests. It holds for one boot of a server and outlives the
// server's registration, of which older copies may still arrive.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "base/types.h"

namespace vanillaloft::decide {

using base::Duration;
using base::Instant;

// One start of a backend server.
struct ServerBoot
{
  std::string mId;
  std::uint64_t mIncarnation = 0;

  auto operator<=>(const ServerBoot&) const = default;
};

// Longest pause that a server can ask for.
constexpr Duration kMaxRequestedPause = std::chrono::hours(1);
// A server that asks for a longer pause is ranked after all others until its end. For a
// shorter one it keeps its objects: their requests spill over and then return.
constexpr Duration kMaxSpillPause = std::chrono::seconds(10);

class ServerNotices
{
public:
  // What is known of one boot.
  struct Notice
  {
    bool mLeaving = false;
    Instant mPausedUntil{}; // no requests before this time
  };

  void RecordLeaving(const ServerBoot& aBoot, Instant aNow);
  // Of several pauses the latest end counts.
  void RecordPause(const ServerBoot& aBoot, Duration aPause, Instant aNow);
  // A boot that said nothing has the default notice.
  Notice Of(const ServerBoot& aBoot) const;

private:
  Notice& Entry(const ServerBoot& aBoot, Instant aNow);

  std::map<ServerBoot, Notice> mNotices;
};

// Delay after which a caller may retry when all servers are paused: until the first pause
// ends, and a part of kRetrySpread by the request's hash, so that callers return at
// different times.
Duration RetryAfterPause(Duration aLeft, std::uint64_t aHash);

} // namespace vanillaloft::decide
