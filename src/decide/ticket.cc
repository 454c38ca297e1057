#include "decide/ticket.h"

#include <array>
#include <charconv>
#include <vector>

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace vanillaloft::decide {

namespace {

constexpr std::string_view kVersion = "v1";
constexpr char kSeparator = '~'; // does not occur in addresses, numbers or names
constexpr std::size_t kFields = 7;

std::vector<std::string_view> Split(std::string_view aText)
{
  std::vector<std::string_view> fields;
  for (std::size_t from = 0; from <= aText.size();) {
    std::size_t to = std::min(aText.find(kSeparator, from), aText.size());
    fields.push_back(aText.substr(from, to - from));
    from = to + 1;
  }
  return fields;
}

template<typename Number>
bool ReadNumber(std::string_view aText, Number& aNumber, int aRadix)
{
  auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), aNumber, aRadix);
  return error == std::errc() && end == aText.data() + aText.size();
}

} // namespace

std::optional<Ticket> Ticket::Parse(std::string_view aText)
{
  std::vector<std::string_view> fields = Split(aText);
  if (fields.size() != kFields || fields[0] != kVersion) {
    return std::nullopt;
  }
  Ticket ticket;
  ticket.mIssuer.mAddress = std::string(fields[1]);
  ticket.mOrganisation = std::string(fields[4]);
  Duration::rep expiry = 0;
  bool ok = ReadNumber(fields[2], ticket.mIssuer.mStartId, 16) &&
            ReadNumber(fields[3], ticket.mSequence, 10) &&
            ReadNumber(fields[5], expiry, 10);
  if (!ok) {
    return std::nullopt;
  }
  ticket.mExpiry = Instant(Duration(expiry));
  return ticket;
}

TicketLedger::TicketLedger(Incarnation aSelf, std::string aSecret, Duration aLife)
  : mSelf(std::move(aSelf))
  , mSecret(std::move(aSecret))
  , mLife(aLife)
{
}

std::string TicketLedger::Sign(std::string_view aText) const
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned size = 0;
  HMAC(EVP_sha256(),
       mSecret.data(),
       static_cast<int>(mSecret.size()),
       reinterpret_cast<const unsigned char*>(aText.data()),
       aText.size(),
       mac.data(),
       &size);
  return Hex({ reinterpret_cast<const char*>(mac.data()), size });
}

bool TicketLedger::IsGenuine(std::string_view aText) const
{
  std::size_t macAt = aText.rfind(kSeparator);
  std::string expected = Sign(aText.substr(0, macAt));
  std::string_view mac = aText.substr(macAt + 1);
  return mac.size() == expected.size() &&
         CRYPTO_memcmp(mac.data(), expected.data(), expected.size()) == 0;
}

// The entry is created when the ticket is issued, so there is always room to record the
// use of an issued ticket.
std::optional<std::string> TicketLedger::Issue(std::string_view aOrganisation,
                                               Instant aNow)
{
  DropExpired(aNow);
  if (mEntries.size() >= kMaxTickets) {
    return std::nullopt;
  }
  std::uint64_t sequence = mNextSequence++;
  Instant expiry = aNow + mLife;
  mEntries.emplace(sequence, Entry());
  mExpiries.push_back({ expiry, sequence });
  std::string text = fmt::format("{}~{}~{:x}~{}~{}~{}",
                                 kVersion,
                                 mSelf.mAddress,
                                 mSelf.mStartId,
                                 sequence,
                                 aOrganisation,
                                 expiry.time_since_epoch().count());
  return text + kSeparator + Sign(text);
}

// The order of the checks matters. The state of an order is disclosed only for a ticket
// that this incarnation signed, and only to the organisation that it was issued to. What
// another incarnation did with its tickets is not known here, so their result never
// means that the order did not run.
TicketDecision TicketLedger::Admit(std::string_view aText,
                                   std::string_view aOrganisation,
                                   std::string_view aRequest,
                                   Instant aNow)
{
  DropExpired(aNow);
  std::optional<Ticket> ticket = Ticket::Parse(aText);
  auto refuse = [](base::Result aResult) {
    return TicketDecision{ TicketDecision::Kind::Refuse, {}, aResult };
  };
  if (!ticket || ticket->mOrganisation != aOrganisation) {
    return refuse(base::Result::TicketInvalid);
  }
  if (ticket->mIssuer != mSelf) {
    return refuse(base::Result::OutcomeUnknown);
  }
  if (!IsGenuine(aText)) {
    return refuse(base::Result::TicketInvalid);
  }
  auto found = mEntries.find(ticket->mSequence);
  if (found == mEntries.end()) {
    return refuse(base::Result::TicketExpired);
  }
  Entry& entry = found->second;
  if (!entry.mRequest.empty() && entry.mRequest != aRequest) {
    return refuse(base::Result::TicketBodyDiffers);
  }
  if (entry.mState == State::Issued) {
    entry.mState = State::Running;
    entry.mRequest = std::string(aRequest);
    return { TicketDecision::Kind::Start, {}, {} };
  }
  if (entry.mState == State::Running) {
    return refuse(base::Result::OrderInProgress);
  }
  return { TicketDecision::Kind::Repeat, entry.mOutcome, {} };
}

bool TicketLedger::IsNotRun(std::string_view aText,
                            std::string_view aOrganisation,
                            Instant aNow)
{
  DropExpired(aNow);
  std::optional<Ticket> ticket = Ticket::Parse(aText);
  if (!ticket || ticket->mOrganisation != aOrganisation || ticket->mIssuer != mSelf ||
      !IsGenuine(aText)) {
    return false;
  }
  auto found = mEntries.find(ticket->mSequence);
  return found != mEntries.end() && found->second.mState == State::Issued;
}

// A successful response that is too large, or that exceeds the memory for responses, is
// not kept; a repeated request then gets the result AnswerNotKept.
void TicketLedger::Finish(std::uint64_t aSequence, Outcome aOutcome)
{
  auto found = mEntries.find(aSequence);
  if (found == mEntries.end()) {
    return;
  }
  bool fits = aOutcome.mBody.size() <= kMaxKeptAnswerBytes &&
              mAnswerBytes + aOutcome.mBody.size() <= kMaxAnswerBytes;
  if (!fits && aOutcome.mResult == base::Result::Ok) {
    aOutcome = Outcome{ base::Result::AnswerNotKept, 0, {}, {}, {}, {} };
  }
  mAnswerBytes += aOutcome.mBody.size();
  found->second.mState = State::Done;
  found->second.mOutcome = std::move(aOutcome);
}

// The request digest is kept, so that the ticket may be used again for the same order but
// not for another one.
void TicketLedger::Release(std::uint64_t aSequence)
{
  auto found = mEntries.find(aSequence);
  if (found != mEntries.end()) {
    found->second.mState = State::Issued;
  }
}

// A ticket without an entry is refused as expired, so an order never runs again after its
// entry is dropped, even if it is still running.
void TicketLedger::DropExpired(Instant aNow)
{
  while (!mExpiries.empty() && mExpiries.front().mAt <= aNow) {
    auto found = mEntries.find(mExpiries.front().mSequence);
    mExpiries.pop_front();
    mAnswerBytes -= found->second.mOutcome.mBody.size();
    mEntries.erase(found);
  }
}

bool TicketLedger::HasUnexpired(Instant aNow)
{
  DropExpired(aNow);
  return !mEntries.empty();
}

} // namespace vanillaloft::decide
