// Builds a table from a JSON value and collects every fault on the way.
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

  /// The table; meaningless when faults were added.
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
  void CheckRoom(jsonc::Reader& reader, const Service& service);

  /// Position of the region that the field names; adds a fault when there is none.
  std::optional<base::RegionIndex> RegionField(jsonc::Reader& reader, std::string_view field);
  std::optional<base::ZoneIndex> ZoneField(jsonc::Reader& reader, std::string_view field);

  jsonc::FaultList& faults_;
  jsonc::Reader root_;
  Table table_;
  std::map<std::string, base::RegionIndex, std::less<>> regions_;
  std::map<std::string, base::ZoneIndex, std::less<>> zones_;
  // Over all services: where each target address and key was first used.
  std::map<std::string, std::string, std::less<>> addresses_;
  std::map<base::TargetKey, std::string> target_keys_;
};

/// The name in `field`: lower-case letters, digits and inner dashes, since names go into paths,
/// metric labels and keys of the store.
std::string ReadName(jsonc::Reader& reader, std::string_view field);

/// Free text of one line. Control characters are refused, since they would steer the terminal of
/// whoever shows the table.
std::string ReadText(jsonc::Reader& reader, std::string_view field);

bool HasControlCharacter(std::string_view text);

}  // namespace mangonotch::table::internal
