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

// A registry whose metrics have a common prefix. Thread-safe.
class MetricsRegistry {
 public:
  explicit MetricsRegistry(std::string prefix);

  // A metric without labels. It lives as long as this object.
  prometheus::Counter* AddCounter(const std::string& name, const std::string& help);
  prometheus::Gauge* AddGauge(const std::string& name, const std::string& help);

  // Metrics of one name that differ in their labels. Lives as long as this object.
  prometheus::Family<prometheus::Counter>& CounterFamily(const std::string& name,
                                                         const std::string& help);
  prometheus::Family<prometheus::Histogram>& HistogramFamily(const std::string& name,
                                                             const std::string& help);

  // The text exposition format of Prometheus.
  std::string Expose() const;

 private:
  std::string prefix_;
  std::shared_ptr<prometheus::Registry> registry_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_METRICS_REGISTRY_H_
