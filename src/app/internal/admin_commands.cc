// `mangonotch status`, `explain`, `lookup` and `drain`: send requests to a running entry host.
#include <algorithm>
#include <map>

#include "app/exit_code.h"
#include "app/internal/command.h"
#include "app/internal/text_table.h"
#include "base/error.h"
#include "http/client.h"
#include "http/clock.h"
#include "http/url.h"
#include "jsonc/parse.h"
#include "jsonc/value.h"

namespace mangonotch::app {
namespace {

using jsonc::Value;

/// Sends a request and returns the body of a 200 response. Throws base::Error that names the host
/// for any other status.
std::string SendRequest(const std::string& address, const std::string& method,
                        const std::string& target) {
  http::Client client;
  const http::Response response =
      client.Execute(http::Endpoint::Parse(address),
                     {.method = method, .target = target, .headers = {}, .body = {}},
                     http::Now() + kRequestTimeout);
  if (response.status == 200) return response.body;
  throw base::Error(method + " " + target, "host " + address,
                    "status " + std::to_string(response.status) + ": " + response.body);
}

/// Returns the field's value as text; empty when the field is missing.
std::string TextOf(const Value& object, std::string_view field) {
  const Value* value = object.Find(field);
  if (value == nullptr) return "";
  if (const auto* text = std::get_if<std::string>(&value->data())) return *text;
  if (const auto* n = std::get_if<std::int64_t>(&value->data())) return std::to_string(*n);
  if (const auto* flag = std::get_if<bool>(&value->data())) return *flag ? "yes" : "no";
  return "";
}

const Value::Array& ArrayOf(const Value& object, std::string_view field) {
  static const Value::Array empty;
  const Value* value = object.Find(field);
  const auto* array = value == nullptr ? nullptr : std::get_if<Value::Array>(&value->data());
  return array == nullptr ? empty : *array;
}

/// Prints an array of objects as a table with one column for each of `fields`.
void PrintArray(const Value::Array& array, const std::vector<std::string>& fields,
                std::ostream& out) {
  TextTable text(fields);
  for (const Value& it : array) {
    std::vector<std::string> row;
    row.reserve(fields.size());
    for (const std::string& field : fields) row.push_back(TextOf(it, field));
    text.AddRow(std::move(row));
  }
  out << text.Render();
}

void PrintCounts(std::string_view title, const Value* counts, std::ostream& out) {
  const auto* object = counts == nullptr ? nullptr : std::get_if<Value::Object>(&counts->data());
  out << title << ":";
  if (object == nullptr || object->empty()) out << " none";
  for (std::size_t i = 0; object != nullptr && i < object->size(); ++i) {
    const jsonc::Member& it = (*object)[i];
    out << (i == 0 ? " " : ", ") << it.name << " " << std::get<std::int64_t>(it.value.data());
  }
  out << "\n";
}

void PrintRevisions(const Value::Array& hosts, std::ostream& out) {
  std::map<std::string, int> count;
  for (const Value& it : hosts) ++count[TextOf(it, "revision")];
  for (const auto& [revision, n] : count) {
    out << "revision " << revision << " in force on " << n << " of " << hosts.size()
        << " live hosts\n";
  }
}

}  // namespace

int Status(Arguments args, std::ostream& out) {
  TCLAP::CmdLine cmd("Shows the state of the deployment as an entry host sees it", ' ', kVersion);
  TCLAP::ValueArg<std::string> host("a", "admin", "admin address of an entry host", true, "",
                                    "ip:port", cmd);
  TCLAP::SwitchArg json("j", "json", "print JSON", cmd);
  ParseArguments(cmd, args);
  const std::string body = SendRequest(host.getValue(), "GET", "/status");
  if (json.getValue()) {
    out << body;
    return kSuccess;
  }
  const Value status = jsonc::Parse(body, "status");
  out << "host " << TextOf(status, "host") << ", region " << TextOf(status, "region") << ", zone "
      << TextOf(status, "zone") << (TextOf(status, "leaving") == "yes" ? ", draining" : "") << "\n";
  PrintRevisions(ArrayOf(status, "hosts"), out);
  out << "\nhosts (room_per_mille: free short slots per 1,000 held)\n";
  PrintArray(ArrayOf(status, "hosts"),
             {"host", "region", "zone", "address", "revision", "leaving", "room_per_mille"}, out);
  out << "\ncoordinators\n";
  PrintArray(ArrayOf(status, "coordinators"), {"region", "host", "epoch"}, out);
  out << "\nleaving targets:";
  for (const Value& it : ArrayOf(status, "leaving_targets")) {
    out << " " << std::get<std::string>(it.data());
  }
  out << (ArrayOf(status, "leaving_targets").empty() ? " none\n" : "\n");
  PrintCounts("traffic", status.Find("traffic"), out);
  PrintCounts("refusals", status.Find("refusals"), out);
  PrintCounts("retries", status.Find("retries"), out);
  PrintCounts("control", status.Find("control"), out);
  return kSuccess;
}

int Explain(Arguments args, std::ostream& out) {
  TCLAP::CmdLine cmd(
      "Explains how a host routes requests of a service, and why it excludes other targets", ' ',
      kVersion);
  TCLAP::ValueArg<std::string> host("a", "admin", "admin address of an entry host", true, "",
                                    "ip:port", cmd);
  TCLAP::ValueArg<std::string> service("s", "service", "service of the table", true, "", "name",
                                       cmd);
  TCLAP::ValueArg<std::string> region("r", "region", "home region of the callers", false, "",
                                      "name", cmd);
  TCLAP::SwitchArg is_long("l", "long", "long-running requests instead of short ones", cmd);
  TCLAP::SwitchArg json("j", "json", "print JSON", cmd);
  ParseArguments(cmd, args);
  std::string target = "/explain?service=" + http::EncodeComponent(service.getValue());
  if (region.isSet()) target += "&region=" + http::EncodeComponent(region.getValue());
  if (is_long.getValue()) target += "&class=long";
  const std::string body = SendRequest(host.getValue(), "GET", target);
  if (json.getValue()) {
    out << body;
    return kSuccess;
  }
  const Value answer = jsonc::Parse(body, "explain");
  out << TextOf(answer, "class") << " requests of service " << TextOf(answer, "service")
      << " for callers of region " << TextOf(answer, "region") << ", table revision "
      << TextOf(answer, "revision")
      << "\n\nregions in order of preference (share_per_mille 0: only "
      << "when the others have no free slot)\n";
  PrintArray(ArrayOf(answer, "regions"),
             {"region", "share_per_mille", "weight", "limit", "moved_in_cap_percent",
              "moved_in_ramp_percent_per_minute"},
             out);
  out << "\ntargets (held: slots granted to this host; reason none: receives requests now)\n";
  PrintArray(ArrayOf(answer, "targets"), {"target", "zone", "slots", "held", "in_use", "reason"},
             out);
  return kSuccess;
}

int Lookup(Arguments args, std::ostream& out) {
  TCLAP::CmdLine cmd("Looks up the entry hosts that a caller should use", ' ', kVersion);
  TCLAP::ValueArg<std::string> host("c", "callers", "caller address of an entry host", true, "",
                                    "ip:port", cmd);
  TCLAP::ValueArg<std::string> service("s", "service", "service of the table", true, "", "name",
                                       cmd);
  TCLAP::ValueArg<std::string> client("i", "client", "IP address of the caller", false, "", "ip",
                                      cmd);
  ParseArguments(cmd, args);
  std::string target = "/v1/lookup?service=" + http::EncodeComponent(service.getValue());
  if (client.isSet()) target += "&client=" + http::EncodeComponent(client.getValue());
  out << SendRequest(host.getValue(), "GET", target);
  return kSuccess;
}

int Drain(Arguments args, std::ostream& out) {
  TCLAP::CmdLine cmd("Drains an entry host and stops it once cached lookup responses have expired",
                     ' ', kVersion);
  TCLAP::ValueArg<std::string> host("a", "admin", "admin address of the entry host", true, "",
                                    "ip:port", cmd);
  ParseArguments(cmd, args);
  out << SendRequest(host.getValue(), "POST", "/drain");
  return kSuccess;
}

}  // namespace mangonotch::app
