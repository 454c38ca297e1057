#include "entry/relay.h"

#include <algorithm>

#include "entry/background.h"

namespace vanillaloft::entry {

namespace wire = peer::wire;

namespace {

constexpr std::chrono::milliseconds kHeartbeatTimeout{ 1000 };
constexpr std::chrono::milliseconds kConfigFetchTimeout{ 2000 };
constexpr std::size_t kAddressesPerHeartbeat = 24;
// The body of a forwarded request is also in gRPC's own message until the call ends.
constexpr std::size_t kForwardedCopies = 2;

wire::Status ToWire(const decide::MemberStatus& aStatus)
{
  wire::Status status;
  status.set_address(aStatus.mSelf.mAddress);
  status.set_start(aStatus.mSelf.mStartId);
  status.set_data_centre(aStatus.mDataCentre);
  status.set_entry_address(aStatus.mEntryAddress);
  status.set_weight(aStatus.mWeight);
  status.set_address_digest(aStatus.mAddressDigest);
  status.set_ready(aStatus.mReady);
  status.set_leaving(aStatus.mLeaving);
  status.set_holds_shares(aStatus.mHoldsShares);
  status.set_store_path(aStatus.mHasStorePath);
  status.set_revision(aStatus.mRevision);
  status.set_digest(aStatus.mDigest);
  if (aStatus.mConfirmedAge != Duration::max()) {
    auto age = std::chrono::ceil<std::chrono::milliseconds>(aStatus.mConfirmedAge);
    status.set_confirmed_age_ms(static_cast<std::uint64_t>(age.count()));
  }
  status.mutable_remote_slots()->insert(aStatus.mRemoteSlots.begin(),
                                        aStatus.mRemoteSlots.end());
  status.mutable_free_slots()->insert(aStatus.mFreeSlots.begin(),
                                      aStatus.mFreeSlots.end());
  return status;
}

decide::MemberStatus FromWire(const wire::Status& aStatus)
{
  decide::MemberStatus status;
  status.mSelf = { aStatus.address(), aStatus.start() };
  status.mDataCentre = aStatus.data_centre();
  status.mEntryAddress = aStatus.entry_address();
  status.mWeight = aStatus.weight();
  status.mAddressDigest = aStatus.address_digest();
  status.mReady = aStatus.ready();
  status.mLeaving = aStatus.leaving();
  status.mHoldsShares = aStatus.holds_shares();
  status.mHasStorePath = aStatus.store_path();
  status.mRevision = aStatus.revision();
  status.mDigest = aStatus.digest();
  if (aStatus.has_confirmed_age_ms()) {
    status.mConfirmedAge = peer::TimeFromWire(aStatus.confirmed_age_ms());
  }
  status.mRemoteSlots.insert(aStatus.remote_slots().begin(),
                             aStatus.remote_slots().end());
  status.mFreeSlots.insert(aStatus.free_slots().begin(), aStatus.free_slots().end());
  return status;
}

} // namespace

// A peer that knows other addresses than this instance gets a few of the known ones with
// each heartbeat. Sending all each time would make the traffic of an instance grow with
// the square of the fleet's size.
template<typename Message>
void Relay::FillHeartbeat(Message& aMessage, std::uint64_t aPeerDigest)
{
  *aMessage.mutable_status() = ToWire(mCore.Status());
  mReplication.ReportReplicas(*aMessage.mutable_status());
  if (auto age = mCore.mStoreReturn.AgeToTell(mCore.Now())) {
    auto milliseconds = std::chrono::floor<std::chrono::milliseconds>(*age).count();
    aMessage.mutable_status()->set_store_returned_age_ms(std::uint64_t(milliseconds));
  }
  if (aPeerDigest == mCore.mMembers.AddressDigest()) {
    return;
  }
  for (const decide::KnownAddress& address :
       mCore.mMembers.AddressesAfter(mLastSentAddress, kAddressesPerHeartbeat)) {
    wire::KnownAddress* known = aMessage.add_known();
    known->set_address(address.mAddress);
    known->set_data_centre(address.mDataCentre);
    mLastSentAddress = address.mAddress;
  }
}

// A peer's confirmation counts only while both instances have the same revision in force.
// Its age is measured from the time of the request, since the network delay of the reply
// is unknown.
void Relay::ApplyConfirmation(const wire::Status& aStatus, Instant aRequestedAt)
{
  base::Revision current = mCore.Config() ? mCore.Config()->mRevision : 0;
  if (aStatus.revision() == current && aStatus.has_confirmed_age_ms()) {
    mCore.ConfirmRevision(mCore.Now() - aRequestedAt +
                          peer::TimeFromWire(aStatus.confirmed_age_ms()));
  }
}

template<typename Message>
bool Relay::ApplyHeartbeat(const Message& aMessage)
{
  decide::MemberStatus status = FromWire(aMessage.status());
  if (mCore.mMembers.RecordStatus(status, mCore.Now())) {
    base::Log(spdlog::level::info,
              base::Event::PeerFound,
              "peer={} data_centre={}",
              status.mSelf.mAddress,
              status.mDataCentre);
  }
  if (aMessage.status().has_store_returned_age_ms()) {
    auto age = peer::TimeFromWire(aMessage.status().store_returned_age_ms());
    mCore.RecordStoreReturn(mCore.Now() - age);
  }
  for (const wire::KnownAddress& known : aMessage.known()) {
    mCore.mMembers.AddAddress(known.address(), known.data_centre());
  }
  base::Revision current = mCore.Config() ? mCore.Config()->mRevision : 0;
  return status.mRevision > current;
}

Awaitable<void> Relay::FetchConfigFrom(std::string aAddress)
{
  if (mFetchingConfig) {
    co_return;
  }
  mFetchingConfig = true;
  try {
    wire::ConfigReply reply = co_await mCore.mPeers.FetchConfig(
      aAddress, wire::ConfigRequest(), kConfigFetchTimeout);
    mCore.AcceptConfig(mCore.mSettings.mParseConfig(reply.text()));
  } catch (const peer::PeerError&) {
    // The next heartbeat retries.
  } catch (const std::exception& error) {
    base::Log(spdlog::level::err,
              base::Event::ConfigurationRefused,
              "from={} cause={}",
              aAddress,
              base::Printable(error.what()));
  }
  mFetchingConfig = false;
}

Awaitable<void> Relay::SendHeartbeat(std::string aAddress)
{
  wire::BeatRequest request;
  const decide::Member* peer = mCore.mMembers.Find(aAddress);
  FillHeartbeat(request, peer ? peer->mStatus.mAddressDigest : 0);
  bool newer = false;
  Instant requestedAt = mCore.Now();
  try {
    wire::BeatReply reply =
      co_await mCore.mPeers.Beat(aAddress, std::move(request), kHeartbeatTimeout);
    newer = ApplyHeartbeat(reply);
    mReplication.HandlePeerStatus(reply.status(), requestedAt);
    ApplyConfirmation(reply.status(), requestedAt);
  } catch (const peer::PeerError&) {
    co_return; // the age of the last heartbeat shows that the peer is lost
  }
  if (newer) {
    co_await FetchConfigFrom(aAddress);
  }
}

Awaitable<wire::BeatReply> Relay::OnBeat(wire::BeatRequest aRequest)
{
  mReplication.HandlePeerStatus(aRequest.status(), std::nullopt);
  if (ApplyHeartbeat(aRequest)) {
    Spawn(mCore.mContext, "fetch-config", FetchConfigFrom(aRequest.status().address()));
  }
  wire::BeatReply reply;
  FillHeartbeat(reply, aRequest.status().address_digest());
  co_return reply;
}

Awaitable<wire::ConfigReply> Relay::OnFetchConfig(wire::ConfigRequest)
{
  wire::ConfigReply reply;
  if (mCore.Config()) {
    reply.set_revision(mCore.Config()->mRevision);
    reply.set_text(mCore.Config()->mText);
  }
  co_return reply;
}

Awaitable<wire::ItemsReply> Relay::OnFetchItems(wire::ItemsRequest aRequest)
{
  co_return co_await mReplication.AnswerItemsRequest(std::move(aRequest));
}

Awaitable<wire::TokenReply> Relay::OnAskToken(wire::TokenRequest aRequest)
{
  co_return co_await mTokens.Give(std::move(aRequest));
}

Awaitable<wire::ForwardReply> Relay::OnForward(wire::ForwardRequest aRequest)
{
  Exchange exchange;
  HeldRequests::Registration held(mCore.mHeld, &exchange);
  exchange.mRequestId = aRequest.request_id();
  exchange.mMethod = aRequest.method();
  exchange.mTarget = aRequest.target();
  exchange.mContentType = aRequest.content_type();
  exchange.mBody = std::move(*aRequest.mutable_body());
  Hold hold(mCore.mMemory, {});
  exchange.mHold = &hold;
  exchange.mTicket = aRequest.ticket();
  exchange.mOrganisationName = aRequest.organisation();
  exchange.mArrival = mCore.Now();
  exchange.mDeadline = mCore.Now() + peer::TimeFromWire(aRequest.deadline_ms());
  wire::ForwardReply reply;
  auto ticket = decide::Ticket::Parse(exchange.mTicket);
  bool issuedHere =
    aRequest.order() && ticket && ticket->mIssuer.mAddress == mCore.Self().mAddress;
  try {
    if (!hold.GrowMessage(kForwardedCopies * exchange.mBody.size())) {
      throw base::RequestError(Result::MemoryFull);
    }
    hold.EnterPhase(decide::HoldPhase::Serving);
    mResolver.Resolve(exchange);
    bool sameDataCentre = aRequest.data_centre() == mCore.mSettings.mDataCentre;
    decide::Origin origin =
      sameDataCentre ? decide::Origin::Local : decide::Origin::Remote;
    decide::Outcome outcome;
    if (issuedHere) {
      outcome = co_await mPipeline.RunIssuedOrder(exchange);
    } else {
      outcome = co_await mPipeline.DeliverForPeer(exchange, origin, aRequest.order());
    }
    reply.set_result(static_cast<std::uint32_t>(outcome.mResult));
    reply.set_status(outcome.mStatus);
    reply.set_content_type(outcome.mContentType);
    reply.set_body(std::move(outcome.mBody));
  } catch (const base::RequestError& error) {
    // An issuer that sends its order here knows itself whether it ran before.
    Result result =
      issuedHere ? mPipeline.ResultForCaller(error.Code(), exchange) : error.Code();
    reply.set_result(static_cast<std::uint32_t>(result));
  }
  co_return reply;
}

} // namespace vanillaloft::entry
