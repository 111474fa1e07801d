// Wraps prometheus-cpp's registry.
#include "metrics/registry.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace mangonotch::metrics {
namespace {

prometheus::Labels NativeLabels(std::initializer_list<Label> labels) {
  prometheus::Labels native;
  for (const Label& label : labels) {
    native.emplace(label.name, label.value);
  }
  return native;
}

}  // namespace

void Counter::Add(std::uint64_t n) { counter_->Increment(static_cast<double>(n)); }
double Counter::Value() const { return counter_->Value(); }
void Gauge::Set(double value) { gauge_->Set(value); }
double Gauge::Value() const { return gauge_->Value(); }
void Histogram::Observe(double value) { histogram_->Observe(value); }

Registry::Registry() : registry_(std::make_shared<prometheus::Registry>()) {}
Registry::~Registry() = default;

Counter Registry::AddCounter(std::string_view name, std::string_view help,
                             std::initializer_list<Label> labels) {
  auto& family = prometheus::BuildCounter()
                     .Name(std::string(name))
                     .Help(std::string(help))
                     .Register(*registry_);
  return Counter(family.Add(NativeLabels(labels)));
}

Gauge Registry::AddGauge(std::string_view name, std::string_view help,
                         std::initializer_list<Label> labels) {
  auto& family =
      prometheus::BuildGauge().Name(std::string(name)).Help(std::string(help)).Register(*registry_);
  return Gauge(family.Add(NativeLabels(labels)));
}

Histogram Registry::AddHistogram(std::string_view name, std::string_view help,
                                 std::span<const double> bounds,
                                 std::initializer_list<Label> labels) {
  auto& family = prometheus::BuildHistogram()
                     .Name(std::string(name))
                     .Help(std::string(help))
                     .Register(*registry_);
  return Histogram(family.Add(
      NativeLabels(labels), prometheus::Histogram::BucketBoundaries(bounds.begin(), bounds.end())));
}

std::string Registry::Text() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace mangonotch::metrics
