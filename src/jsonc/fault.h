// Faults found in a file. All are collected before any is reported, so that an operator can correct
// the file in one pass.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace mangonotch::jsonc {

struct Fault {
  std::string file;
  /// Counted from 1; 0 when the fault is not tied to a line.
  int line = 0;
  /// Path of the field from the root: `services[2].targets[0].slots`. Empty for the whole file.
  std::string path;
  std::string expected;
  std::string found;

  bool operator==(const Fault&) const = default;
  /// `FILE:LINE: PATH: expected EXPECTED, found FOUND`
  std::string Text() const;
};

/// Contains all faults of a file; `what()` lists them one per line.
class FaultError : public base::Error {
 public:
  FaultError(std::string step, std::vector<Fault> faults);

  std::span<const Fault> faults() const { return faults_; }

 private:
  std::vector<Fault> faults_;
};

/// The faults found so far in one file.
class FaultList {
 public:
  explicit FaultList(std::string_view file) : file_(file) {}

  void Add(int line, std::string_view path, std::string_view expected, std::string_view found);
  bool empty() const { return faults_.empty(); }
  std::span<const Fault> faults() const { return faults_; }
  /// Throws FaultError with all faults, sorted by line, if there are any. `step` names the failed
  /// operation.
  void ThrowIfAny(std::string_view step) const;

 private:
  std::string file_;
  std::vector<Fault> faults_;
};

}  // namespace mangonotch::jsonc
