#include "metrics_registry.h"

#include <prometheus/text_serializer.h>

namespace mimosabend {

MetricsRegistry::MetricsRegistry(std::string prefix)
    : prefix_(std::move(prefix)), registry_(std::make_shared<prometheus::Registry>()) {}

prometheus::Counter* MetricsRegistry::AddCounter(const std::string& name, const std::string& help) {
  return &CounterFamily(name, help).Add({});
}

prometheus::Gauge* MetricsRegistry::AddGauge(const std::string& name, const std::string& help) {
  return &prometheus::BuildGauge().Name(prefix_ + name).Help(help).Register(*registry_).Add({});
}

prometheus::Family<prometheus::Counter>& MetricsRegistry::CounterFamily(const std::string& name,
                                                                        const std::string& help) {
  return prometheus::BuildCounter().Name(prefix_ + name).Help(help).Register(*registry_);
}

prometheus::Family<prometheus::Gauge>& MetricsRegistry::GaugeFamily(const std::string& name,
                                                                    const std::string& help) {
  return prometheus::BuildGauge().Name(prefix_ + name).Help(help).Register(*registry_);
}

prometheus::Family<prometheus::Histogram>& MetricsRegistry::HistogramFamily(
    const std::string& name, const std::string& help) {
  return prometheus::BuildHistogram().Name(prefix_ + name).Help(help).Register(*registry_);
}

std::string MetricsRegistry::Expose() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace mimosabend
