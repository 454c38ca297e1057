// What backend servers say of themselves in their responses: that they are leaving.
// It holds for one boot of a server and outlives the server's registration, of which
// older copies may still arrive.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace vanillaloft::decide {

// One start of a backend server.
struct ServerBoot
{
  std::string mId;
  std::uint64_t mIncarnation = 0;

  auto operator<=>(const ServerBoot&) const = default;
};

class ServerNotices
{
public:
  // What is known of one boot.
  struct Notice
  {
    bool mLeaving = false;
  };

  void RecordLeaving(const ServerBoot& aBoot);
  // A boot that said nothing has the default notice.
  Notice Of(const ServerBoot& aBoot) const;

private:
  std::map<ServerBoot, Notice> mNotices;
};

} // namespace vanillaloft::decide
