#include "base/result.h"

#include <algorithm>
#include <array>

namespace vanillaloft::base {

namespace {

constexpr std::array kRows = {
  ResultRow{ Result::Ok,
             "ok",
             200,
             Ran::Yes,
             "The backend server's own answer follows." },
  ResultRow{ Result::MalformedRequest,
             "malformed-request",
             400,
             Ran::No,
             "The request is not valid HTTP/1.1." },
  ResultRow{ Result::HeadTooLarge,
             "head-too-large",
             431,
             Ran::No,
             "The request head exceeds 16 KiB." },
  ResultRow{ Result::BodyTooLarge,
             "body-too-large",
             413,
             Ran::No,
             "The request body exceeds 1 MiB." },
  ResultRow{ Result::BodyIncomplete,
             "body-incomplete",
             400,
             Ran::No,
             "The connection ended before the whole body arrived." },
  ResultRow{ Result::RequestTimeout,
             "request-timeout",
             408,
             Ran::No,
             "The whole request did not arrive in time." },
  ResultRow{ Result::ConflictingLength,
             "conflicting-length",
             400,
             Ran::No,
             "The head carries conflicting body lengths." },
  ResultRow{ Result::KeyMissing,
             "key-missing",
             401,
             Ran::No,
             "The route needs a key and none came with the request." },
  ResultRow{ Result::KeyUnknown,
             "key-unknown",
             401,
             Ran::No,
             "The key is unknown or withdrawn." },
  ResultRow{
    Result::KeysUnconfirmed,
    "keys-unconfirmed",
    503,
    Ran::No,
    "This data centre is cut off and the organisation's setting refuses keys then." },
  ResultRow{ Result::UnknownRoute,
             "unknown-route",
             404,
             Ran::No,
             "No service has a route for this path." },
  ResultRow{ Result::MethodNotAllowed,
             "method-not-allowed",
             405,
             Ran::No,
             "The route does not take this method." },
  ResultRow{ Result::RateExceeded,
             "rate-exceeded",
             429,
             Ran::No,
             "The organisation's rate and burst are used up." },
  ResultRow{ Result::QueueFull,
             "queue-full",
             503,
             Ran::No,
             "The organisation's admission queue is full." },
  ResultRow{ Result::QueueTimeout,
             "queue-timeout",
             503,
             Ran::No,
             "No slot became free within the profile's queue time." },
  ResultRow{ Result::NoBackendServer,
             "no-backend-server",
             503,
             Ran::No,
             "No backend server may take the request now." },
  ResultRow{ Result::NotReady,
             "not-ready",
             503,
             Ran::No,
             "The entry instance has no configuration yet or is stopping." },
  ResultRow{ Result::BackendServerShed,
             "backend-server-shed",
             503,
             Ran::No,
             "The backend server said that it did not run the request." },
  ResultRow{ Result::DeadlineBeforeStart,
             "deadline-before-start",
             504,
             Ran::No,
             "The deadline passed before the request was sent on." },
  ResultRow{ Result::NotConnected,
             "not-connected",
             503,
             Ran::No,
             "No connection to the chosen instance or backend server could be made." },
  ResultRow{ Result::BackendServerLeft,
             "backend-server-left",
             503,
             Ran::No,
             "The chosen backend server left before the request was sent." },
  ResultRow{ Result::TicketMissing,
             "ticket-missing",
             428,
             Ran::No,
             "The order route needs an Idempotency-Key with an order ticket." },
  ResultRow{
    Result::TicketInvalid,
    "ticket-invalid",
    422,
    Ran::No,
    "The order ticket was not issued to this organisation by a known instance." },
  ResultRow{
    Result::TicketExpired,
    "ticket-expired",
    410,
    Ran::Unknown,
    "The order ticket has expired; what an earlier use did is no longer known." },
  ResultRow{ Result::TicketBodyDiffers,
             "ticket-body-differs",
             422,
             Ran::No,
             "The ticket was used before with another request; this one did not run." },
  ResultRow{ Result::TicketsFull,
             "tickets-full",
             503,
             Ran::No,
             "The instance remembers as many orders as it may; ask another instance." },
  ResultRow{ Result::OrderInProgress,
             "order-in-progress",
             409,
             Ran::Unknown,
             "The order with this ticket is still running; repeat later." },
  ResultRow{ Result::OutcomeUnknown,
             "outcome-unknown",
             504,
             Ran::Unknown,
             "The order may or may not have run; a repeat will not run it again." },
  ResultRow{ Result::AnswerNotKept,
             "answer-not-kept",
             409,
             Ran::Yes,
             "The order ran; its answer was too large to keep." },
  ResultRow{ Result::AnswerTimeout,
             "answer-timeout",
             504,
             Ran::Unknown,
             "The answer did not arrive before the deadline." },
  ResultRow{ Result::AnswerLost,
             "answer-lost",
             502,
             Ran::Unknown,
             "The connection broke or the answer belonged to another request." },
};

} // namespace

std::span<const ResultRow> ResultRows()
{
  return kRows;
}

const ResultRow& Row(Result aCode)
{
  auto row = std::ranges::find(kRows, aCode, &ResultRow::mCode);
  if (row == kRows.end()) {
    throw std::out_of_range("unknown result code");
  }
  return *row;
}

std::string_view Name(Ran aRan)
{
  constexpr std::array<std::string_view, 3> kNames = { "no", "yes", "unknown" };
  return kNames.at(static_cast<std::size_t>(aRan));
}

} // namespace vanillaloft::base
