// A table of one service in two regions for tests of the control and traffic modules.
#pragma once

#include <memory>
#include <string>

#include "control/steering_table.h"

namespace mangonotch::control {

/// Regions north (zones north-a, north-b) and south (south-a); targets of 4 slots: two in north-a,
/// one in each other zone. `zone_limit` is that of north-a, `south_weight` the weight of the region
/// south.
inline std::string TableText(int revision, int zone_limit = 8, int south_weight = 100) {
  const std::string n = std::to_string(revision);
  return R"({"revision": )" + n + R"(, "author": "test", "time_unix_ms": 1, "edit_id": "e)" + n +
         R"(", "history": [{"edit_id": "e)" + n + R"(", "revision": )" + n +
         R"(, "author": "test", "time_unix_ms": 1, "summary": "test"}],
"regions": [
  {"name": "north", "zones": ["north-a", "north-b"], "distance_ms": {"south": 12}},
  {"name": "south", "zones": ["south-a"], "distance_ms": {"north": 12}}],
"links": [
  {"from": "north", "to": "south", "bytes_per_s": 1000000},
  {"from": "south", "to": "north", "bytes_per_s": 1000000}],
"clients": [{"block": "10.1.0.0/16", "region": "north", "zone": "north-a"},
            {"block": "10.2.0.0/16", "region": "south", "zone": "south-a"}],
"services": [{"name": "status", "queue_limit": 8, "long_slot_percent": 25, "routes": [],
  "regions": [
    {"region": "north", "weight": 100, "limit": 12, "moved_in_cap_percent": 50,
     "moved_in_ramp_percent_per_minute": 100},
    {"region": "south", "weight": )" +
         std::to_string(south_weight) + R"(, "limit": 4, "moved_in_cap_percent": 50,
     "moved_in_ramp_percent_per_minute": 100}],
  "zones": [
    {"zone": "north-a", "weight": 100, "limit": )" +
         std::to_string(zone_limit) + R"(},
    {"zone": "north-b", "weight": 100, "limit": 4},
    {"zone": "south-a", "weight": 100, "limit": 4}],
  "targets": [
    {"address": "127.0.0.1:9001", "zone": "north-a", "slots": 4, "weight": 100},
    {"address": "127.0.0.1:9002", "zone": "north-a", "slots": 4, "weight": 100},
    {"address": "127.0.0.1:9003", "zone": "north-b", "slots": 4, "weight": 100},
    {"address": "127.0.0.1:9004", "zone": "south-a", "slots": 4, "weight": 100}]}]})";
}

inline SteeringTablePtr MakeTable(int revision, int zone_limit = 8, int south_weight = 100) {
  const std::string text = TableText(revision, zone_limit, south_weight);
  return std::make_shared<const SteeringTable>(table::Table::Parse(text, "test"), text);
}

}  // namespace mangonotch::control
