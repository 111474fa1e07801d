// Builds a table from a JSON value and collects all faults.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "jsonc/fault.h"
#include "jsonc/reader.h"
#include "jsonc/value.h"
#include "table/table.h"

namespace mangonotch::table::internal {

class TableReader {
 public:
  /// Both must outlive the reader.
  TableReader(const jsonc::Value& root, jsonc::FaultList& faults);

  /// Returns the table, which is valid only if no faults were added.
  Table Read();

 private:
  void ReadHistory();
  void ReadRegions();
  void ReadDistances(std::span<jsonc::Reader> readers);
  void ReadLinks();
  void ReadClients();
  void ReadServices();
  Service ReadService(jsonc::Reader& reader);
  Route ReadRoute(jsonc::Reader& reader);
  void ReadServiceRegions(jsonc::Reader& reader, Service& service);
  void ReadServiceZones(jsonc::Reader& reader, Service& service);
  void ReadTargets(jsonc::Reader& reader, Service& service);
  void CheckCapacity(jsonc::Reader& reader, const Service& service);

  /// Index of the region that the field names. Adds a fault when there is no such region.
  std::optional<base::RegionIndex> RegionField(jsonc::Reader& reader, std::string_view field);
  std::optional<base::ZoneIndex> ZoneField(jsonc::Reader& reader, std::string_view field);

  jsonc::FaultList& faults_;
  jsonc::Reader root_;
  Table table_;
  std::map<std::string, base::RegionIndex, std::less<>> regions_;
  std::map<std::string, base::ZoneIndex, std::less<>> zones_;
  // The service or target that first used each target address and key, over all services.
  std::map<std::string, std::string, std::less<>> addresses_;
  std::map<base::TargetKey, std::string> target_keys_;
};

/// Reads a name, which is restricted to lower-case letters, digits and inner dashes because names
/// are used in paths, metric labels and store keys.
std::string ReadName(jsonc::Reader& reader, std::string_view field);

/// Reads a line of free text. Control characters are refused, since they could inject escape
/// sequences into the terminal that shows the table.
std::string ReadText(jsonc::Reader& reader, std::string_view field);

bool HasControlCharacter(std::string_view text);

}  // namespace mangonotch::table::internal
