// Implementation of traffic::LinkBudgets.
#include "traffic/link_budgets.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include "http/clock.h"

namespace mangonotch::traffic {
namespace {

std::uint64_t ShareOf(const table::Table& table, base::RegionIndex from, base::RegionIndex to,
                      std::uint32_t hosts) {
  for (const table::Link& it : table.links) {
    if (it.from == from && it.to == to) return it.bytes_per_s / 2 / hosts;
  }
  return 0;
}

}  // namespace

LinkBudgets::LinkBudgets(std::string region, std::uint32_t hosts)
    : region_(std::move(region)), hosts_(std::max(hosts, 1U)) {}

LinkBudgets::Budgets* LinkBudgets::Find(const control::SteeringTable& table,
                                        base::RegionIndex region) {
  const auto own = table.FindRegion(region_);
  if (!own || *own == region) return nullptr;
  if (revision_ != table.revision()) budgets_.clear();
  revision_ = table.revision();
  const auto it = budgets_.find(region.value);
  if (it != budgets_.end()) return &it->second;
  const std::uint64_t out = ShareOf(table.table(), *own, region, hosts_);
  const std::uint64_t in = ShareOf(table.table(), region, *own, hosts_);
  const auto burst = [](std::uint64_t rate) { return rate / 10; };  // 100 ms of the link.
  return &budgets_
              .emplace(region.value, Budgets{shift::ByteBudget(out, burst(out)),
                                             shift::ByteBudget(in, burst(in))})
              .first->second;
}

bool LinkBudgets::WaitToSend(const control::SteeringTable& table, base::RegionIndex region,
                             std::uint64_t bytes, base::Instant deadline) {
  base::Instant at;
  {
    const std::lock_guard lock(mutex_);
    Budgets* budgets = Find(table, region);
    if (budgets == nullptr) return true;
    const base::Instant now = http::Now();
    // Reserving nothing tells when the debt is paid.
    const base::Instant paid_at =
        std::max(budgets->in.Reserve(0, now), budgets->out.Reserve(0, now));
    if (paid_at > deadline) return false;
    at = std::max(budgets->in.Reserve(0, now), budgets->out.Reserve(bytes, now));
  }
  const base::Instant now = http::Now();
  if (at > now) std::this_thread::sleep_for(std::chrono::nanoseconds((at - now).nanoseconds()));
  return true;
}

void LinkBudgets::CountAnswer(const control::SteeringTable& table, base::RegionIndex region,
                              std::uint64_t bytes) {
  const std::lock_guard lock(mutex_);
  Budgets* budgets = Find(table, region);
  if (budgets != nullptr) budgets->in.Reserve(bytes, http::Now());
}

}  // namespace mangonotch::traffic
