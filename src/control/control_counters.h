// Numbers that the control thread writes for metrics and the status page.
#pragma once

#include <atomic>
#include <cstdint>

namespace mangonotch::control {

struct ControlCounters {
  std::atomic<std::uint64_t> messages_in{0};
  std::atomic<std::uint64_t> messages_out{0};
  std::atomic<std::uint64_t> bytes_in{0};
  std::atomic<std::uint64_t> bytes_out{0};
  std::atomic<std::uint64_t> messages_refused{0};
  std::atomic<std::uint64_t> messages_malformed{0};
  std::atomic<std::uint64_t> store_reads{0};
  std::atomic<std::uint64_t> store_writes{0};
  std::atomic<std::uint64_t> tables_refused{0};
  std::atomic<std::uint64_t> revision{0};
  std::atomic<bool> is_coordinator{false};
};

}  // namespace mangonotch::control
