#include "base/event.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace vanillaloft::base {

namespace {

constexpr std::array kRows = {
  EventRow{ Event::Started, "started", "The process listens." },
  EventRow{ Event::SettingRefused,
            "setting-refused",
            "A setting is not acceptable; the process ends." },
  EventRow{ Event::Stopping,
            "stopping",
            "A planned stop began; look-ups no longer name the instance." },
  EventRow{ Event::Stopped, "stopped", "The planned stop is complete." },
  EventRow{
    Event::Ready,
    "ready",
    "The instance has a configuration, knows a holder of shares and answers look-ups." },
  EventRow{ Event::Reloaded, "reloaded", "The settings were read again after SIGHUP." },
  EventRow{ Event::ConfigurationInForce,
            "configuration-in-force",
            "A revision came into force." },
  EventRow{ Event::ConfigurationRefused,
            "configuration-refused",
            "A revision could not be read." },
  EventRow{ Event::ConfigurationOlderIgnored,
            "configuration-older-ignored",
            "A source offered an older or differing revision; it is ignored." },
  EventRow{ Event::StoreUnavailable,
            "store-unavailable",
            "Calls to the platform's store began to fail." },
  EventRow{ Event::StoreAvailable,
            "store-available",
            "The platform's store answers again." },
  EventRow{ Event::ItemUnreadable,
            "item-unreadable",
            "An item of the store cannot be read and is left out of account." },
  EventRow{ Event::FeedFailed,
            "feed-failed",
            "A call that follows a part of the store failed; said once a second." },
  EventRow{ Event::FeedRead,
            "feed-read",
            "A part of the store was listed, or its changes came again after failures." },
  EventRow{ Event::FeedRelayed,
            "feed-relayed",
            "A peer told what had changed in a part of the store before the store did." },
  EventRow{ Event::ShareHeld,
            "share-held",
            "The instance holds its data centre's shares of the budgets." },
  EventRow{ Event::ShareLapsed,
            "share-lapsed",
            "The pool share lapsed; only the floor remains." },
  EventRow{ Event::ShareReleased,
            "share-released",
            "The instance gave its shares back." },
  EventRow{ Event::ShareReclaimed,
            "share-reclaimed",
            "Shares of a holder that stopped renewing were reclaimed." },
  EventRow{ Event::PeerLost, "peer-lost", "A peer no longer answers heartbeats." },
  EventRow{ Event::PeerFound, "peer-found", "A peer answers heartbeats." },
  EventRow{ Event::BackendServerState,
            "backend-server-state",
            "A backend server changed its state." },
  EventRow{ Event::ConnectionClosed,
            "connection-closed",
            "A connection to a backend server was closed because its answer was late or "
            "did not match." },
  EventRow{ Event::DataCentreEvacuated,
            "data-centre-evacuated",
            "Operators asked to send nothing to a data centre, or took that back." },
  EventRow{ Event::RunbookStep, "runbook-step", "A runbook advanced by a step." },
  EventRow{ Event::RunbookWaits,
            "runbook-waits",
            "A runbook step is held; the text says by what." },
  EventRow{ Event::RunbookEnded, "runbook-ended", "A runbook run ended." },
  EventRow{ Event::RequestEnded,
            "request-ended",
            "A request was answered or refused; says with which result and why." },
  EventRow{ Event::RequestBroken,
            "request-broken",
            "An unexpected error ended a request; the text says which." },
};

} // namespace

std::span<const EventRow> EventRows()
{
  return kRows;
}

const EventRow& Row(Event aEvent)
{
  auto row = std::ranges::find(kRows, aEvent, &EventRow::mEvent);
  if (row == kRows.end()) {
    throw std::out_of_range("unknown event number");
  }
  return *row;
}

} // namespace vanillaloft::base
