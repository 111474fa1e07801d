// Guards against settings files that crash a host, and against accepted settings that name a host
// twice, a host without a name or an address that cannot be bound or reached.
// fuzz: -runs=30000 -max_len=4000
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <set>
#include <string>
#include <string_view>

#include "base/endpoint.h"
#include "jsonc/fault.h"
#include "settings/host_settings.h"

namespace {

void Require(bool is_met) {
  if (!is_met) {
    std::abort();
  }
}

void RequireEndpoint(const std::string& text) {
  Require(mangonotch::base::ParseEndpoint(text).has_value());
}

void Check(const mangonotch::settings::HostSettings& settings) {
  const auto& listen = settings.listen;
  for (const auto* address : {&listen.callers, &listen.peers, &listen.peer_http, &listen.metrics,
                              &listen.admin, &settings.store, &settings.host_list}) {
    RequireEndpoint(*address);
  }
  Require(!settings.host.empty());
  std::set<std::string> hosts = {settings.host};
  for (const auto& seed : settings.seeds) {
    Require(!seed.host.empty() && hosts.insert(seed.host).second);
    for (const auto* address : {&seed.callers, &seed.peers, &seed.peer_http}) {
      RequireEndpoint(*address);
    }
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  try {
    Check(mangonotch::settings::HostSettings::Parse(text, "input"));
  } catch (const mangonotch::jsonc::FaultError&) {
    return 0;
  }
  return 0;
}
