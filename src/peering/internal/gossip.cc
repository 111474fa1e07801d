// Heartbeats and copies of the catalog.
#include "peering/gossip.h"

#include <algorithm>
#include <charconv>
#include <string_view>

#include "base/error.h"
#include "http1/asio_address.h"
#include "http1/clock.h"
#include "peering/codec.h"

namespace mangonotch::peering {
namespace {

constexpr base::Duration kBeatInterval = base::Duration::Milliseconds(150);
/// Local hosts that get a heartbeat at every beat; with more, each gets it less often.
constexpr std::size_t kHostsPerBeat = 6;
/// Beats between two heartbeats to a host of another region, and to an address not heard yet.
constexpr std::uint64_t kRemotePeriod = 7;
constexpr std::uint64_t kUnheardPeriod = 3;
/// Addresses of each kind that a heartbeat names.
constexpr std::size_t kNamedContacts = 5;
/// For a fetch of changes from another host.
constexpr base::Duration kFetchTime = base::Duration::Milliseconds(800);
constexpr std::string_view kChangesPath = "/changes/";

}  // namespace

Gossip::Gossip(boost::asio::io_context& context, fleet::Members& members,
               discovery::Registry& registry, std::uint64_t incarnation, Callbacks callbacks)
    : context_(context),
      members_(members),
      registry_(registry),
      callbacks_(std::move(callbacks)),
      socket_(context),
      beat_timer_(context),
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
  Beat();
}

void Gossip::Receive() {
  socket_.async_receive_from(boost::asio::buffer(buf_), from_,
                             [this](boost::system::error_code ec, std::size_t n) {
                               if (ec == boost::asio::error::operation_aborted) return;
                               // Errors of earlier datagrams' receivers are reported here and
                               // concern nobody else.
                               if (!ec) {
                                 if (const auto heartbeat = DecodeHeartbeat({buf_.data(), n})) {
                                   members_.OnHeartbeat(*heartbeat, http1::Now());
                                   if (heartbeat->has_fresh_catalog) FetchIfBehind();
                                 }
                               }
                               Receive();
                             });
}

void Gossip::Announce() {
  const fleet::Members::ContactLists contacts = members_.Contacts();
  SendTo(contacts.local, true, contacts);
  SendTo(contacts.remote, false, contacts);
  SendTo(contacts.unheard, false, contacts);
}

void Gossip::AnnounceLocally() {
  const fleet::Members::ContactLists contacts = members_.Contacts();
  SendTo(contacts.local, true, contacts);
}

void Gossip::SendTo(std::span<const base::Endpoint> receivers, bool with_loads,
                    const fleet::Members::ContactLists& contacts) {
  if (receivers.empty()) return;
  fleet::Heartbeat heartbeat{.sender = members_.self(),
                             .incarnation = incarnation_,
                             .sequence = ++sequence_,
                             .catalog_sequence = registry_.sequence()};
  callbacks_.describe(heartbeat);
  if (!with_loads) heartbeat.loads.clear();
  AddContacts(contacts.local, heartbeat);
  AddContacts(contacts.remote, heartbeat);
  const std::string bytes = EncodeHeartbeat(heartbeat);
  for (const base::Endpoint& it : receivers) {
    boost::system::error_code ec;
    // A datagram that cannot be sent is lost like any other; the next one follows shortly.
    socket_.send_to(boost::asio::buffer(bytes), http1::ToAsioUdp(it), 0, ec);
  }
}

void Gossip::AddContacts(std::span<const base::Endpoint> contacts, fleet::Heartbeat& heartbeat) {
  // A different part each time, so that all are named in turn.
  for (std::size_t i = 0; i < std::min(contacts.size(), kNamedContacts); ++i) {
    heartbeat.contacts.push_back(
        contacts[random_.Below(static_cast<std::uint32_t>(contacts.size()))]);
  }
}

void Gossip::Beat() {
  members_.Expire(http1::Now());
  const fleet::Members::ContactLists contacts = members_.Contacts();
  // Datagrams a second grow with the number of pairs; the interval stretches with the hosts.
  const std::uint64_t local_period = 1 + contacts.local.size() / kHostsPerBeat;
  if (beats_ % local_period == 0) SendTo(contacts.local, true, contacts);
  if (beats_ % kRemotePeriod == 0) SendTo(contacts.remote, false, contacts);
  if (beats_ % kUnheardPeriod == 0) SendTo(contacts.unheard, false, contacts);
  ++beats_;
  callbacks_.on_interval();
  FetchIfBehind();
  beat_timer_.expires_after(http1::ToChrono(kBeatInterval));
  beat_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) Beat();
  });
}

void Gossip::FetchIfBehind() {
  const base::Instant now = http1::Now();
  if (fetch_ && now >= fetch_deadline_) EndFetch();
  if (fetch_ || callbacks_.has_fresh_catalog()) return;
  const fleet::Heartbeat* const source = members_.FindFreshCatalog(now);
  if (source == nullptr) return;
  const bool is_known_source = source->incarnation == source_incarnation_;
  if (is_known_source && source->catalog_sequence <= source_sequence_) return;
  const std::uint64_t since = is_known_source ? source_sequence_ : 0;
  fetch_deadline_ = now + kFetchTime;
  fetch_ = std::make_shared<http1::ClientConnection>(
      context_, http1::ClientLimits{.connect_time = kFetchTime});
  const http1::Request request{.method = "GET",
                               .target = std::string(kChangesPath) + std::to_string(since),
                               .headers = {{"Host", source->sender.host}}};
  fetch_->Exchange(
      source->sender.peers, http1::Serialize(request), false,
      [](const http1::Response&) { return true; },
      [this, incarnation = source->incarnation](const http1::ExchangeResult& result) {
        OnFetched(incarnation, result);
      });
}

void Gossip::EndFetch() {
  fetch_->Close();
  fetch_.reset();
}

void Gossip::OnFetched(std::uint64_t incarnation, const http1::ExchangeResult& result) {
  EndFetch();
  if (result.error != http1::ExchangeError::kNone) return;
  const auto changes = DecodeChanges(result.response.body, http1::Now());
  if (!changes) return;
  source_incarnation_ = incarnation;
  source_sequence_ = changes->sequence;
  registry_.Merge(*changes, http1::Now());
  callbacks_.on_merged();
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
