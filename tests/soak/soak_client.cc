// The caller's loop.
#include "tests/soak/soak_client.h"

#include "http1/clock.h"

namespace mangonotch::soak {
namespace {

using base::Duration;

constexpr Duration kPatience = Duration::Milliseconds(1000);
/// Beyond the caller's patience, for an answer that is on its way.
constexpr Duration kGuard = Duration::Milliseconds(1500);
constexpr Duration kBetweenRequests = Duration::Milliseconds(40);
constexpr Duration kAfterFailure = Duration::Milliseconds(150);
constexpr Duration kLookupLifetime = Duration::Milliseconds(2000);
constexpr std::uint32_t kObjects = 40;

}  // namespace

SoakClient::SoakClient(boost::asio::io_context& context, std::string name, std::string region,
                       std::vector<base::Endpoint> lookups, std::uint64_t seed, Observations& seen)
    : context_(context),
      name_(std::move(name)),
      region_(std::move(region)),
      lookups_(std::move(lookups)),
      random_(seed),
      seen_(seen),
      timer_(context),
      guard_(context) {}

void SoakClient::Pause(Duration pause, void (SoakClient::*next)()) {
  timer_.expires_after(http1::ToChrono(pause));
  timer_.async_wait([this, next](boost::system::error_code ec) {
    if (!ec && !is_stopped_) (this->*next)();
  });
}

void SoakClient::GuardExchange(const std::shared_ptr<http1::ClientConnection>& connection) {
  guard_.expires_after(http1::ToChrono(kGuard));
  guard_.async_wait([this, connection, exchange = ++exchange_](boost::system::error_code ec) {
    if (ec || exchange != exchange_) return;
    connection->Close();
    if (connection_ == connection) connection_.reset();
    hosts_.clear();
    Pause(kAfterFailure, &SoakClient::LookUp);
  });
}

void SoakClient::LookUp() {
  const base::Endpoint& lookup =
      lookups_[random_.Below(static_cast<std::uint32_t>(lookups_.size()))];
  const auto connection =
      std::make_shared<http1::ClientConnection>(context_, http1::ClientLimits{});
  GuardExchange(connection);
  connection->Exchange(
      lookup, http1::Serialize(platform::testing::MakeLookup(region_, region_ + "-a")), false,
      [](const http1::Response&) { return true; },
      [this, connection](const http1::ExchangeResult& result) {
        connection->Close();
        guard_.cancel();
        OnLookup(result);
      });
}

void SoakClient::OnLookup(const http1::ExchangeResult& result) {
  if (result.error == http1::ExchangeError::kNone) {
    hosts_ = platform::testing::ParseLookup(result.response);
    hosts_until_ = http1::Now() + kLookupLifetime;
  }
  if (hosts_.empty()) {
    Pause(kAfterFailure, &SoakClient::LookUp);
  } else {
    Ask();
  }
}

void SoakClient::Ask() {
  if (http1::Now() > hosts_until_) {
    LookUp();
    return;
  }
  if (!connection_ || !connection_->is_reusable()) {
    host_ = hosts_[random_.Below(static_cast<std::uint32_t>(hosts_.size()))];
    connection_ = std::make_shared<http1::ClientConnection>(context_, http1::ClientLimits{});
  }
  const std::string id = name_ + "-" + std::to_string(++asked_);
  const bool is_filing = random_.Below(3) == 0;
  const std::string object = std::to_string(random_.Below(kObjects));
  const http1::Request request = platform::testing::MakeCallerRequest(
      is_filing ? "POST" : "GET", "soak.example", is_filing ? "/file/1" : "/look/1", id, object,
      kPatience);
  seen_[id] = {.at = http1::Now(), .is_filing = is_filing};
  GuardExchange(connection_);
  connection_->Exchange(
      host_, http1::Serialize(request), false, [](const http1::Response&) { return true; },
      [this, id](const http1::ExchangeResult& result) {
        guard_.cancel();
        OnAnswer(id, result);
      });
}

void SoakClient::OnAnswer(const std::string& id, const http1::ExchangeResult& result) {
  Observation& seen = seen_[id];
  const bool has_answer = result.error == http1::ExchangeError::kNone;
  const unsigned status = has_answer ? result.response.status : 0;
  const bool is_success = status >= 200 && status < 300;
  const bool is_genuine = has_answer && platform::testing::IsGenuine(result.response, id);
  seen.was_served = is_success && is_genuine;
  seen.was_forged = is_success && !is_genuine;
  seen.was_told_not_run = has_answer && platform::testing::PromisesNotRun(status);
  if (!has_answer) hosts_until_ = base::Instant();
  Pause(is_success ? kBetweenRequests : kAfterFailure, &SoakClient::Ask);
}

}  // namespace mangonotch::soak
