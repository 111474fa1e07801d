// Header lines: comparison, checks and the owning list.
#include "http/header.h"

#include <algorithm>

namespace mangonotch::http {
namespace {

char Lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

bool IsTokenChar(char c) {
  const bool alnum = (c >= '0' && c <= '9') || (Lower(c) >= 'a' && Lower(c) <= 'z');
  return alnum || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

}  // namespace

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

bool IsFieldValue(std::string_view value) {
  return value.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}

bool IsToken(std::string_view name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), IsTokenChar);
}

void Headers::Add(std::string_view name, std::string_view value) {
  if (!IsToken(name)) {
    throw std::invalid_argument("header name is not a token");
  }
  if (!IsFieldValue(value)) {
    throw std::invalid_argument("header value holds CR, LF or NUL: " + std::string(name));
  }
  lines_.push_back({std::string(name), std::string(value)});
}

void Headers::Set(std::string_view name, std::string_view value) {
  std::erase_if(lines_, [&](const Line& line) { return EqualsIgnoreCase(line.name, name); });
  Add(name, value);
}

std::optional<std::string_view> Headers::Find(std::string_view name) const {
  for (const Line& line : lines_) {
    if (EqualsIgnoreCase(line.name, name)) {
      return line.value;
    }
  }
  return std::nullopt;
}

std::size_t Headers::Count(std::string_view name) const {
  return static_cast<std::size_t>(
      std::count_if(lines_.begin(), lines_.end(),
                    [&](const Line& line) { return EqualsIgnoreCase(line.name, name); }));
}

}  // namespace mangonotch::http
