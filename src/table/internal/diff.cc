// Compares two tables record by record.
#include "table/diff.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

#include "table/internal/records.h"

namespace mangonotch::table {
namespace {

using internal::Field;
using internal::Record;
using RecordKey = std::pair<Subject, std::string_view>;
using RecordMap = std::map<RecordKey, const Record*>;

RecordKey KeyOf(const Record& record) { return {record.subject, record.name}; }

RecordMap ByName(const std::vector<Record>& records) {
  RecordMap map;
  for (const Record& record : records) {
    map.emplace(KeyOf(record), &record);
  }
  return map;
}

const Record* Find(const RecordMap& map, const Record& record) {
  const auto it = map.find(KeyOf(record));
  return it == map.end() ? nullptr : it->second;
}

std::string AllFields(const Record& record) {
  std::string text;
  for (const Field& field : record.fields) {
    text += (text.empty() ? "" : ", ") + field.name + " " + field.Text();
  }
  return text;
}

const Field* Find(const Record& record, std::string_view field) {
  const auto it = std::find_if(record.fields.begin(), record.fields.end(),
                               [&](const Field& entry) { return entry.name == field; });
  return it == record.fields.end() ? nullptr : &*it;
}

void CompareFields(const Record& before, const Record& after, std::vector<DiffEntry>& entries) {
  const auto add = [&](const std::string& name, const Field* old_field, const Field* new_field) {
    entries.push_back({Change::kChanged, after.subject, after.name, name,
                       old_field == nullptr ? "none" : old_field->Text(),
                       new_field == nullptr ? "none" : new_field->Text()});
  };
  for (const Field& field : after.fields) {
    const Field* old_field = Find(before, field.name);
    if (old_field == nullptr || old_field->value != field.value) {
      add(field.name, old_field, &field);
    }
  }
  for (const Field& field : before.fields) {
    if (Find(after, field.name) == nullptr) {
      add(field.name, &field, nullptr);
    }
  }
}

}  // namespace

std::string DiffEntry::Text() const {
  switch (change) {
    case Change::kAdded:
      return name + ": added (" + after + ")";
    case Change::kRemoved:
      return name + ": removed (" + before + ")";
    case Change::kChanged:
      break;
  }
  return name + ": " + field + " " + before + " -> " + after;
}

std::vector<DiffEntry> Diff(const Table& before, const Table& after) {
  const std::vector<Record> old_records = internal::Flatten(before);
  const std::vector<Record> new_records = internal::Flatten(after);
  const RecordMap old_by_name = ByName(old_records);
  const RecordMap new_by_name = ByName(new_records);
  std::vector<DiffEntry> entries;
  for (const Record& record : old_records) {
    if (Find(new_by_name, record) == nullptr) {
      entries.push_back({Change::kRemoved, record.subject, record.name, "", AllFields(record), ""});
    }
  }
  for (const Record& record : new_records) {
    const Record* old_record = Find(old_by_name, record);
    if (old_record == nullptr) {
      entries.push_back({Change::kAdded, record.subject, record.name, "", "", AllFields(record)});
    } else {
      CompareFields(*old_record, record, entries);
    }
  }
  return entries;
}

}  // namespace mangonotch::table
