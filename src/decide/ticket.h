// Order tickets: at-most-once execution without storage. A ticket names the incarnation
// that issued it. Only that incarnation may start the order; it keeps the ticket until
// expiry and returns the first outcome to repeated requests. A new incarnation has
// another secret and so accepts none of its predecessor's tickets.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/result.h"
#include "base/types.h"
#include "decide/config.h"

namespace vanillaloft::decide {

// The contents of a ticket. Text form:
// v1~ADDRESS~START~SEQUENCE~ORGANISATION~EXPIRY~MAC
struct Ticket
{
  Incarnation mIssuer;
  std::uint64_t mSequence = 0;
  std::string mOrganisation;
  Instant mExpiry{}; // on the issuer's clock

  // Parses the text without checking its MAC. Returns nullopt if it is not a ticket.
  static std::optional<Ticket> Parse(std::string_view aText);
};

// An HTTP header field that is passed through unchanged.
struct HeaderField
{
  std::string mName;
  std::string mValue;
};

// The outcome of a request. That of an order is kept for repeated requests.
struct Outcome
{
  base::Result mResult = base::Result::OutcomeUnknown;
  unsigned mStatus = 0;     // of the backend server's response
  std::string mContentType; // of the backend server's response
  std::string mBody;
  std::vector<HeaderField> mFields; // other fields of the backend server's response
  Duration mRetryAfter{};           // of a refusal: delay before a retry
};

// The decision on a presented ticket.
struct TicketDecision
{
  enum class Kind : std::uint8_t
  {
    Start,  // run the order, then call Finish or Release
    Repeat, // the order has ended; return mOutcome
    Refuse  // return mRefusal
  };
  Kind mKind = Kind::Refuse;
  Outcome mOutcome;
  base::Result mRefusal = base::Result::TicketInvalid;
};

// Issues tickets and records their use until they expire. Memory is bounded by the number
// of unexpired tickets and the number of bytes of kept responses.
class TicketLedger
{
public:
  static constexpr std::size_t kMaxTickets = 20'000;
  static constexpr std::size_t kMaxAnswerBytes = 8UL * 1024 * 1024;
  static constexpr std::size_t kMaxKeptAnswerBytes = 64UL * 1024;

  // aSecret is random and known to this incarnation only.
  TicketLedger(Incarnation aSelf, std::string aSecret, Duration aLife);

  // Issues a ticket. Returns nullopt if kMaxTickets tickets are unexpired.
  std::optional<std::string> Issue(std::string_view aOrganisation, Instant aNow);

  // Decides on a presented ticket. Kind::Start has already recorded the use, before the
  // order is sent. aRequest is a digest of the route and the body.
  TicketDecision Admit(std::string_view aText,
                       std::string_view aOrganisation,
                       std::string_view aRequest,
                       Instant aNow);

  // True if the order of a presented ticket certainly did not run: this incarnation
  // issued the ticket to the organisation, and its order was not started or gave it back.
  bool IsNotRun(std::string_view aText, std::string_view aOrganisation, Instant aNow);

  // Records the outcome of an order that was started.
  void Finish(std::uint64_t aSequence, Outcome aOutcome);

  // Reports that a started order certainly did not run, so that its ticket may be used
  // again.
  void Release(std::uint64_t aSequence);

  // True while any issued ticket has not expired.
  bool HasUnexpired(Instant aNow);
  std::size_t Size() const { return mEntries.size(); }
  std::size_t AnswerBytes() const { return mAnswerBytes; }

private:
  enum class State : std::uint8_t
  {
    Issued,
    Running,
    Done
  };
  struct Entry
  {
    State mState = State::Issued;
    std::string mRequest; // digest; empty before the first use
    Outcome mOutcome;
  };
  struct Expiry
  {
    Instant mAt{};
    std::uint64_t mSequence = 0;
  };

  std::string Sign(std::string_view aText) const;
  // True if this incarnation signed a ticket.
  bool IsGenuine(std::string_view aText) const;
  void DropExpired(Instant aNow);

  Incarnation mSelf;
  std::string mSecret;
  Duration mLife;
  std::uint64_t mNextSequence = 1;
  std::unordered_map<std::uint64_t, Entry> mEntries;
  std::deque<Expiry> mExpiries; // in order of time
  std::size_t mAnswerBytes = 0;
};

} // namespace vanillaloft::decide
