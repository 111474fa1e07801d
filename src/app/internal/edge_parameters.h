// Parameters of an entry host's parts that follow from its settings.
#pragma once

#include <string_view>
#include <vector>

#include "base/duration.h"
#include "base/endpoint.h"
#include "discovery/removed_targets.h"
#include "discovery/store_outage.h"
#include "edge/request_proxy.h"
#include "quota/terms.h"
#include "settings/edge_settings.h"
#include "steering/engine.h"
#include "steering/retry_budget.h"

namespace mangonotch::app {

discovery::OutageTiming OutageTimingOf(const settings::EdgeBounds& bounds);
discovery::RemovalTiming RemovalTimingOf(const settings::EdgeBounds& bounds);
steering::RetryLimits RetryLimitsOf(const settings::EdgeBounds& bounds);
quota::Terms QuotaTermsOf(const settings::EdgeBounds& bounds);
steering::EngineSettings EngineSettingsOf(const settings::EdgeSettings& settings);
/// The shares of the machine's descriptors and memory for callers and targets.
edge::ProxyLimits ProxyLimitsOf(const settings::EdgeSettings& settings);
/// Memory for the callers of each of the readiness, look-up and metrics addresses.
std::size_t ControlCallerBytesOf(const settings::EdgeSettings& settings);
/// When all hosts start together, a host leaves the store to others for this time, which follows
/// from its name: most of them hear in time that others watch it.
base::Duration WatchDelayOf(std::string_view host);
std::vector<base::Endpoint> PeersOfSeeds(const settings::EdgeSettings& settings);

}  // namespace mangonotch::app
