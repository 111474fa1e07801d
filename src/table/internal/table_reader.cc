// Reads a table: revision data, history, regions, links and client blocks. service_reader.cc reads
// the services.
#include "table/internal/table_reader.h"

#include <algorithm>
#include <set>
#include <utility>

namespace mangonotch::table::internal {
namespace {

using jsonc::IntegerRange;
using jsonc::Reader;

constexpr IntegerRange kDistanceMs = {0, 10'000, "ms"};
constexpr IntegerRange kBytesPerSecond = {1, 1'000'000'000'000, "bytes/s"};
constexpr IntegerRange kLookupTtlMs = {100, kMaxLookupTtlMs, "ms"};
constexpr std::size_t kMaxNameLength = 64;

/// Parses the text of a block, such as "10.1.0.0/16". False when it is invalid or has address bits
/// set after the prefix.
bool ParseBlock(ClientBlock& block) {
  const std::string_view text = block.block;
  const std::size_t n = text.find('/');
  const auto address = base::ParseIpAddress(text.substr(0, n));
  if (n == std::string_view::npos || !address) {
    return false;
  }
  std::string_view length_text = text.substr(n + 1);
  const auto length = base::internal::TakeNumber(length_text, 10, 3);
  if (!length || !length_text.empty() || *length > (address->is_v4 ? 32U : 128U)) {
    return false;
  }
  block.address = *address;
  block.prefix_length = static_cast<std::uint8_t>(*length);
  const std::size_t prefix_bits = *length + (address->is_v4 ? 96U : 0U);
  for (std::size_t bit = prefix_bits; bit < 128; ++bit) {
    if ((address->bytes[bit / 8] >> (7 - bit % 8) & 1) != 0) {
      return false;
    }
  }
  return true;
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

}  // namespace

std::string ReadName(Reader& reader, std::string_view field) {
  std::string name = reader.String(field);
  const bool valid = !name.empty() && name.size() <= kMaxNameLength &&
                     std::all_of(name.begin(), name.end(), IsNameCharacter) &&
                     name.front() != '-' && name.back() != '-';
  if (!valid && reader.Has(field)) {
    reader.AddFault(field, "a name of at most 64 lower-case letters, digits and inner dashes",
                    '"' + name + '"');
  }
  return name;
}

bool HasControlCharacter(std::string_view text) {
  return std::any_of(text.begin(), text.end(),
                     [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; });
}

std::string ReadText(Reader& reader, std::string_view field) {
  std::string text = reader.String(field);
  if (HasControlCharacter(text)) {
    reader.AddFault(field, "a line of text without control characters", "control characters");
  }
  return text;
}

TableReader::TableReader(const jsonc::Value& root, jsonc::FaultList& faults)
    : faults_(faults), root_(root, "", faults) {}

Table TableReader::Read() {
  table_.revision = static_cast<base::Revision>(root_.Integer("revision", {.min = 1}));
  table_.author = ReadText(root_, "author");
  table_.time_unix_ms = root_.Integer("time_unix_ms", {});
  table_.edit_id = ReadText(root_, "edit_id");
  table_.lookup_ttl_ms = static_cast<std::uint32_t>(
      root_.IntegerOr("lookup_ttl_ms", kLookupTtlMs, table_.lookup_ttl_ms));
  ReadHistory();
  ReadRegions();
  ReadLinks();
  ReadClients();
  ReadServices();
  root_.RefuseUnknownFields();
  return std::move(table_);
}

void TableReader::ReadHistory() {
  std::set<std::string> edits;
  for (Reader& reader : root_.ObjectsIfAny("history")) {
    HistoryEntry entry;
    entry.edit_id = ReadText(reader, "edit_id");
    entry.revision = static_cast<base::Revision>(reader.Integer("revision", {.min = 1}));
    entry.author = ReadText(reader, "author");
    entry.time_unix_ms = reader.Integer("time_unix_ms", {});
    entry.summary = ReadText(reader, "summary");
    reader.RefuseUnknownFields();
    if (!edits.insert(entry.edit_id).second) {
      reader.AddFault("edit_id", "a unique edit identifier", '"' + entry.edit_id + "\" twice");
    }
    if (!table_.history.empty() && table_.history.back().revision >= entry.revision) {
      reader.AddFault("revision", "a revision above that of the previous edit",
                      std::to_string(entry.revision));
    }
    if (entry.revision > table_.revision) {
      reader.AddFault("revision", "at most the revision of the table",
                      std::to_string(entry.revision));
    }
    table_.history.push_back(std::move(entry));
  }
  if (table_.history.size() > kHistoryLength) {
    root_.AddFault("history", "at most " + std::to_string(kHistoryLength) + " edits",
                   std::to_string(table_.history.size()));
  }
}

void TableReader::ReadRegions() {
  std::vector<Reader> readers = root_.Objects("regions");
  if (readers.empty()) {
    root_.AddFault("regions", "at least one region", "none");
  }
  for (Reader& reader : readers) {
    const base::RegionIndex index{static_cast<std::uint32_t>(table_.regions.size())};
    Region region{ReadName(reader, "name"), {}};
    if (!regions_.emplace(region.name, index).second) {
      reader.AddFault("name", "a unique region name", '"' + region.name + "\" twice");
    }
    const auto zones = reader.Strings("zones");
    if (zones.empty()) {
      reader.AddFault("zones", "at least one zone", "none");
    }
    for (const jsonc::StringItem& zone : zones) {
      const base::ZoneIndex zone_index{static_cast<std::uint32_t>(table_.zones.size())};
      if (zone.text.empty() || !std::all_of(zone.text.begin(), zone.text.end(), IsNameCharacter)) {
        faults_.Add(zone.line, zone.path, "a name of lower-case letters, digits and dashes",
                    '"' + zone.text + '"');
      }
      if (!zones_.emplace(zone.text, zone_index).second) {
        faults_.Add(zone.line, zone.path, "a unique zone name", '"' + zone.text + "\" twice");
      }
      table_.zones.push_back({zone.text, index});
    }
    table_.regions.push_back(std::move(region));
  }
  ReadDistances(readers);
}

void TableReader::ReadDistances(std::span<Reader> readers) {
  std::size_t n = 0;
  // Runs after all regions are read, since a region may name one that is listed after it.
  for (Reader& reader : readers) {
    Region& region = table_.regions[n++];
    region.distance_ms.assign(table_.regions.size(), 0);
    std::set<std::string> given = {region.name};
    for (const jsonc::IntegerItem& item : reader.Integers("distance_ms", kDistanceMs)) {
      const auto it = regions_.find(item.name);
      if (it == regions_.end() || item.name == region.name) {
        faults_.Add(item.line, item.path, "another region of this table", '"' + item.name + '"');
        continue;
      }
      given.insert(item.name);
      region.distance_ms[it->second.value] = static_cast<std::uint32_t>(item.value);
    }
    for (const auto& [name, index] : regions_) {
      if (given.find(name) == given.end()) {
        reader.AddFault("distance_ms", "a distance to " + name, "none");
      }
    }
    reader.RefuseUnknownFields();
  }
}

void TableReader::ReadLinks() {
  std::set<std::pair<base::RegionIndex, base::RegionIndex>> pairs;
  const std::size_t faults_before = faults_.faults().size();
  for (Reader& reader : root_.Objects("links")) {
    const auto from = RegionField(reader, "from");
    const auto to = RegionField(reader, "to");
    const auto rate = static_cast<std::uint64_t>(reader.Integer("bytes_per_s", kBytesPerSecond));
    reader.RefuseUnknownFields();
    if (!from || !to) {
      continue;
    }
    if (*from == *to) {
      reader.AddFault("to", "a region other than that in from", '"' + table_.RegionName(*to) + '"');
    } else if (!pairs.emplace(*from, *to).second) {
      reader.AddFault("", "one link per direction", "a duplicate");
    }
    table_.links.push_back({*from, *to, rate});
  }
  // A link with a misspelt region would also be reported as missing.
  if (faults_.faults().size() > faults_before) {
    return;
  }
  for (const auto& [from_name, from] : regions_) {
    for (const auto& [to_name, to] : regions_) {
      if (from != to && pairs.count({from, to}) == 0) {
        std::string expected = "a link from ";
        expected.append(from_name).append(" to ").append(to_name);
        root_.AddFault("links", expected, "none");
      }
    }
  }
}

void TableReader::ReadClients() {
  std::set<std::pair<base::IpAddress, std::uint8_t>> blocks;
  for (Reader& reader : root_.Objects("clients")) {
    ClientBlock block;
    block.block = reader.String("block");
    const auto region = RegionField(reader, "region");
    const auto zone = ZoneField(reader, "zone");
    reader.RefuseUnknownFields();
    if (!ParseBlock(block)) {
      reader.AddFault("block", "a block such as 10.1.0.0/16 without address bits after its prefix",
                      '"' + block.block + '"');
    } else if (!blocks.emplace(block.address, block.prefix_length).second) {
      reader.AddFault("block", "a unique block", '"' + block.block + "\" twice");
    }
    if (!region || !zone) {
      continue;
    }
    if (table_.RegionOf(*zone) != *region) {
      reader.AddFault("zone", "a zone of " + table_.RegionName(*region),
                      '"' + table_.ZoneName(*zone) + '"');
    }
    block.region = *region;
    block.zone = *zone;
    table_.clients.push_back(std::move(block));
  }
}

std::optional<base::RegionIndex> TableReader::RegionField(Reader& reader, std::string_view field) {
  const std::string name = reader.String(field);
  const auto it = regions_.find(name);
  if (it != regions_.end()) {
    return it->second;
  }
  if (reader.Has(field)) {
    reader.AddFault(field, "a region of this table", '"' + name + '"');
  }
  return std::nullopt;
}

std::optional<base::ZoneIndex> TableReader::ZoneField(Reader& reader, std::string_view field) {
  const std::string name = reader.String(field);
  const auto it = zones_.find(name);
  if (it != zones_.end()) {
    return it->second;
  }
  if (reader.Has(field)) {
    reader.AddFault(field, "a zone of this table", '"' + name + '"');
  }
  return std::nullopt;
}

}  // namespace mangonotch::table::internal
