#include "workload.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <sstream>

#include "digest.h"

namespace mimosabend::testing {

namespace {

constexpr std::int64_t kEndpointMemoryMib = 80000;
constexpr std::int64_t kAdapterMemoryMib = 200;
constexpr std::int64_t kMaxTimeMs = 600000;

void ReadFleet(IniSection* section, Workload* workload) {
  workload->regions = section->List("regions");
  workload->daemons = static_cast<int>(section->Integer("daemons", 1, 12, 6));
  workload->engines_per_region = static_cast<int>(section->Integer("engines_per_region", 1, 12, 2));
  workload->loads_per_s = section->Number("loads_per_s", 0.1, 100, 2.0);
  workload->idle_weight = section->Number("idle_weight", 0, 1, 0.5);
  workload->models = static_cast<int>(section->Integer("models", 1, 1000, 40));
  workload->adapters = static_cast<int>(section->Integer("adapters", 0, 1000, 80));
  workload->model_mib = section->Integer("model_mib", 1, kEndpointMemoryMib, 8000);
}

void ReadArrivals(IniSection* section, Workload* workload) {
  workload->duration = milliseconds(section->Integer("duration_ms", 1000, kMaxTimeMs, 30000));
  workload->requests_per_s = section->Number("requests_per_s", 0, 1000, 0.0);
  workload->zipf_exponent = section->Number("zipf_exponent", 0, 4, 1.0);
  workload->adapter_share = section->Number("adapter_share", 0, 1, 0.3);
  workload->urgent_share = section->Number("urgent_share", 0, 1, 0.3);
  workload->background_share = section->Number("background_share", 0, 1, 0.2);
  workload->max_tokens = static_cast<int>(section->Integer("max_tokens", 1, 10000, 8));
  workload->timeout = milliseconds(section->Integer("timeout_ms", 1, kMaxTimeMs, 30000));
  workload->seed = static_cast<std::uint64_t>(section->Integer("seed", 0, 1000000000, 1));
}

Burst ReadBurst(IniSection* section) {
  Burst burst;
  burst.at = milliseconds(section->Integer("at_ms", 0, kMaxTimeMs));
  burst.first_model = static_cast<int>(section->Integer("first_model", 0, 1000, 0));
  burst.models = static_cast<int>(section->Integer("models", 1, 1000, 1));
  burst.requests_per_daemon = static_cast<int>(section->Integer("requests_per_daemon", 1, 100, 1));
  return burst;
}

Fault ReadFault(IniSection* section) {
  Fault fault;
  fault.at = milliseconds(section->Integer("at_ms", 0, kMaxTimeMs));
  fault.kind = section->Choice("kind", kFaultKindNames, FaultKind::kKill);
  fault.target = section->Text("target");
  fault.body = section->Text("body", "{}");
  return fault;
}

void ReadSection(IniSection* section, Workload* workload) {
  const std::string kind = section->name().substr(0, section->name().find(' '));
  if (kind == "fleet") {
    ReadFleet(section, workload);
  } else if (kind == "arrivals") {
    ReadArrivals(section, workload);
  } else if (kind == "burst") {
    workload->bursts.push_back(ReadBurst(section));
  } else if (kind == "fault") {
    workload->faults.push_back(ReadFault(section));
  } else {
    section->Report("", "unknown section", "use [fleet], [arrivals], [burst N] or [fault N]");
  }
  section->ReportUnknownKeys();
}

std::string ModelName(int index) { return "model-" + std::to_string(index); }
std::string AdapterName(int index) { return "adapter-" + std::to_string(index); }

std::vector<double> ZipfWeights(int count, double exponent) {
  std::vector<double> weights;
  weights.reserve(static_cast<std::size_t>(count));
  for (int i = 1; i <= count; ++i) weights.push_back(std::pow(i, -exponent));
  return weights;
}

void AddBurst(const Workload& workload, const Burst& burst, std::mt19937_64* random,
              std::vector<Arrival>* arrivals) {
  std::uniform_int_distribution<int> jitter_ms(0, 20);
  std::discrete_distribution<int> rank({workload.urgent_share,
                                        1 - workload.urgent_share - workload.background_share,
                                        workload.background_share});
  for (int model = burst.first_model; model < burst.first_model + burst.models; ++model) {
    for (int daemon = 0; daemon < workload.daemons; ++daemon) {
      for (int i = 0; i < burst.requests_per_daemon; ++i) {
        Arrival arrival;
        arrival.at = burst.at + milliseconds(jitter_ms(*random));
        arrival.model = ModelName(model % workload.models);
        arrival.rank = kAllRanks[static_cast<std::size_t>(rank(*random))];
        arrival.daemon = daemon;
        arrival.burst = true;
        arrivals->push_back(arrival);
      }
    }
  }
}

void AddOpenLoopArrivals(const Workload& workload, std::mt19937_64* random,
                         std::vector<Arrival>* arrivals) {
  if (workload.requests_per_s <= 0) return;
  const auto model_weights = ZipfWeights(workload.models, workload.zipf_exponent);
  const auto adapter_weights = ZipfWeights(std::max(1, workload.adapters), workload.zipf_exponent);
  std::discrete_distribution<int> model(model_weights.begin(), model_weights.end());
  std::discrete_distribution<int> adapter(adapter_weights.begin(), adapter_weights.end());
  std::exponential_distribution<double> interarrival_s(workload.requests_per_s);
  std::uniform_real_distribution<double> share(0, 1);
  std::uniform_int_distribution<int> daemon(0, workload.daemons - 1);
  double at_s = interarrival_s(*random);
  while (at_s * 1000 < static_cast<double>(workload.duration.count())) {
    Arrival arrival;
    arrival.at = milliseconds(static_cast<std::int64_t>(at_s * 1000));
    const bool is_adapter = workload.adapters > 0 && share(*random) < workload.adapter_share;
    arrival.model = is_adapter ? AdapterName(adapter(*random)) : ModelName(model(*random));
    const double draw = share(*random);
    arrival.rank = draw < workload.urgent_share ? Rank::kUrgent : Rank::kStandard;
    if (draw > 1 - workload.background_share) arrival.rank = Rank::kBackground;
    arrival.daemon = daemon(*random);
    arrivals->push_back(arrival);
    at_s += interarrival_s(*random);
  }
}

}  // namespace

Result<Workload, IniIssues> ParseWorkload(const std::string& file, std::string_view text) {
  auto entries = ParseIni(file, text);
  if (!entries) return outcome::failure(std::move(entries).error());
  IniIssues issues;
  Workload workload;
  for (IniSection& section : GroupSections(file, entries.value(), &issues)) {
    ReadSection(&section, &workload);
  }
  if (workload.regions.empty()) {
    issues.push_back({file, 0, "fleet", "regions", "no region is named", "add 'regions = NAME'"});
  }
  if (!issues.empty()) return outcome::failure(std::move(issues));
  return workload;
}

std::vector<Arrival> MakeArrivals(const Workload& workload) {
  std::mt19937_64 random(workload.seed);
  std::vector<Arrival> arrivals;
  for (const Burst& burst : workload.bursts) AddBurst(workload, burst, &random, &arrivals);
  AddOpenLoopArrivals(workload, &random, &arrivals);
  std::stable_sort(arrivals.begin(), arrivals.end(),
                   [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  return arrivals;
}

std::string WorkloadDocument(const Workload& workload) {
  std::ostringstream text;
  text << "[environment]\nname = test\nidle_weight = " << workload.idle_weight << "\nregions = ";
  for (std::size_t i = 0; i < workload.regions.size(); ++i) {
    text << (i == 0 ? "" : ", ") << workload.regions[i];
  }
  text << "\n[pool assistant]\nfencing = honoured\nendpoint_memory_mib = " << kEndpointMemoryMib
       << "\nbudget_mib = " << kEndpointMemoryMib * workload.engines_per_region << "\nslots = 8\n";
  for (int i = 0; i < workload.models; ++i) {
    text << "[model " << ModelName(i)
         << "]\npool = assistant\nversion = 1\nmemory_mib = " << workload.model_mib
         << "\nmax_replicas = 2\n";
  }
  for (int i = 0; i < workload.adapters; ++i) {
    text << "[adapter " << AdapterName(i) << "]\nmodel = " << ModelName(i % workload.models)
         << "\nversion = 1\nmemory_mib = " << kAdapterMemoryMib << "\n";
  }
  for (const Rank rank : kAllRanks) {
    const std::string name(kRankNames[rank]);
    text << "[caller " << name << "]\nkey_sha256 = " << Sha256Hex(name + "-key")
         << "\nrank = " << name << "\nmodels = *\n";
  }
  return text.str();
}

}  // namespace mimosabend::testing
