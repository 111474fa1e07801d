// Heartbeat schedule and the exchange of catalog changes.
#include "peering/gossip.h"

#include <algorithm>
#include <charconv>
#include <string_view>

#include "base/error.h"
#include "fleet/heartbeat_schedule.h"
#include "http1/asio_address.h"
#include "http1/clock.h"
#include "logging/log.h"
#include "peering/codec.h"

namespace mangonotch::peering {
namespace {

/// Maximum number of contacts of this region, and of other regions, in a heartbeat.
constexpr std::size_t kMaxContactsPerKind = 3;
/// Time limit for fetching changes from another host.
constexpr base::Duration kFetchTimeout = base::Duration::Milliseconds(800);
constexpr std::string_view kChangesPath = "/changes/";

}  // namespace

Gossip::Gossip(boost::asio::io_context& context, fleet::Members& members,
               discovery::Registry& registry, std::uint64_t incarnation, Callbacks callbacks)
    : context_(context),
      members_(members),
      registry_(registry),
      callbacks_(std::move(callbacks)),
      socket_(context),
      interval_timer_(context),
      server_(context, members.self().peers, *this),
      incarnation_(incarnation),
      random_(incarnation) {
  const auto address = http1::ToAsioUdp(members.self().peers);
  boost::system::error_code ec;
  socket_.open(address.protocol(), ec);
  if (!ec) socket_.bind(address, ec);
  if (ec) throw base::Error("bind", http1::ToText(members.self().peers), ec.message());
  socket_.non_blocking(true);
}

void Gossip::Start() {
  Receive();
  OnInterval();
}

void Gossip::Receive() {
  socket_.async_receive_from(boost::asio::buffer(receive_buffer_), sender_,
                             [this](boost::system::error_code ec, std::size_t n) {
                               if (ec == boost::asio::error::operation_aborted) return;
                               // An error reports that a datagram sent earlier could not be
                               // delivered to its receiver; it does not affect other hosts.
                               if (!ec) OnDatagram({receive_buffer_.data(), n});
                               Receive();
                             });
}

void Gossip::OnDatagram(std::string_view bytes) {
  const auto heartbeat = DecodeHeartbeat(bytes);
  if (!heartbeat) {
    if (callbacks_.on_datagram) callbacks_.on_datagram(bytes, http1::FromAsio(sender_));
    return;
  }
  members_.OnHeartbeat(*heartbeat, http1::Now());
  GreetNewcomers();
  const bool is_ahead = catalog::IsBehind(registry_.applied(), heartbeat->newest);
  if (heartbeat->has_fresh_catalog || is_ahead) FetchIfBehind();
}

void Gossip::SendDatagram(const base::Endpoint& receiver, std::string_view bytes) {
  boost::system::error_code ec;
  // Send errors are ignored like lost datagrams.
  socket_.send_to(boost::asio::buffer(bytes), http1::ToAsioUdp(receiver), 0, ec);
}

void Gossip::Announce() {
  const fleet::Members::ContactLists contacts = members_.Contacts(http1::Now());
  SendLocally(contacts);
  const fleet::Heartbeat heartbeat = RemoteHeartbeat(contacts);
  SendTo(contacts.remote, heartbeat);
  SendTo(contacts.unconfirmed, heartbeat);
}

void Gossip::GreetNewcomers() {
  const std::vector<base::Endpoint> newcomers = members_.TakeNewcomers();
  if (newcomers.empty()) return;
  const fleet::Members::ContactLists contacts = members_.Contacts(http1::Now());
  SendTo(newcomers, MakeHeartbeat(fleet::LocalPeriodIntervals(contacts.local.size()), contacts));
}

void Gossip::AnnounceLocally() { SendLocally(members_.Contacts(http1::Now())); }

void Gossip::SendLocally(const fleet::Members::ContactLists& contacts) {
  if (contacts.local.empty()) return;
  fleet::Heartbeat heartbeat =
      MakeHeartbeat(fleet::LocalPeriodIntervals(contacts.local.size()), contacts);
  heartbeat.relayed = members_.TakeRelayed(kMaxRelayed);
  // A host that misses this heartbeat hears of the relayed hosts with the next ones of both.
  for (fleet::Heartbeat& it : heartbeat.relayed) it.period = it.period + heartbeat.period;
  SendTo(contacts.local, heartbeat);
}

fleet::Heartbeat Gossip::RemoteHeartbeat(const fleet::Members::ContactLists& contacts) {
  fleet::Heartbeat heartbeat =
      MakeHeartbeat(fleet::RemotePeriodIntervals(contacts.remote_regions), contacts);
  // Loads matter only to the hosts of the targets' region, which send most of their requests.
  heartbeat.loads.clear();
  return heartbeat;
}

fleet::Heartbeat Gossip::MakeHeartbeat(std::uint64_t period_intervals,
                                       const fleet::Members::ContactLists& contacts) {
  fleet::Heartbeat heartbeat{.sender = members_.self(),
                             .incarnation = incarnation_,
                             .sequence = ++sequence_,
                             .period = fleet::PeriodOf(period_intervals),
                             .catalog_sequence = registry_.sequence(),
                             .newest = registry_.newest()};
  callbacks_.fill_heartbeat(heartbeat);
  AddContacts(contacts.local, heartbeat);
  AddContacts(contacts.remote, heartbeat);
  return heartbeat;
}

void Gossip::SendTo(std::span<const base::Endpoint> receivers, const fleet::Heartbeat& heartbeat) {
  if (receivers.empty()) return;
  const std::string bytes = EncodeHeartbeat(heartbeat);
  for (const base::Endpoint& it : receivers) {
    boost::system::error_code ec;
    // Send errors are ignored like lost datagrams; the next heartbeat follows shortly.
    socket_.send_to(boost::asio::buffer(bytes), http1::ToAsioUdp(it), 0, ec);
  }
}

void Gossip::AddContacts(std::span<const base::Endpoint> contacts, fleet::Heartbeat& heartbeat) {
  // A random sample each time, so that every contact is sent sooner or later.
  for (std::size_t i = 0; i < std::min(contacts.size(), kMaxContactsPerKind); ++i) {
    heartbeat.contacts.push_back(
        contacts[random_.Below(static_cast<std::uint32_t>(contacts.size()))]);
  }
}

void Gossip::OnInterval() {
  const base::Instant now = http1::Now();
  members_.Expire(now);
  const fleet::Members::ContactLists contacts = members_.Contacts(now);
  const fleet::HeartbeatRound round = schedule_.Next(contacts);
  if (!round.local.empty()) SendLocally(contacts);
  if (!round.relays.empty()) SendTo(round.relays, RemoteHeartbeat(contacts));
  if (!round.unconfirmed.empty()) SendTo(round.unconfirmed, RemoteHeartbeat(contacts));
  callbacks_.on_interval();
  FetchIfBehind();
  interval_timer_.expires_after(http1::ToChrono(fleet::kHeartbeatInterval));
  interval_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) OnInterval();
  });
}

void Gossip::OnTargetsListed() {
  catalog_sync_.OnListed();
  FetchIfBehind();
}

void Gossip::FetchIfBehind() {
  const base::Instant now = http1::Now();
  if (fetch_ && now >= fetch_deadline_) OnFetchFailed("timed out");
  if (fetch_) return;
  const auto request =
      catalog_sync_.Next(members_, registry_.applied(), callbacks_.has_fresh_catalog(), now);
  if (request) Fetch(*request);
}

void Gossip::Fetch(const fleet::CatalogRequest& catalog_request) {
  LogSource(catalog_request);
  fetch_source_ = catalog_request;
  fetch_deadline_ = http1::Now() + kFetchTimeout;
  fetch_ = std::make_shared<http1::ClientConnection>(
      context_, http1::ClientLimits{.connect_time = kFetchTimeout});
  const http1::Request request{
      .method = "GET",
      .target = std::string(kChangesPath) + std::to_string(catalog_request.since),
      .headers = {{"Host", catalog_request.source.host}}};
  fetch_->Exchange(
      catalog_request.source.peers, http1::Serialize(request), false,
      [](const http1::Response&) { return true; },
      [this](const http1::ExchangeResult& result) { OnFetched(result); });
}

void Gossip::LogSource(const fleet::CatalogRequest& request) {
  if (request.incarnation == logged_source_) return;
  logged_source_ = request.incarnation;
  logging::Log(
      logging::Level::kInfo, "catalog_source",
      {{"host", request.source.host},
       {"since", request.since},
       {"behind", request.is_behind},
       {"own_era", registry_.era()},
       {"own_operator_revision", catalog::RevisionInEra(registry_.applied().operator_records)},
       {"own_targets_revision", catalog::RevisionInEra(registry_.applied().targets)}});
}

void Gossip::CloseFetch() {
  fetch_->Close();
  fetch_.reset();
}

void Gossip::OnFetchFailed(std::string_view cause) {
  CloseFetch();
  catalog_sync_.OnFailed(fetch_source_.incarnation, http1::Now());
  logging::Log(logging::Level::kWarning, "catalog_fetch_failed",
               {{"host", fetch_source_.source.host}, {"cause", cause}});
}

void Gossip::OnFetched(const http1::ExchangeResult& result) {
  if (result.error != http1::ExchangeError::kNone) {
    OnFetchFailed(result.detail);
    return;
  }
  const auto changes = DecodeChanges(result.response.body, http1::Now());
  if (!changes) {
    OnFetchFailed("malformed answer");
    return;
  }
  CloseFetch();
  catalog_sync_.OnFetched(fetch_source_.incarnation, changes->sequence);
  const auto access = callbacks_.has_fresh_catalog() ? discovery::StoreAccess::kReads
                                                     : discovery::StoreAccess::kFollows;
  registry_.Merge(*changes, http1::Now(), access);
  callbacks_.on_merged(fetch_source_);
}

void Gossip::OnRequest(http1::RequestId id, const http1::Request& request) {
  const std::string_view target = request.target;
  std::uint64_t since = 0;
  const bool is_changes = target.starts_with(kChangesPath);
  const std::string_view digits = is_changes ? target.substr(kChangesPath.size()) : target;
  const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), since);
  if (!is_changes || ec != std::errc() || end != digits.data() + digits.size()) {
    server_.Reply(id, {.status = 404});
    return;
  }
  server_.Reply(id, {.body = EncodeChanges(registry_.ChangesSince(since), http1::Now())});
}

}  // namespace mangonotch::peering
