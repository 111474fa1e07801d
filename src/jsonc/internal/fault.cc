// Formats faults as text.
#include "jsonc/fault.h"

#include <algorithm>
#include <utility>

namespace mangonotch::jsonc {
namespace {

std::string Join(std::span<const Fault> faults) {
  std::string text = std::to_string(faults.size()) + (faults.size() == 1 ? " fault" : " faults");
  for (const Fault& fault : faults) {
    text += '\n';
    text += fault.Text();
  }
  return text;
}

}  // namespace

std::string Fault::Text() const {
  std::string text = file;
  if (line > 0) {
    text += ':' + std::to_string(line);
  }
  text += ": ";
  if (!path.empty()) {
    text += path + ": ";
  }
  return text + "expected " + expected + ", found " + found;
}

FaultError::FaultError(std::string step, std::vector<Fault> faults)
    : base::Error(std::move(step), "", Join(faults)), faults_(std::move(faults)) {}

void FaultList::Add(int line, std::string_view path, std::string_view expected,
                    std::string_view found) {
  faults_.push_back({file_, line, std::string(path), std::string(expected), std::string(found)});
}

void FaultList::ThrowIfAny(std::string_view step) const {
  if (faults_.empty()) {
    return;
  }
  std::vector<Fault> sorted = faults_;
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const Fault& a, const Fault& b) { return a.line < b.line; });
  throw FaultError(std::string(step), std::move(sorted));
}

}  // namespace mangonotch::jsonc
