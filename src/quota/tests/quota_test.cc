// Plays tenants' requests at many hosts against the coordinator, with the delays of the network.
// Guards against limits that add up over the hosts, and against tenants that are refused inside
// their limits because their requests are few at each host.
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <memory>

#include "base/random.h"
#include "quota/coordinator.h"
#include "quota/limiter.h"
#include "quota/report_queue.h"

namespace mangonotch::quota {
namespace {

using base::Duration;
using base::Instant;

constexpr std::int64_t kStepMs = 10;
constexpr std::int64_t kReportMs = 150;
constexpr std::int64_t kOneWayMs = 55;

/// The limits of operators: a tenth and 20 requests are tolerated in any five seconds.
constexpr Terms kTerms = {.window = Duration::Seconds(5), .overage = 0.1, .slack = 20};

Instant At(std::int64_t ms) { return Instant() + Duration::Milliseconds(1'000'000 + ms); }

catalog::Tenant MakeTenant(double rate, double burst) {
  catalog::Tenant tenant;
  tenant.name = "tenant";
  tenant.rate_limit = rate;
  tenant.burst = burst;
  return tenant;
}

/// Hosts that send the requests of one tenant, and the coordinators among which they choose.
class Fleet {
 public:
  Fleet(std::uint32_t hosts, const catalog::Tenant& tenant) : tenant_(tenant) {
    for (std::uint32_t i = 0; i < hosts; ++i) {
      hosts_.push_back(std::make_unique<Host>(i));
      hosts_.back()->limiter.SetTenants({&tenant_, 1});
      hosts_.back()->limiter.SetHostCount(hosts);
      hosts_.back()->coordinator.SetTenants({&tenant_, 1});
    }
  }

  void SetTenant(const catalog::Tenant& tenant) {
    tenant_ = tenant;
    for (auto& it : hosts_) {
      it->limiter.SetTenants({&tenant_, 1});
      it->coordinator.SetTenants({&tenant_, 1});
    }
  }

  /// Plays `ms` milliseconds with `per_second` requests at random hosts among the first `spread`.
  void Play(std::int64_t ms, double per_second, std::uint32_t spread) {
    for (const std::int64_t end = now_ms_ + ms; now_ms_ < end; now_ms_ += kStepMs) {
      due_ += per_second * kStepMs / 1e3;
      for (; due_ >= 1; due_ -= 1) Request(*hosts_[random_.Below(spread)]);
      Deliver();
      for (auto& it : hosts_) {
        if ((now_ms_ + static_cast<std::int64_t>(it->key) * 7) % kReportMs < kStepMs) Report(*it);
      }
    }
  }

  /// The most requests admitted in any five seconds.
  std::size_t MostInWindow() const {
    constexpr std::int64_t kWindowMs = 5000;
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < admitted_at_.size(); ++i) {
      while (admitted_at_[i] - admitted_at_[first] > kWindowMs) ++first;
      most = std::max(most, i + 1 - first);
    }
    return most;
  }
  std::size_t admitted() const { return admitted_at_.size(); }
  std::size_t refused() const { return refused_; }
  void Forget() {
    admitted_at_.clear();
    refused_ = 0;
  }

  /// Only these hosts coordinate from now on.
  void SetCoordinators(std::vector<std::uint32_t> hosts) { coordinators_ = std::move(hosts); }
  void SetReach(double part) {
    for (auto& it : hosts_) it->coordinator.SetReach(part);
  }
  void SetLinksUp(bool is_up) { is_link_up_ = is_up; }

 private:
  struct Host {
    explicit Host(std::uint32_t index)
        : key(index),
          limiter(base::Mix(index + 1)),
          coordinator(kTerms),
          queue(std::uint64_t{1000} * index) {}

    std::uint32_t key;
    Limiter limiter;
    Coordinator coordinator;
    ReportQueue queue;
  };

  void Request(Host& host) {
    if (host.limiter.TryAdmit(tenant_, At(now_ms_))) {
      admitted_at_.push_back(now_ms_);
    } else {
      ++refused_;
    }
  }

  void Send(std::function<void()> message) {
    if (is_link_up_) in_transit_.emplace_back(now_ms_ + kOneWayMs, std::move(message));
  }

  void Deliver() {
    while (!in_transit_.empty() && in_transit_.front().first <= now_ms_) {
      const auto message = std::move(in_transit_.front().second);
      in_transit_.pop_front();
      message();
    }
  }

  void Report(Host& host) {
    const Instant now = At(now_ms_);
    host.limiter.OnUnanswered(host.queue.TakeUnanswered(now), now);
    host.queue.Add(host.limiter.TakeUsage(now));
    std::vector<CoordinatorHost> candidates;
    for (const std::uint32_t it : coordinators_) candidates.push_back({.key = it});
    for (const auto& [chosen, report] : host.queue.TakeReports(candidates, now)) {
      Host& coordinator = *hosts_[chosen.key];
      Send([this, &host, &coordinator, report = report] {
        const auto shares = coordinator.coordinator.OnReport(host.key, report, At(now_ms_));
        Send([this, &host, shares, number = report.number] {
          host.queue.OnAnswer(number);
          host.limiter.ApplyShares(shares, At(now_ms_));
        });
      });
    }
    const auto broadcast = host.coordinator.TakeBroadcast(now);
    if (broadcast.empty()) return;
    for (auto& it : hosts_) {
      Send([this, &receiver = *it, broadcast] {
        receiver.limiter.ApplyShares(broadcast, At(now_ms_));
      });
    }
  }

  catalog::Tenant tenant_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::uint32_t> coordinators_ = {0, 1, 2, 3};
  std::deque<std::pair<std::int64_t, std::function<void()>>> in_transit_;
  bool is_link_up_ = true;
  std::int64_t now_ms_ = 0;
  double due_ = 0;
  base::Random random_{7};
  std::vector<std::int64_t> admitted_at_;
  std::size_t refused_ = 0;
};

/// The most that the limit allows in five seconds, with the tolerance that operators state: a tenth
/// and 20 requests.
double Allowed(const catalog::Tenant& tenant) {
  return (tenant.rate_limit * 5 + tenant.burst) * 1.1 + 20;
}

}  // namespace

TEST_CASE("A tenant that sends many times its limit is held to it, whatever its size") {
  for (const double rate : {4.5, 20.0, 120.0, 839.0}) {
    for (const std::uint32_t spread : {1U, 20U, 70U}) {
      const catalog::Tenant tenant = MakeTenant(rate, rate);
      Fleet fleet(70, tenant);
      fleet.Play(6000, rate / 1.6, spread);
      fleet.Play(7000, rate / 1.6 * 9, spread);
      INFO(rate << " a second at " << spread << " hosts");
      REQUIRE(fleet.MostInWindow() <= Allowed(tenant));
      fleet.Forget();
      fleet.Play(20'000, rate / 1.6 * 9, spread);
      // Held to the limit, and not far below it.
      REQUIRE(static_cast<double>(fleet.admitted()) >= 0.85 * rate * 20);
    }
  }
}

TEST_CASE("A tenant inside its limit is hardly refused, whether at one host or at all") {
  for (const double rate : {4.5, 20.0, 839.0}) {
    for (const std::uint32_t spread : {1U, 20U, 70U}) {
      Fleet fleet(70, MakeTenant(rate, rate));
      fleet.Play(2000, rate / 1.6, spread);
      fleet.Forget();
      fleet.Play(20'000, rate / 1.6, spread);
      INFO(rate << " a second at " << spread << " hosts");
      REQUIRE(fleet.refused() <= 0.02 * static_cast<double>(fleet.admitted()));
    }
  }
}

// Guards against refusals of a tenant that uses its rate and burst in each window.
TEST_CASE(
    "A tenant that has a little more than its rate, and less with its burst, is hardly refused") {
  for (const double rate : {20.0, 115.0, 839.0}) {
    Fleet fleet(70, MakeTenant(rate, rate));
    fleet.Play(20'000, rate * 1.12, 70);
    INFO(rate << " a second");
    REQUIRE(static_cast<double>(fleet.refused()) <= 0.03 * static_cast<double>(fleet.admitted()));
  }
}

TEST_CASE("A tenant that moves to other hosts inside its limit is hardly refused") {
  Fleet fleet(70, MakeTenant(839, 839));
  fleet.Play(3000, 520, 70);
  fleet.Forget();
  fleet.Play(3000, 520, 1);
  REQUIRE(fleet.refused() <= 0.05 * static_cast<double>(fleet.admitted()));
}

// Failure: the coordinators are replaced while a tenant exceeds its limit.
TEST_CASE("The limit holds when another host becomes the coordinator") {
  const catalog::Tenant tenant = MakeTenant(20, 20);
  Fleet fleet(70, tenant);
  fleet.Play(3000, 12, 70);
  for (std::uint32_t first = 10; first < 40; first += 10) {
    fleet.SetCoordinators({first, first + 1});
    fleet.Play(3000, 100, 70);
  }
  REQUIRE(fleet.MostInWindow() <= Allowed(tenant));
}

// Failure: no host reaches a coordinator.
TEST_CASE("The limit holds, and requests are still admitted, while no coordinator answers") {
  const catalog::Tenant tenant = MakeTenant(120, 120);
  Fleet fleet(70, tenant);
  fleet.Play(3000, 70, 70);
  fleet.SetLinksUp(false);
  fleet.Play(20'000, 600, 70);
  REQUIRE(fleet.MostInWindow() <= Allowed(tenant));
  fleet.Forget();
  fleet.Play(5000, 600, 70);
  REQUIRE(fleet.admitted() >= 0.5 * 120 * 5);
}

// Failure: each third of the hosts reaches only itself, and chooses a coordinator of its own.
TEST_CASE("The limit holds over parts of the fleet that do not reach each other") {
  const catalog::Tenant tenant = MakeTenant(120, 120);
  std::size_t admitted = 0;
  for (int part = 0; part < 3; ++part) {
    Fleet fleet(23, tenant);
    fleet.SetReach(1.0 / 3);
    fleet.Play(5000, 200, 23);
    fleet.Forget();
    fleet.Play(10'000, 200, 23);
    admitted += fleet.MostInWindow();
  }
  REQUIRE(static_cast<double>(admitted) <= Allowed(tenant));
}

// Failure: answers are lost for seconds, so that the same report comes again and again.
TEST_CASE("A report that is sent again counts once") {
  const catalog::Tenant tenant = MakeTenant(10, 10);
  Coordinator coordinator(kTerms);
  coordinator.SetTenants({&tenant, 1});
  const UsageReport report{.number = 5, .usages = {{.tenant = KeyOf("tenant"), .admitted = 8}}};
  for (std::int64_t i = 0; i < 20; ++i) coordinator.OnReport(1, report, At(i * 400));
  const UsageReport next{.number = 6, .usages = {{.tenant = KeyOf("tenant"), .admitted = 1}}};
  REQUIRE(coordinator.OnReport(1, next, At(8000)).at(0).share == 1);
}

// Guards against a malformed count that keeps a tenant from its limit for long.
TEST_CASE("A tenant recovers within seconds from an implausible report") {
  const catalog::Tenant tenant = MakeTenant(10, 10);
  Coordinator coordinator(kTerms);
  coordinator.SetTenants({&tenant, 1});
  const auto usage = [](std::int32_t admitted) {
    return std::vector<TenantUsage>{{.tenant = KeyOf("tenant"), .admitted = admitted}};
  };
  coordinator.OnReport(1, {.number = 1, .usages = usage(2'000'000'000)}, At(0));
  REQUIRE(coordinator.OnReport(2, {.number = 1, .usages = usage(1)}, At(10'000)).at(0).share == 1);
}

TEST_CASE("A lower limit takes hold within one window") {
  Fleet fleet(70, MakeTenant(200, 200));
  fleet.Play(5000, 300, 70);
  const catalog::Tenant lower = MakeTenant(20, 20);
  fleet.SetTenant(lower);
  fleet.Play(4000, 300, 70);
  fleet.Forget();
  fleet.Play(10'000, 300, 70);
  REQUIRE(fleet.MostInWindow() <= Allowed(lower));
}

TEST_CASE("What a refused request has used is given back") {
  const catalog::Tenant tenant = MakeTenant(10, 10);
  Limiter limiter(1);
  limiter.SetTenants({&tenant, 1});
  REQUIRE(limiter.TryAdmit(tenant, At(0)));
  limiter.Refund(tenant);
  REQUIRE(limiter.TakeUsage(At(0)).empty());
}

}  // namespace mangonotch::quota
