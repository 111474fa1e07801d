// Settings files of `mangonotch edge` processes in tests.
#pragma once

#include <string>

#include "base/endpoint.h"

namespace mangonotch::support {

/// A host in the only availability zone of one of the regions "north" and "south".
struct EdgeHostSettings {
  std::string name;
  std::string ip;
  std::string region;
  /// Address of another host, or of this one.
  std::string seed_ip;
  base::Endpoint store;
  /// Memory of the host's machine, in MiB; 0 when its settings do not say it.
  int memory_mb = 0;
};

/// Ports of the listening addresses; all hosts use the same.
inline constexpr int kEdgeCallerPort = 7100;
inline constexpr int kEdgeLookupPort = 7102;

/// Writes the settings file at `path`.
void WriteEdgeSettings(const std::string& path, const EdgeHostSettings& host);

}  // namespace mangonotch::support
