// The metrics of the process. Metric handles are cheap to copy, thread-safe, and valid as long as
// the registry exists.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
}  // namespace prometheus

namespace mangonotch::metrics {

struct Label {
  std::string_view name;
  std::string_view value;
};

class Counter {
 public:
  void Add(std::uint64_t n = 1);
  double Value() const;

 private:
  friend class Registry;
  explicit Counter(prometheus::Counter& counter) : counter_(&counter) {}
  prometheus::Counter* counter_;
};

class Gauge {
 public:
  void Set(double value);
  double Value() const;

 private:
  friend class Registry;
  explicit Gauge(prometheus::Gauge& gauge) : gauge_(&gauge) {}
  prometheus::Gauge* gauge_;
};

class Histogram {
 public:
  void Observe(double value);

 private:
  friend class Registry;
  explicit Histogram(prometheus::Histogram& histogram) : histogram_(&histogram) {}
  prometheus::Histogram* histogram_;
};

class Registry {
 public:
  Registry();
  ~Registry();
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;

  // A second call with the same name and labels returns the same metric. Names follow Prometheus:
  // lower case with the unit at the end.
  Counter AddCounter(std::string_view name, std::string_view help,
                     std::initializer_list<Label> labels = {});
  Gauge AddGauge(std::string_view name, std::string_view help,
                 std::initializer_list<Label> labels = {});
  /// `bounds` are the upper bounds of the buckets, ascending; an overflow bucket is added.
  Histogram AddHistogram(std::string_view name, std::string_view help,
                         std::span<const double> bounds, std::initializer_list<Label> labels = {});

  /// Returns all metrics in the Prometheus text format.
  std::string Text() const;

  const std::shared_ptr<prometheus::Registry>& native() const { return registry_; }

 private:
  std::shared_ptr<prometheus::Registry> registry_;
};

}  // namespace mangonotch::metrics
