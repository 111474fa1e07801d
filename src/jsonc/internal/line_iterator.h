// A character iterator that counts lines, since nlohmann-json reports positions only for errors,
// not for parsed values.
#pragma once

#include <cstddef>
#include <iterator>

namespace mangonotch::jsonc::internal {

class LineIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  /// `line` receives the line of the last character read. A line break belongs to the line that it
  /// ends, because the parser reads one character beyond a number, which is often the line break.
  LineIterator(const char* at, int* line) : at_(at), line_(line) {}

  reference operator*() const { return *at_; }
  LineIterator& operator++() {
    if (after_break_) {
      ++*line_;
    }
    after_break_ = *at_ == '\n';
    ++at_;
    return *this;
  }
  bool operator==(const LineIterator& other) const { return at_ == other.at_; }

 private:
  const char* at_;
  int* line_;
  bool after_break_ = false;
};

}  // namespace mangonotch::jsonc::internal
