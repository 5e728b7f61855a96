#include "metrics_registry.h"

#include <prometheus/text_serializer.h>

namespace mimosabend {

MetricsRegistry::MetricsRegistry(std::string prefix)
    : prefix_(std::move(prefix)), registry_(std::make_shared<prometheus::Registry>()) {}

prometheus::Counter* MetricsRegistry::AddCounter(const std::string& name, const std::string& help) {
  return &prometheus::BuildCounter().Name(NameOf(name)).Help(help).Register(*registry_).Add({});
}

prometheus::Gauge* MetricsRegistry::AddGauge(const std::string& name, const std::string& help) {
  return &prometheus::BuildGauge().Name(NameOf(name)).Help(help).Register(*registry_).Add({});
}

std::string MetricsRegistry::Expose() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace mimosabend
