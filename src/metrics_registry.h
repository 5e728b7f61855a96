#ifndef MIMOSABEND_METRICS_REGISTRY_H_
#define MIMOSABEND_METRICS_REGISTRY_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
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

  // The name of a metric with the prefix.
  std::string NameOf(const std::string& name) const { return prefix_ + name; }
  // For metrics with labels.
  prometheus::Registry& registry() { return *registry_; }

  // The text exposition format of Prometheus.
  std::string Expose() const;

 private:
  std::string prefix_;
  std::shared_ptr<prometheus::Registry> registry_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_METRICS_REGISTRY_H_
