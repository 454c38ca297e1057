#include "base/event.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace vanillaloft::base {

namespace {

constexpr std::array kRows = {
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
             "An item of the store cannot be read and is left out of account." },
  EventInfo{ Event::FeedFailed,
             "feed-failed",
             "A call that follows a part of the store failed; said once a second." },
  EventInfo{
    Event::FeedRead,
    "feed-read",
    "A part of the store was listed, or its changes came again after failures." },
  EventInfo{
    Event::FeedRelayed,
    "feed-relayed",
    "A peer told what had changed in a part of the store before the store did." },
  EventInfo{ Event::ShareHeld,
             "share-held",
             "The instance holds its data centre's shares of the budgets." },
  EventInfo{ Event::ShareLapsed,
             "share-lapsed",
             "The pool share lapsed; only the floor remains." },
  EventInfo{ Event::ShareReleased,
             "share-released",
             "The instance gave its shares back." },
  EventInfo{ Event::ShareReclaimed,
             "share-reclaimed",
             "Shares of a holder that stopped renewing were reclaimed." },
  EventInfo{ Event::PeerLost, "peer-lost", "A peer no longer answers heartbeats." },
  EventInfo{ Event::PeerFound, "peer-found", "A peer answers heartbeats." },
  EventInfo{ Event::BackendServerState,
             "backend-server-state",
             "A backend server changed its state." },
  EventInfo{ Event::ConnectionClosed,
             "connection-closed",
             "A connection to a backend server was closed because its answer was late or "
             "did not match." },
  EventInfo{ Event::DataCentreEvacuated,
             "data-centre-evacuated",
             "Operators asked to send nothing to a data centre, or took that back." },
  EventInfo{ Event::RunbookStep, "runbook-step", "A runbook advanced by a step." },
  EventInfo{ Event::RunbookWaits,
             "runbook-waits",
             "A runbook step is held; the text says by what." },
  EventInfo{ Event::RunbookEnded, "runbook-ended", "A runbook run ended." },
  EventInfo{ Event::RequestEnded,
             "request-ended",
             "A request was answered or refused; says with which result and why." },
  EventInfo{ Event::RequestBroken,
             "request-broken",
             "An unexpected error ended a request; the text says which." },
};

} // namespace

std::span<const EventInfo> AllEvents()
{
  return kRows;
}

const EventInfo& InfoOf(Event aEvent)
{
  auto row = std::ranges::find(kRows, aEvent, &EventInfo::mEvent);
  if (row == kRows.end()) {
    throw std::out_of_range("unknown event number");
  }
  return *row;
}

} // namespace vanillaloft::base
