// Implementation of traffic::AdminApi.
#include "traffic/admin_api.h"

#include <algorithm>
#include <unordered_map>

#include "http/clock.h"
#include "jsonc/print.h"
#include "traffic/json.h"

namespace mangonotch::traffic {
namespace {

using jsonc::Value;

http::Response Json(unsigned status, Value::Object object) {
  http::Response response;
  response.status = status;
  response.headers.Set("Content-Type", "application/json");
  response.body = jsonc::Print(Value(std::move(object)));
  return response;
}

http::Response Fault(unsigned status, std::string_view text) {
  return Json(status, {Field("error", Text(text))});
}

Value HostsOf(const control::Snapshot& snapshot) {
  Value::Array hosts;
  for (const membership::HostInfo& it : snapshot.hosts) {
    hosts.emplace_back(Value::Object{
        Field("host", Text(it.ref.host)), Field("region", Text(it.region)),
        Field("zone", Text(it.zone)), Field("address", Text(it.caller_address)),
        Field("revision", Number(it.table_revision)), Field("leaving", Flag(it.leaving)),
        Field("room_per_mille", Number(it.room_per_mille))});
  }
  return Value(std::move(hosts));
}

Value CoordinatorsOf(const control::Snapshot& snapshot) {
  Value::Array out;
  for (const control::CoordinatorView& it : snapshot.coordinators) {
    out.emplace_back(Value::Object{Field("region", Text(it.region)), Field("host", Text(it.host)),
                                   Field("epoch", Number(it.epoch))});
  }
  return Value(std::move(out));
}

Value LeavingOf(const control::Snapshot& snapshot) {
  Value::Array out;
  for (const base::TargetKey key : snapshot.leaving_targets) {
    const control::TargetPlace* place = snapshot.table ? snapshot.table->FindTarget(key) : nullptr;
    if (place != nullptr) out.push_back(Text(place->address));
  }
  return Value(std::move(out));
}

/// Metrics count in doubles, which hold every integer up to 2^53.
std::uint64_t Count(double value) { return static_cast<std::uint64_t>(value); }

Value RefusalsOf(const Counters& counters) {
  Value::Object out;
  for (std::size_t i = 0; i < kRefusalReasons; ++i) {
    const auto reason = static_cast<RefusalReason>(i);
    if (const auto n = Count(counters.refusals.Value(reason))) {
      out.push_back(Field(Name(reason), Number(n)));
    }
  }
  return Value(std::move(out));
}

Value RetriesOf(const Counters& counters) {
  Value::Object out;
  for (std::size_t i = 0; i < kRetryReasons; ++i) {
    const auto reason = static_cast<RetryReason>(i);
    if (const auto n = Count(counters.retries.Value(reason))) {
      out.push_back(Field(Name(reason), Number(n)));
    }
  }
  return Value(std::move(out));
}

Value ExplainRegion(const control::SteeringTable& table, base::ServiceIndex service,
                    const admission::RegionPreference& preference) {
  Value::Object out = {Field("region", Text(table.table().RegionName(preference.region))),
                       Field("share_per_mille", Number(preference.weight))};
  for (const table::ServiceRegion& it : table.ServiceAt(service).regions) {
    if (it.region != preference.region) continue;
    out.push_back(Field("weight", Number(it.weight)));
    out.push_back(Field("limit", Number(it.limit)));
    out.push_back(Field("moved_in_cap_percent", Number(it.moved_in_cap_percent)));
    out.push_back(
        Field("moved_in_ramp_percent_per_minute", Number(it.moved_in_ramp_percent_per_minute)));
  }
  return Value(std::move(out));
}

}  // namespace

AdminApi::AdminApi(CallerApiSettings settings, const control::SnapshotCell& snapshots,
                   GateSet& gates, const TicketDesk& tickets, const Counters& counters,
                   const control::ControlCounters& control, std::function<void()> on_drain)
    : settings_(std::move(settings)),
      snapshots_(snapshots),
      gates_(gates),
      tickets_(tickets),
      counters_(counters),
      control_(control),
      on_drain_(std::move(on_drain)) {}

http::Response AdminApi::Handle(const http::Request& request) {
  if (request.path == "/status") return Status();
  if (request.path == "/explain") return Explain(request);
  if (request.path == "/table") return TableText();
  if (request.path == "/drain" && request.method == "POST") {
    on_drain_();
    return Json(200, {Field("host", Text(settings_.self.host)), Field("state", Text("draining"))});
  }
  return Fault(404, "paths are /status, /explain, /table and POST /drain");
}

http::Response AdminApi::TableText() const {
  const control::SnapshotPtr snapshot = snapshots_.Load();
  if (!snapshot->table) return Fault(503, "no table is in force");
  http::Response response;
  response.headers.Set("Content-Type", "application/json");
  response.body = snapshot->table->text();
  return response;
}

http::Response AdminApi::Status() const {
  const control::SnapshotPtr snapshot = snapshots_.Load();
  const auto read = [](const auto& count) { return Number(Count(count.Value())); };
  return Json(
      200,
      {Field("host", Text(settings_.self.host)), Field("region", Text(settings_.region)),
       Field("zone", Text(settings_.zone)),
       Field("revision", Number(snapshot->table ? snapshot->table->revision() : 0)),
       Field("leaving", Flag(snapshot->leaving)),
       Field("coordinator", Flag(control_.is_coordinator.load())),
       Field("hosts", HostsOf(*snapshot)), Field("coordinators", CoordinatorsOf(*snapshot)),
       Field("leaving_targets", LeavingOf(*snapshot)), Field("tickets", Number(tickets_.entries())),
       Field("traffic", Value(Value::Object{Field("lookups", read(counters_.lookups)),
                                            Field("requests", read(counters_.requests)),
                                            Field("attempts", read(counters_.attempts)),
                                            Field("answered", read(counters_.answered)),
                                            Field("forwarded", read(counters_.forwarded))})),
       Field("refusals", RefusalsOf(counters_)), Field("retries", RetriesOf(counters_)),
       Field("control",
             Value(Value::Object{Field("messages_in", read(control_.messages_in)),
                                 Field("messages_out", read(control_.messages_out)),
                                 Field("bytes_in", read(control_.bytes_in)),
                                 Field("bytes_out", read(control_.bytes_out)),
                                 Field("messages_refused", read(control_.messages_refused)),
                                 Field("messages_malformed", read(control_.messages_malformed)),
                                 Field("store_reads", read(control_.store_reads)),
                                 Field("store_writes", read(control_.store_writes)),
                                 Field("tables_refused", read(control_.tables_refused))}))});
}

http::Response AdminApi::Explain(const http::Request& request) {
  const control::SnapshotPtr snapshot = snapshots_.Load();
  if (!snapshot->table) return Fault(503, "no table is in force");
  const control::SteeringTable& table = *snapshot->table;
  const auto service = table.FindService(request.Parameter("service").value_or(""));
  if (!service) return Fault(404, "parameter 'service' names no service of the table");
  const auto region = table.FindRegion(request.Parameter("region").value_or(settings_.region));
  if (!region) return Fault(404, "parameter 'region' names no region of the table");
  const bool is_long = request.Parameter("class") == "long";
  const auto work_class = is_long ? base::WorkClass::kLong : base::WorkClass::kShort;

  Value::Array regions;
  const auto preferences = table.PreferencesOf(*service, *region);
  for (const admission::RegionPreference& it : preferences) {
    regions.push_back(ExplainRegion(table, *service, it));
  }
  Value::Array targets;
  const auto gate = gates_.Find(table.ServiceAt(*service).key);
  if (gate) {
    gate->Update([&](auto& it, base::Instant now) {
      std::unordered_map<std::uint64_t, admission::SlotUsage> usage;
      for (const auto& slots : it.Usage(now)) {
        if (slots.work_class == work_class) usage[slots.target.value] = slots;
      }
      const admission::Request wanted{.work_class = work_class,
                                      .deadline = base::Instant::Never(),
                                      .regions = preferences,
                                      .excluded = {}};
      for (const admission::Explanation& e : it.Explain(wanted, now)) {
        const control::TargetPlace& place = *table.FindTarget(e.target);
        const auto held = usage.find(e.target.value);
        targets.emplace_back(
            Value::Object{Field("target", Text(place.address)),
                          Field("zone", Text(table.table().ZoneName(place.zone))),
                          Field("slots", Number(is_long ? place.long_slots : place.short_slots)),
                          Field("held", Number(held == usage.end() ? 0 : held->second.held)),
                          Field("in_use", Number(held == usage.end() ? 0 : held->second.in_use)),
                          Field("reason", Text(admission::Name(e.reason)))});
      }
    });
  }
  return Json(200, {Field("service", Text(table.ServiceAt(*service).name)),
                    Field("region", Text(table.table().RegionName(*region))),
                    Field("class", Text(is_long ? "long" : "short")),
                    Field("revision", Number(table.revision())),
                    Field("regions", Value(std::move(regions))),
                    Field("targets", Value(std::move(targets)))});
}

}  // namespace mangonotch::traffic
