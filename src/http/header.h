// Header lines of HTTP messages: views for what came in, an owning list for what goes out.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace mangonotch::http {

/// One header line; the views live as long as the message they were taken from.
struct HeaderView {
  std::string_view name;
  std::string_view value;
};

/// Names of header fields compare without regard to case (RFC 9110, section 5.1).
bool EqualsIgnoreCase(std::string_view a, std::string_view b);

/// True when `value` may stand in a header line: no CR, LF or NUL, which would start another line
/// or end the message.
bool IsFieldValue(std::string_view value);

/// True when `name` is a token (RFC 9110, section 5.6.2).
bool IsToken(std::string_view name);

/// Header lines in the order in which they were added.
class Headers {
 public:
  struct Line {
    std::string name;
    std::string value;
  };

  /// Throws std::invalid_argument when the name is not a token or the value holds CR, LF or NUL.
  void Add(std::string_view name, std::string_view value);
  /// Replaces all lines of this name by one.
  void Set(std::string_view name, std::string_view value);

  /// Value of the first line of this name.
  std::optional<std::string_view> Find(std::string_view name) const;
  std::size_t Count(std::string_view name) const;

  auto begin() const { return lines_.begin(); }
  auto end() const { return lines_.end(); }
  std::size_t size() const { return lines_.size(); }

 private:
  std::vector<Line> lines_;  // Each line has passed the checks of Add.
};

}  // namespace mangonotch::http
