// Implementation of control::ParseHostList.
#include "control/host_list.h"

#include "base/error.h"
#include "jsonc/parse.h"

namespace mangonotch::control {
namespace {

std::string TextOf(const jsonc::Value& entry, std::string_view field) {
  const jsonc::Value* value = entry.Find(field);
  const auto* text = value == nullptr ? nullptr : std::get_if<std::string>(&value->data());
  return text == nullptr ? std::string() : *text;
}

}  // namespace

std::vector<membership::HostListEntry> ParseHostList(std::string_view text) {
  const jsonc::Value root = jsonc::Parse(text, "host list");
  const jsonc::Value* hosts = root.Find("hosts");
  const auto* array = hosts == nullptr ? nullptr : std::get_if<jsonc::Value::Array>(&hosts->data());
  if (array == nullptr) {
    throw base::Error("read host list", "", "field 'hosts' is missing or not an array");
  }
  std::vector<membership::HostListEntry> out;
  for (const jsonc::Value& it : *array) {
    out.push_back({.host = TextOf(it, "host"),
                   .peer_address = TextOf(it, "peer_address"),
                   .region = TextOf(it, "region"),
                   .zone = TextOf(it, "zone"),
                   .leaving = TextOf(it, "state") == "leaving"});
  }
  return out;
}

}  // namespace mangonotch::control
