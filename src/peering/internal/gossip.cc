// Heartbeats and copies of the catalog.
#include "peering/gossip.h"

#include <algorithm>

#include "base/error.h"
#include "http1/asio_address.h"
#include "http1/clock.h"
#include "logging/log.h"
#include "peering/codec.h"

namespace mangonotch::peering {
namespace {

constexpr base::Duration kBeatInterval = base::Duration::Milliseconds(150);
/// Between two fetches of a copy.
constexpr base::Duration kFetchInterval = base::Duration::Milliseconds(500);
constexpr base::Duration kFetchConnectTime = base::Duration::Milliseconds(400);

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
  socket_.async_receive_from(
      boost::asio::buffer(buf_), from_, [this](boost::system::error_code ec, std::size_t n) {
        if (ec == boost::asio::error::operation_aborted) return;
        // Errors of earlier datagrams' receivers are reported here and concern nobody else.
        if (!ec) {
          if (const auto heartbeat = DecodeHeartbeat({buf_.data(), n})) {
            members_.OnHeartbeat(*heartbeat, http1::Now());
          }
        }
        Receive();
      });
}

void Gossip::Announce() {
  fleet::Heartbeat heartbeat{.sender = members_.self(),
                             .incarnation = incarnation_,
                             .sequence = ++sequence_,
                             .targets_revision = registry_.targets_revision(),
                             .orders_revision = registry_.orders_revision()};
  callbacks_.describe(heartbeat);
  const std::vector<base::Endpoint> contacts = members_.Contacts();
  // A different part of the contacts each time, so that all are named in turn.
  for (std::size_t i = 0; i < std::min(contacts.size(), kMostContacts); ++i) {
    heartbeat.contacts.push_back(contacts[(sequence_ + i) % contacts.size()]);
  }
  const std::string bytes = EncodeHeartbeat(heartbeat);
  for (const base::Endpoint& it : contacts) {
    boost::system::error_code ec;
    // A datagram that cannot be sent is lost like any other; the next one follows shortly.
    socket_.send_to(boost::asio::buffer(bytes), http1::ToAsioUdp(it), 0, ec);
  }
}

void Gossip::Beat() {
  members_.Expire(http1::Now());
  Announce();
  callbacks_.on_interval();
  FetchIfBehind();
  beat_timer_.expires_after(http1::ToChrono(kBeatInterval));
  beat_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) Beat();
  });
}

void Gossip::FetchIfBehind() {
  const base::Instant now = http1::Now();
  if (fetch_ && now >= fetch_after_) {
    fetch_->Close();
    fetch_.reset();
  }
  if (now < fetch_after_ || callbacks_.reads_store()) return;
  const fleet::HostRecord* const host =
      members_.FindNewer(registry_.targets_revision(), registry_.orders_revision(), now);
  if (host == nullptr) return;
  fetch_after_ = now + kFetchInterval;
  fetch_ = std::make_shared<http1::ClientConnection>(
      context_, http1::ClientLimits{.connect_time = kFetchConnectTime});
  const http1::Request request{
      .method = "GET", .target = "/catalog", .headers = {{"Host", host->host}}};
  fetch_->Exchange(
      host->peers, http1::Serialize(request), false, [](const http1::Response&) { return true; },
      [this](const http1::ExchangeResult& result) { OnFetched(result); });
}

void Gossip::OnFetched(const http1::ExchangeResult& result) {
  if (fetch_) fetch_->Close();
  fetch_.reset();
  if (result.error != http1::ExchangeError::kNone) return;
  const auto copy = DecodeCatalog(result.response.body, http1::Now());
  if (!copy) return;
  if (!registry_.Merge(*copy, http1::Now())) return;
  logging::Log(logging::Level::kDebug, "catalog_fetched",
               {{"targets_revision", copy->targets_revision},
                {"orders_revision", copy->orders_revision}});
  callbacks_.on_merged();
}

void Gossip::OnRequest(http1::RequestId id, http1::Request request) {
  if (request.target != "/catalog") {
    server_.Reply(id, {.status = 404});
    return;
  }
  server_.Reply(id, {.body = EncodeCatalog(registry_.Copy(), http1::Now())});
}

}  // namespace mangonotch::peering
