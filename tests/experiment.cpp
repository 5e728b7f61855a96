// Runs a workload file against a fleet of daemons and platform stand-ins on the loopback address,
// prints a summary, and optionally writes one CSV row per request and one per run.
#include <gflags/gflags.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cmath>
#include <csignal>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

#include "fleet.h"
#include "http_client.h"
#include "json.h"
#include "supervisor.h"
#include "workload.h"

DEFINE_string(workload, "", "workload file");
DEFINE_string(csv, "", "CSV file to write, with one row per request");
DEFINE_string(summary, "", "CSV file to which one row for the whole run is appended");
DEFINE_string(label, "", "name of the run in the summary; default: 'owners' or 'baseline'");
DEFINE_bool(baseline, false,
            "make each daemon a region of its own that loads models independently");
DEFINE_int64(seed, -1, "overrides the seed of the workload if not negative");
DEFINE_double(idle_weight, -1, "overrides the idle weight of the workload if not negative");

namespace mimosabend::testing {

namespace asio = boost::asio;

namespace {

constexpr milliseconds kSamplePeriod{250};
constexpr milliseconds kControlTimeout{1000};
constexpr milliseconds kStartTimeout{20000};
// Time for owners to poll their endpoints once before requests arrive.
constexpr milliseconds kSettleTime{1500};
constexpr double kEndpointMemoryMib = 80000;

// The outcome of one request as measured by the client. Times are -1 if there is no value.
struct RequestResult {
  Arrival arrival;
  // "cold" or "warm", from the response header X-Mimosabend-Start.
  std::string start;
  // HTTP status; 0 without a response.
  int status = 0;
  // Whether the final event of the stream arrived.
  bool complete = false;
  double first_token_ms = -1;
  double gap_p95_ms = -1;
  double total_ms = 0;
};

// The nearest value at the quantile `share`; -1 without values.
double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return -1;
  std::sort(values.begin(), values.end());
  const auto index = std::lround(share * static_cast<double>(values.size() - 1));
  return values[index];
}

double ToMilliseconds(std::chrono::steady_clock::duration duration) {
  return 1000 * ToSeconds(duration);
}

// Sends the requests of a workload, injects its faults and samples the engines.
class Experiment {
 public:
  Experiment(Fleet* fleet, Workload workload)
      : fleet_(fleet), workload_(std::move(workload)), client_(io_.get_executor()) {}

  // Returns when all requests have ended and the duration of the workload is over.
  void Run() {
    const std::vector<Arrival> arrivals = MakeArrivals(workload_);
    results_.resize(arrivals.size());
    unfinished_ = arrivals.size();
    start_ = MonotonicNow();
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
      results_[i].arrival = arrivals[i];
      asio::co_spawn(io_, SendRequest(&results_[i]), asio::detached);
    }
    for (const Fault& fault : workload_.faults) {
      asio::co_spawn(io_, Inject(fault), asio::detached);
    }
    asio::co_spawn(io_, SampleEngines(), asio::detached);
    io_.run();
  }

  void WriteCsv(const std::string& path) const {
    std::ofstream file(path);
    file << "time_ms,model,rank,daemon,burst,start,status,complete,first_token_ms,gap_p95_ms,"
            "total_ms\n"
         << std::fixed << std::setprecision(1);
    for (const RequestResult& result : results_) {
      file << result.arrival.at.count() << "," << result.arrival.model << ","
           << kRankNames[result.arrival.rank] << "," << result.arrival.daemon << ","
           << result.arrival.burst << "," << result.start << "," << result.status << ","
           << result.complete << "," << result.first_token_ms << "," << result.gap_p95_ms << ","
           << result.total_ms << "\n";
    }
  }

  void Print() const {
    std::cout << std::fixed << std::setprecision(1);
    for (const Rank rank : kAllRanks) {
      for (const char* start : {"cold", "warm"}) {
        const auto times = TimesToFirstToken(
            [&](const RequestResult& r) { return r.arrival.rank == rank && r.start == start; });
        if (times.empty()) continue;
        std::cout << kRankNames[rank] << " " << start << ": " << times.size()
                  << " answered, first token median " << Percentile(times, 0.5) << " p95 "
                  << Percentile(times, 0.95) << " p99 " << Percentile(times, 0.99) << " ms\n";
      }
    }
    std::cout << "requests " << results_.size() << ", complete " << CompleteCount()
              << "; loads started " << LoadsStartedCount() << ", decided " << LoadsDecidedCount()
              << "; accelerator hours " << std::setprecision(5) << accelerator_hours_ << "\n";
  }

  void AppendSummary(const std::string& path, const std::string& label) const {
    const bool exists = std::ifstream(path).good();
    std::ofstream file(path, std::ios::app);
    if (!exists) {
      file << "label,seed,idle_weight,requests,complete,cold,cold_p50_ms,cold_p99_ms,all_p99_ms,"
              "urgent_cold_p99_ms,loads_started,loads_decided,accelerator_hours\n";
    }
    const auto cold = TimesToFirstToken([](const RequestResult& r) { return r.start == "cold"; });
    const auto urgent = TimesToFirstToken([](const RequestResult& r) {
      return r.start == "cold" && r.arrival.rank == Rank::kUrgent;
    });
    const auto all = TimesToFirstToken([](const RequestResult&) { return true; });
    file << std::fixed << std::setprecision(1) << label << "," << workload_.seed << ","
         << workload_.idle_weight << "," << results_.size() << "," << CompleteCount() << ","
         << cold.size() << "," << Percentile(cold, 0.5) << "," << Percentile(cold, 0.99) << ","
         << Percentile(all, 0.99) << "," << Percentile(urgent, 0.99) << "," << LoadsStartedCount()
         << "," << LoadsDecidedCount() << "," << std::setprecision(5) << accelerator_hours_ << "\n";
  }

 private:
  // Number of loads that an engine has started. The engine's count starts at 0 with each
  // incarnation.
  struct EngineLoads {
    std::string incarnation;
    // Loads of former incarnations.
    std::int64_t loads_before = 0;
    std::int64_t loads = 0;
  };

  Task<void> SendRequest(RequestResult* result) {
    co_await Sleep(start_ + result->arrival.at - MonotonicNow());
    const MonotonicTime sent = MonotonicNow();
    const std::string key = std::string(kRankNames[result->arrival.rank]) + "-key";
    HttpCall call = PostAs(
        key, fleet_->caller_address(result->arrival.daemon), "/v1/completions",
        CompletionBody(result->arrival.model, result->arrival.model, workload_.max_tokens, true));
    call.headers.emplace_back("X-Mimosabend-Timeout-Ms", std::to_string(workload_.timeout.count()));
    call.deadline = sent + workload_.timeout + seconds(1);
    const MonotonicTime deadline = call.deadline;
    auto stream = co_await client_.Open(std::move(call));
    if (stream) {
      result->status = stream.value()->status();
      result->start = std::string(stream.value()->header("X-Mimosabend-Start"));
      co_await ReadTokens(stream.value().get(), sent, deadline, result);
    }
    result->total_ms = ToMilliseconds(MonotonicNow() - sent);
    --unfinished_;
  }

  static Task<void> ReadTokens(HttpStream* stream, MonotonicTime sent, MonotonicTime deadline,
                               RequestResult* result) {
    std::vector<double> gaps;
    MonotonicTime last = sent;
    std::string tail;
    for (;;) {
      auto bytes = co_await stream->Read(deadline);
      if (!bytes || bytes.value().empty()) break;
      const MonotonicTime now = MonotonicNow();
      if (result->status == 200) {
        if (result->first_token_ms < 0) {
          result->first_token_ms = ToMilliseconds(now - sent);
        } else {
          gaps.push_back(ToMilliseconds(now - last));
        }
      }
      last = now;
      tail += bytes.value();
      if (tail.size() > 64) tail.erase(0, tail.size() - 64);
    }
    result->complete = tail.ends_with("data: [DONE]\n\n");
    result->gap_p95_ms = Percentile(gaps, 0.95);
  }

  Process* FindTarget(const std::string& name) {
    if (name == "kv") return &fleet_->kv();
    if (name == "weight_store") return &fleet_->weight_store();
    if (name.starts_with("daemon-")) return &fleet_->daemon(std::stoi(name.substr(7)));
    return fleet_->endpoints().at(name).get();
  }

  Task<void> Inject(Fault fault) {
    co_await Sleep(start_ + fault.at - MonotonicNow());
    Process* target = FindTarget(fault.target);
    if (fault.kind == FaultKind::kKill) target->Signal(SIGKILL);
    if (fault.kind == FaultKind::kPause) target->Signal(SIGSTOP);
    if (fault.kind == FaultKind::kResume) target->Signal(SIGCONT);
    if (fault.kind != FaultKind::kSet) co_return;
    HttpCall call;
    call.address = target->address();
    call.method = "PUT";
    call.target = "/fault";
    call.body = fault.body;
    call.deadline = MonotonicNow() + kControlTimeout;
    auto ignored = co_await client_.Call(std::move(call));
    static_cast<void>(ignored);
  }

  // Integrates the memory in use by all engines over time and keeps their load counts up to date.
  Task<void> SampleEngines() {
    MonotonicTime last = MonotonicNow();
    for (;;) {
      double used = 0;
      for (const auto& [id, process] : fleet_->endpoints()) {
        if (!id.starts_with("engine-")) continue;
        HttpCall call;
        call.address = process->address();
        call.target = "/control/state";
        call.deadline = MonotonicNow() + kControlTimeout;
        auto reply = co_await client_.Call(std::move(call));
        const auto state = reply ? ParseJson(reply.value().body) : std::nullopt;
        if (!state) continue;
        used += static_cast<double>(IntegerMember(*state, "memory_used_mib").value_or(0));
        UpdateLoads(&engines_[id], StringMember(*state, "incarnation"),
                    IntegerMember(*state, "loads_started").value_or(0));
      }
      const MonotonicTime now = MonotonicNow();
      accelerator_hours_ += used / kEndpointMemoryMib * ToSeconds(now - last) / 3600;
      last = now;
      if (unfinished_ == 0 && now - start_ >= workload_.duration) co_return;
      co_await Sleep(kSamplePeriod);
    }
  }

  static void UpdateLoads(EngineLoads* engine, const std::string& incarnation, std::int64_t loads) {
    if (engine->incarnation != incarnation) {
      engine->loads_before += engine->loads;
      engine->incarnation = incarnation;
    }
    engine->loads = loads;
  }

  // Times to the first token in milliseconds of the requests that match `condition`.
  template <class Condition>
  std::vector<double> TimesToFirstToken(Condition condition) const {
    std::vector<double> times;
    for (const RequestResult& result : results_) {
      if (result.first_token_ms >= 0 && condition(result)) times.push_back(result.first_token_ms);
    }
    return times;
  }

  std::size_t CompleteCount() const {
    return static_cast<std::size_t>(
        std::count_if(results_.begin(), results_.end(), [](const auto& r) { return r.complete; }));
  }

  std::int64_t LoadsStartedCount() const {
    std::int64_t sum = 0;
    for (const auto& [id, engine] : engines_) sum += engine.loads_before + engine.loads;
    return sum;
  }

  // Daemons that were killed and not restarted are missing from the sum.
  std::int64_t LoadsDecidedCount() const {
    double sum = 0;
    for (int i = 0; i < workload_.daemons; ++i) {
      sum += fleet_->Metric(i, "mimosabend_load_decisions_total");
    }
    return static_cast<std::int64_t>(sum);
  }

  asio::io_context io_{1};
  Fleet* fleet_;
  Workload workload_;
  HttpClient client_;
  std::vector<RequestResult> results_;
  std::map<std::string, EngineLoads> engines_;
  // Requests that have not ended, including those not sent yet.
  std::size_t unfinished_ = 0;
  MonotonicTime start_;
  double accelerator_hours_ = 0;
};

// Makes each daemon a region with an equal share of the engines. Daemons then share no replicas, so
// that each loads the models that its own callers request.
void ConvertToBaseline(Workload* workload) {
  const int engines = workload->engines_per_region * static_cast<int>(workload->regions.size());
  workload->regions.clear();
  for (int i = 0; i < workload->daemons; ++i) {
    workload->regions.push_back("daemon" + std::to_string(i));
  }
  workload->engines_per_region = std::max(1, engines / workload->daemons);
}

int RunExperiment() {
  std::ifstream file(FLAGS_workload);
  std::ostringstream text;
  text << file.rdbuf();
  auto parsed = ParseWorkload(FLAGS_workload, text.str());
  if (!parsed) {
    for (const IniIssue& issue : parsed.error()) std::cerr << issue.Format() << "\n";
    return 2;
  }
  Workload workload = std::move(parsed).value();
  if (FLAGS_seed >= 0) workload.seed = static_cast<std::uint64_t>(FLAGS_seed);
  if (FLAGS_idle_weight >= 0) workload.idle_weight = FLAGS_idle_weight;
  if (FLAGS_baseline) ConvertToBaseline(&workload);
  FleetOptions options;
  options.daemons = workload.daemons;
  options.regions = workload.regions;
  options.engines_per_region = workload.engines_per_region;
  options.services_per_region = 0;
  options.weight_store_flags = {"--loads_per_s=" + std::to_string(workload.loads_per_s)};
  if (FLAGS_baseline) options.daemon_settings = "[policy]\ncoordinate_cold_starts = false\n";
  Fleet fleet(options);
  fleet.StartDaemons();
  fleet.DeployDocument(WorkloadDocument(workload));
  const bool all_owned = WaitFor(kStartTimeout, [&] {
    double groups = 0;
    for (int i = 0; i < workload.daemons; ++i) groups += fleet.Metric(i, "mimosabend_owned_groups");
    return groups >= static_cast<double>(workload.regions.size());
  });
  if (!all_owned) {
    std::cerr << "experiment: not all groups have an owner\n";
    return 1;
  }
  std::this_thread::sleep_for(kSettleTime);
  Experiment experiment(&fleet, workload);
  experiment.Run();
  experiment.Print();
  if (!FLAGS_csv.empty()) experiment.WriteCsv(FLAGS_csv);
  const std::string label = FLAGS_baseline ? "baseline" : "owners";
  if (!FLAGS_summary.empty()) {
    experiment.AppendSummary(FLAGS_summary, FLAGS_label.empty() ? label : FLAGS_label);
  }
  return 0;
}

}  // namespace

}  // namespace mimosabend::testing

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return mimosabend::testing::RunExperiment();
}
