// Strict reading: nlohmann-json alone would let a repeated key win silently.
#include "wire/region_record_json.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "wire/decode_error.h"
#include "wire/limits.h"

namespace mangonotch::wire {
namespace {

using Json = nlohmann::json;
using membership::HostRef;

constexpr std::size_t kHexDigits = 16;
/// The record, its list of hosts and a host in it.
constexpr int kMaxDepth = 3;
constexpr const char* kDecodeStep = "decode region record";
constexpr const char* kEncodeStep = "encode region record";

[[noreturn]] void Refuse(DecodeReason reason, const std::string& detail) {
  throw DecodeError(reason, detail, kDecodeStep);
}

/// Finds repeated keys and excessive depth while the text is parsed.
class ShapeCheck {
 public:
  bool operator()(int depth, Json::parse_event_t event, const Json& parsed) {
    using Event = Json::parse_event_t;
    if (event == Event::object_start || event == Event::array_start) {
      if (depth >= kMaxDepth) {
        Refuse(DecodeReason::kBadField, "nested too deeply");
      }
      // The keys of an object have a depth one greater than its start.
      keys_[static_cast<std::size_t>(depth) + 1].clear();
    }
    if (event == Event::key &&
        !keys_[static_cast<std::size_t>(depth)].insert(parsed.get<std::string>()).second) {
      Refuse(DecodeReason::kBadField, "repeated field " + parsed.get<std::string>());
    }
    return true;
  }

 private:
  /// Keys seen in the object that is open at each depth.
  std::array<std::set<std::string>, kMaxDepth + 1> keys_;
};

void RequireFields(const Json& object, const std::string& path,
                   std::initializer_list<const char*> fields) {
  if (!object.is_object()) {
    Refuse(DecodeReason::kBadField, path + " must be an object");
  }
  for (const char* field : fields) {
    if (!object.contains(field)) {
      Refuse(DecodeReason::kBadField, path + " lacks " + field);
    }
  }
  if (object.size() != fields.size()) {
    Refuse(DecodeReason::kBadField, path + " has an unknown field");
  }
}

std::uint64_t ReadNumber(const Json& value, const std::string& path) {
  if (!value.is_number_unsigned()) {
    Refuse(DecodeReason::kBadField, path + " must be a whole number from 0 on");
  }
  return value.get<std::uint64_t>();
}

std::string ReadText(const Json& value, const std::string& path, std::size_t max) {
  if (!value.is_string()) {
    Refuse(DecodeReason::kBadField, path + " must be a string");
  }
  const auto& text = value.get_ref<const std::string&>();
  if (text.size() > max) {
    Refuse(DecodeReason::kStringTooLong, path);
  }
  return text;
}

base::Incarnation ReadIncarnation(const Json& value, const std::string& path) {
  const std::string text = ReadText(value, path, kHexDigits);
  const bool digits = std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
  if (text.size() != kHexDigits || !digits) {
    Refuse(DecodeReason::kBadField, path + " must be 16 hexadecimal digits");
  }
  base::Incarnation incarnation = 0;
  std::from_chars(text.data(), text.data() + text.size(), incarnation, 16);
  return incarnation;
}

HostRef ReadHost(const Json& value, const std::string& path) {
  RequireFields(value, path, {"host", "peer_address", "incarnation"});
  HostRef ref;
  ref.host = ReadText(value["host"], path + ".host", kMaxHostBytes);
  ref.peer_address = ReadText(value["peer_address"], path + ".peer_address", kMaxAddressBytes);
  ref.incarnation = ReadIncarnation(value["incarnation"], path + ".incarnation");
  return ref;
}

std::vector<HostRef> ReadHosts(const Json& value, const std::string& path, std::size_t max) {
  if (!value.is_array()) {
    Refuse(DecodeReason::kBadField, path + " must be a list");
  }
  if (value.size() > max) {
    Refuse(DecodeReason::kTooManyEntries, path);
  }
  std::vector<HostRef> hosts;
  hosts.reserve(value.size());
  for (const Json& item : value) {
    hosts.push_back(ReadHost(item, path + "[" + std::to_string(hosts.size()) + "]"));
  }
  return hosts;
}

std::string FormatIncarnation(base::Incarnation incarnation) {
  std::array<char, kHexDigits> digits;
  auto* const end = digits.data() + digits.size();
  const auto n = static_cast<std::size_t>(std::to_chars(digits.data(), end, incarnation, 16).ptr -
                                          digits.data());
  return std::string(kHexDigits - n, '0') + std::string(digits.data(), n);
}

Json WriteHost(const HostRef& ref) {
  if (ref.host.size() > kMaxHostBytes || ref.peer_address.size() > kMaxAddressBytes) {
    throw base::Error(kEncodeStep, "", "host name or address over its bound: " + ref.host);
  }
  return {{"host", ref.host},
          {"peer_address", ref.peer_address},
          {"incarnation", FormatIncarnation(ref.incarnation)}};
}

Json WriteHosts(const std::vector<HostRef>& hosts, std::size_t max) {
  if (hosts.size() > max) {
    throw base::Error(kEncodeStep, "", "too many hosts: " + std::to_string(hosts.size()));
  }
  Json list = Json::array();
  for (const HostRef& ref : hosts) {
    list.push_back(WriteHost(ref));
  }
  return list;
}

}  // namespace

std::string EncodeRecord(const shares::RegionRecord& record) {
  const Json json = {{"epoch", record.epoch},
                     {"holder", WriteHost(record.holder)},
                     {"standbys", WriteHosts(record.standbys, kMaxStandbys)},
                     {"grantees", WriteHosts(record.grantees, kMaxGrantees)},
                     {"renewal", record.renewal}};
  try {
    return json.dump();
  } catch (const Json::exception& e) {
    throw base::Error(kEncodeStep, "", e.what());
  }
}

shares::RegionRecord DecodeRecord(std::string_view text) {
  if (text.size() > kMaxRecordBytes) {
    Refuse(DecodeReason::kTooLong, std::to_string(text.size()) + " bytes");
  }
  Json json;
  try {
    json = Json::parse(text, ShapeCheck());
  } catch (const Json::exception& e) {
    Refuse(DecodeReason::kBadJson, e.what());
  }
  RequireFields(json, "record", {"epoch", "holder", "standbys", "grantees", "renewal"});
  shares::RegionRecord record;
  record.epoch = ReadNumber(json["epoch"], "epoch");
  record.holder = ReadHost(json["holder"], "holder");
  record.standbys = ReadHosts(json["standbys"], "standbys", kMaxStandbys);
  record.grantees = ReadHosts(json["grantees"], "grantees", kMaxGrantees);
  record.renewal = ReadNumber(json["renewal"], "renewal");
  return record;
}

}  // namespace mangonotch::wire
