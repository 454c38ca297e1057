// Numbered log events. docs/EVENTS.md lists the same events; a unit test checks that
// both catalogues match.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <spdlog/spdlog.h>

namespace vanillaloft::base {

enum class Event : std::uint16_t
{
  Started = 1001,
  SettingRefused = 1002,
  Stopping = 1003,
  Stopped = 1004,
  Ready = 1005,
  Reloaded = 1006,
  ReloadFailed = 1007,
  TaskFailed = 1008,
  LogLinesDropped = 1009,
  ConfigurationInForce = 2001,
  ConfigurationRefused = 2002,
  ConfigurationOlderIgnored = 2003,
  StoreUnavailable = 2101,
  StoreAvailable = 2102,
  ItemUnreadable = 2103,
  FeedFailed = 2104,
  FeedRead = 2105,
  FeedRelayed = 2106,
  WatcherChosen = 2107,
  WatcherRejected = 2108,
  StoreCalls = 2109,
  WatchAbandoned = 2110,
  ShareHeld = 3001,
  ShareLapsed = 3002,
  ShareReleased = 3003,
  ShareReclaimed = 3004,
  PeerLost = 4001,
  PeerFound = 4002,
  PeerConnectionSilent = 4003,
  BackendServerState = 5001,
  ConnectionClosed = 5002,
  DataCentreEvacuated = 5003,
  AnswerSkipped = 5004,
  BackendServerLeaving = 5005,
  BackendServerPause = 5006,
  LoadFigureUnreadable = 5007,
  RunbookStep = 6001,
  RunbookWaits = 6002,
  RunbookEnded = 6003,
  RequestEnded = 7001,
  RequestBroken = 7002,
  RequestHeld = 7003,
  RequestCut = 7004,
  AnswerWritten = 7005,
  MemoryFull = 7101,
  ConnectionsFull = 7102,
  IdleConnectionsFull = 7103,
};

// Catalogue entry of an event.
struct EventInfo
{
  Event mEvent;
  std::string_view mName;
  std::string_view mMeaning;
};

std::span<const EventInfo> AllEvents();

// Makes a text of unknown origin fit for a log line: shortens a long one and replaces
// bytes that are not printable ASCII characters.
std::string Printable(std::string_view aText);

// Returns the catalogue entry of an event. Throws std::out_of_range if the number is not
// in the catalogue.
const EventInfo& InfoOf(Event aEvent);

// Form of an event's text, so that log tools can filter by number. Arguments: number,
// name, details.
constexpr const char* kEventFormat = "event={} name={} {}";

// Logs an event in the form of kEventFormat.
template<typename... Args>
void Log(spdlog::level::level_enum aLevel,
         Event aEvent,
         fmt::format_string<Args...> aFormat,
         Args&&... aArgs)
{
  const EventInfo& info = InfoOf(aEvent);
  spdlog::log(aLevel,
              kEventFormat,
              static_cast<unsigned>(aEvent),
              info.mName,
              fmt::format(aFormat, std::forward<Args>(aArgs)...));
}

} // namespace vanillaloft::base
