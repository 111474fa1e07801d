// A random number that distinguishes one run of a process from the next.
#pragma once

#include <cstdint>
#include <random>

namespace mangonotch::app {

inline std::uint64_t RandomIncarnation() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}  // namespace mangonotch::app
