#include "base/event.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace vanillaloft::base {

namespace {

constexpr std::array kEvents = {
  EventInfo{ Event::Started, "started", "The process listens." },
  EventInfo{ Event::SettingRefused,
             "setting-refused",
             "A setting is not acceptable; the process ends." },
  EventInfo{ Event::Stopping,
             "stopping",
             "A planned stop began; look-ups no longer name the instance." },
  EventInfo{ Event::Stopped, "stopped", "The planned stop is complete." },
  EventInfo{
    Event::Ready,
    "ready",
    "The instance has a configuration, knows a holder of shares and answers look-ups." },
  EventInfo{ Event::Reloaded, "reloaded", "The settings were read again after SIGHUP." },
  EventInfo{ Event::ReloadFailed,
             "reload-failed",
             "The settings could not be read again; those in use stay in force." },
  EventInfo{ Event::TaskFailed,
             "task-failed",
             "An unexpected error ended a background task; loops start again." },
  EventInfo{ Event::LogLinesDropped,
             "log-lines-dropped",
             "Lines of the log were dropped, because its reader did not read or the "
             "output failed." },
  EventInfo{ Event::ConfigurationInForce,
             "configuration-in-force",
             "A revision came into force." },
  EventInfo{ Event::ConfigurationRefused,
             "configuration-refused",
             "A revision could not be read." },
  EventInfo{ Event::ConfigurationOlderIgnored,
             "configuration-older-ignored",
             "A source offered an older or differing revision; it is ignored." },
  EventInfo{ Event::StoreUnavailable,
             "store-unavailable",
             "Calls to the platform's store began to fail." },
  EventInfo{ Event::StoreAvailable,
             "store-available",
             "The platform's store answers again." },
  EventInfo{ Event::ItemUnreadable,
             "item-unreadable",
             "An item of the store cannot be parsed and is ignored." },
  EventInfo{ Event::FeedFailed,
             "feed-failed",
             "A call that watches a part of the store failed; logged once a second." },
  EventInfo{ Event::FeedRead,
             "feed-read",
             "A part of the store was listed, or its changes were received again after "
             "failures." },
  EventInfo{ Event::FeedRelayed,
             "feed-relayed",
             "A peer delivered changes of a part of the store before the store did." },
  EventInfo{
    Event::WatcherChosen,
    "watcher-chosen",
    "An instance, maybe this one, was chosen to watch the store for the data centre." },
  EventInfo{ Event::WatcherRejected,
             "watcher-rejected",
             "The watcher did not answer, or knew less than the store; another one is "
             "asked for some time." },
  EventInfo{ Event::StoreCalls,
             "store-calls",
             "The calls to the store since the start by kind; logged every 10 s." },
  EventInfo{ Event::WatchAbandoned,
             "watch-abandoned",
             "A watch was given up and sent again, because the store may have lost it." },
  EventInfo{ Event::ShareHeld,
             "share-held",
             "The instance holds its data centre's shares of the budgets." },
  EventInfo{ Event::ShareLapsed,
             "share-lapsed",
             "The pool share lapsed; only the floor remains." },
  EventInfo{ Event::ShareReleased,
             "share-released",
             "The instance returned its shares." },
  EventInfo{ Event::ShareReclaimed,
             "share-reclaimed",
             "Shares of a holder that stopped renewing were reclaimed." },
  EventInfo{ Event::PeerLost, "peer-lost", "A peer no longer answers heartbeats." },
  EventInfo{ Event::PeerFound, "peer-found", "A peer answers heartbeats." },
  EventInfo{ Event::PeerConnectionSilent,
             "peer-connection-silent",
             "Heartbeats to a peer got no answer; its connection is replaced." },
  EventInfo{ Event::BackendServerState,
             "backend-server-state",
             "A backend server changed its state." },
  EventInfo{ Event::ConnectionClosed,
             "connection-closed",
             "A connection to a backend server was closed because its answer was late or "
             "did not match." },
  EventInfo{ Event::DataCentreEvacuated,
             "data-centre-evacuated",
             "Operators evacuated a data centre or withdrew the evacuation." },
  EventInfo{ Event::AnswerSkipped,
             "answer-skipped",
             "A backend server sent an answer to another request; it is dropped." },
  EventInfo{ Event::BackendServerLeaving,
             "backend-server-leaving",
             "A backend server said in an answer that it leaves; it gets nothing new." },
  EventInfo{ Event::BackendServerPause,
             "backend-server-pause",
             "A backend server refused a request and asked for a pause; one that cannot "
             "be read is ignored." },
  EventInfo{ Event::LoadFigureUnreadable,
             "load-figure-unreadable",
             "A backend server reported its pace in an unreadable form; logged once." },
  EventInfo{ Event::RunbookStep, "runbook-step", "A runbook advanced by a step." },
  EventInfo{ Event::RunbookWaits,
             "runbook-waits",
             "A runbook step is waiting; the text gives the reason." },
  EventInfo{ Event::RunbookEnded, "runbook-ended", "A runbook run ended." },
  EventInfo{
    Event::RequestEnded,
    "request-ended",
    "A request was answered or refused; the text gives the result and the reason." },
  EventInfo{ Event::RequestBroken,
             "request-broken",
             "An unexpected error ended a request; the text gives the error." },
  EventInfo{ Event::RequestHeld,
             "request-held",
             "A request that the instance held when a planned stop began; the text gives "
             "what it waited for." },
  EventInfo{ Event::RequestCut,
             "request-cut",
             "The service of a planned stop ended before the wait of a request; its "
             "caller gets 504." },
  EventInfo{ Event::AnswerWritten,
             "answer-written",
             "In a planned stop, an answer was written to its caller, or could not be." },
  EventInfo{ Event::MemoryFull,
             "memory-full",
             "Requests or answers that made the least progress for their bytes were "
             "ended to make room; logged once a second with the number so far." },
  EventInfo{ Event::ConnectionsFull,
             "connections-full",
             "A listening address has as many connections as it may; the one without a "
             "request for the longest time is closed; logged once a second." },
  EventInfo{ Event::IdleConnectionsFull,
             "idle-connections-full",
             "As many connections to backend servers are idle as may be; the longest "
             "idle one is closed; logged once a second." },
};

} // namespace

std::span<const EventInfo> AllEvents()
{
  return kEvents;
}

const EventInfo& InfoOf(Event aEvent)
{
  auto found = std::ranges::find(kEvents, aEvent, &EventInfo::mEvent);
  if (found == kEvents.end()) {
    throw std::out_of_range("unknown event number");
  }
  return *found;
}

std::string Printable(std::string_view aText)
{
  constexpr std::size_t kMaxBytes = 200;
  std::string text(aText.substr(0, kMaxBytes));
  std::ranges::replace_if(
    text, [](char aChar) { return aChar < ' ' || aChar > '~'; }, '?');
  return aText.size() > kMaxBytes ? text + "..." : text;
}

} // namespace vanillaloft::base
