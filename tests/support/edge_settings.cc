// Text of the settings file.
#include "tests/support/edge_settings.h"

#include <fstream>

#include "http1/asio_address.h"

namespace mangonotch::support {
namespace {

constexpr int kReadinessPort = 7101;
constexpr int kPeerPort = 7103;
constexpr int kMetricsPort = 7104;

std::string Quoted(const std::string& text) { return '"' + text + '"'; }

std::string Address(const std::string& ip, int port) {
  return Quoted(ip + ":" + std::to_string(port));
}

}  // namespace

void WriteEdgeSettings(const std::string& path, const EdgeHostSettings& host) {
  std::ofstream out(path);
  out << "{\"host\": " << Quoted(host.name) << ", \"region\": " << Quoted(host.region)
      << ", \"zone\": " << Quoted(host.region + "-a")
      << ",\n\"listen\": {\"callers\": " << Address(host.ip, kEdgeCallerPort)
      << ", \"readiness\": " << Address(host.ip, kReadinessPort)
      << ", \"lookup\": " << Address(host.ip, kEdgeLookupPort)
      << ", \"peers\": " << Address(host.ip, kPeerPort)
      << ", \"metrics\": " << Address(host.ip, kMetricsPort)
      << "},\n\"zones\": [{\"zone\": \"north-a\", \"region\": \"north\"}, "
         "{\"zone\": \"south-a\", \"region\": \"south\"}],\n\"seeds\": ["
      << Address(host.seed_ip, kPeerPort)
      << "],\n\"memory_mb\": " << Quoted(std::to_string(host.memory_mb))
      << ",\n\"store\": " << Quoted(http1::ToText(host.store))
      << ",\n\"bounds\": {\"retry_ratio\": \"0.2\", \"retry_allowance\": \"50\"}}\n";
}

}  // namespace mangonotch::support
