#include "base/result.h"

#include <algorithm>
#include <array>

namespace vanillaloft::base {

namespace {

constexpr std::array kResults = {
  ResultInfo{ Result::Ok,
              "ok",
              200,
              Executed::Yes,
              "The backend server's own answer follows." },
  ResultInfo{ Result::MalformedRequest,
              "malformed-request",
              400,
              Executed::No,
              "The request is not valid HTTP/1.1." },
  ResultInfo{ Result::HeadTooLarge,
              "head-too-large",
              431,
              Executed::No,
              "The request head exceeds 16 KiB." },
  ResultInfo{ Result::BodyTooLarge,
              "body-too-large",
              413,
              Executed::No,
              "The request body exceeds 1 MiB." },
  ResultInfo{ Result::BodyIncomplete,
              "body-incomplete",
              400,
              Executed::No,
              "The connection ended before the whole body arrived." },
  ResultInfo{ Result::RequestTimeout,
              "request-timeout",
              408,
              Executed::No,
              "The whole request did not arrive in time." },
  ResultInfo{ Result::ConflictingLength,
              "conflicting-length",
              400,
              Executed::No,
              "The head carries conflicting body lengths." },
  ResultInfo{ Result::KeyMissing,
              "key-missing",
              401,
              Executed::No,
              "The route needs a key and none came with the request." },
  ResultInfo{ Result::KeyUnknown,
              "key-unknown",
              401,
              Executed::No,
              "The key is unknown or withdrawn." },
  ResultInfo{
    Result::KeysUnconfirmed,
    "keys-unconfirmed",
    503,
    Executed::No,
    "This data centre is cut off and the organisation's setting refuses keys then." },
  ResultInfo{ Result::UnknownRoute,
              "unknown-route",
              404,
              Executed::No,
              "No service has a route for this path." },
  ResultInfo{ Result::MethodNotAllowed,
              "method-not-allowed",
              405,
              Executed::No,
              "The route does not take this method." },
  ResultInfo{ Result::RateExceeded,
              "rate-exceeded",
              429,
              Executed::No,
              "The organisation's rate and burst are used up." },
  ResultInfo{ Result::QueueFull,
              "queue-full",
              503,
              Executed::No,
              "The organisation's admission queue is full." },
  ResultInfo{ Result::QueueTimeout,
              "queue-timeout",
              503,
              Executed::No,
              "No slot became free within the profile's queue time." },
  ResultInfo{ Result::NoBackendServer,
              "no-backend-server",
              503,
              Executed::No,
              "No backend server may take the request now." },
  ResultInfo{ Result::NotReady,
              "not-ready",
              503,
              Executed::No,
              "The entry instance has no configuration yet or is stopping." },
  ResultInfo{ Result::BackendServerShed,
              "backend-server-shed",
              503,
              Executed::No,
              "The backend server said that it did not run the request." },
  ResultInfo{ Result::DeadlineBeforeStart,
              "deadline-before-start",
              504,
              Executed::No,
              "The deadline passed before the request was sent on." },
  ResultInfo{ Result::NotConnected,
              "not-connected",
              503,
              Executed::No,
              "No connection to the chosen instance or backend server could be made." },
  ResultInfo{ Result::BackendServerLeft,
              "backend-server-left",
              503,
              Executed::No,
              "The chosen backend server left before the request was sent." },
  ResultInfo{ Result::TicketMissing,
              "ticket-missing",
              428,
              Executed::No,
              "The order route needs an Idempotency-Key with an order ticket." },
  ResultInfo{
    Result::TicketInvalid,
    "ticket-invalid",
    422,
    Executed::No,
    "The order ticket was not issued to this organisation by a known instance." },
  ResultInfo{
    Result::TicketExpired,
    "ticket-expired",
    410,
    Executed::Unknown,
    "The order ticket has expired; what an earlier use did is no longer known." },
  ResultInfo{ Result::TicketBodyDiffers,
              "ticket-body-differs",
              422,
              Executed::No,
              "The ticket was used before with another request; this one did not run." },
  ResultInfo{ Result::TicketsFull,
              "tickets-full",
              503,
              Executed::No,
              "The instance remembers as many orders as it may; ask another instance." },
  ResultInfo{ Result::OrderInProgress,
              "order-in-progress",
              409,
              Executed::Unknown,
              "The order with this ticket is still running; repeat later." },
  ResultInfo{ Result::OutcomeUnknown,
              "outcome-unknown",
              504,
              Executed::Unknown,
              "The order may or may not have run; a repeat will not run it again." },
  ResultInfo{ Result::AnswerNotKept,
              "answer-not-kept",
              409,
              Executed::Yes,
              "The order ran; its answer was too large to keep." },
  ResultInfo{ Result::AnswerTimeout,
              "answer-timeout",
              504,
              Executed::Unknown,
              "The answer did not arrive before the deadline." },
  ResultInfo{ Result::AnswerLost,
              "answer-lost",
              502,
              Executed::Unknown,
              "The connection broke or the answer belonged to another request." },
};

} // namespace

std::span<const ResultInfo> AllResults()
{
  return kResults;
}

const ResultInfo& InfoOf(Result aCode)
{
  auto found = std::ranges::find(kResults, aCode, &ResultInfo::mCode);
  if (found == kResults.end()) {
    throw std::out_of_range("unknown result code");
  }
  return *found;
}

std::string_view Name(Executed aExecuted)
{
  constexpr std::array<std::string_view, 3> kNames = { "no", "yes", "unknown" };
  return kNames.at(static_cast<std::size_t>(aExecuted));
}

} // namespace vanillaloft::base
