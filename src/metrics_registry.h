#ifndef MIMOSABEND_METRICS_REGISTRY_H_
#define MIMOSABEND_METRICS_REGISTRY_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace mimosabend {

// Prometheus registry that adds a common prefix to the names of its metrics. Thread-safe.
class MetricsRegistry {
 public:
  explicit MetricsRegistry(std::string prefix);

  // Adds a metric without labels. The pointer is valid as long as this object.
  prometheus::Counter* AddCounter(const std::string& name, const std::string& help);
  prometheus::Gauge* AddGauge(const std::string& name, const std::string& help);

  // Adds a family of metrics with one name and different labels. The reference is valid as long as
  // this object.
  prometheus::Family<prometheus::Counter>& CounterFamily(const std::string& name,
                                                         const std::string& help);
  prometheus::Family<prometheus::Gauge>& GaugeFamily(const std::string& name,
                                                     const std::string& help);
  prometheus::Family<prometheus::Histogram>& HistogramFamily(const std::string& name,
                                                             const std::string& help);

  // Returns all metrics in the Prometheus text exposition format.
  std::string Expose() const;

 private:
  std::string prefix_;
  std::shared_ptr<prometheus::Registry> registry_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_METRICS_REGISTRY_H_
