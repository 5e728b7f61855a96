// Measures how the cost of the control path and the request path grows with size, for
// docs/CAPACITY.md. Prints a CSV table with a row for each size, and a least-squares fit of each
// column against the first.
#include <gflags/gflags.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <thread>

#include "environment.h"
#include "fleet.h"
#include "json.h"
#include "supervisor.h"
#include "uuid7.h"

DEFINE_string(measure, "", "idle, adapters, groups, endpoints, models, requests, orders or outage");
DEFINE_string(sizes, "", "comma-separated sizes to measure; empty for the default sizes");
DEFINE_int32(window_s, 0,
             "length of the measured window in seconds; 0 for the measurement's default");
DEFINE_int32(tokens, 4, "tokens in each response of the requests measurement");

namespace mimosabend::testing {

namespace asio = boost::asio;

namespace {

// Members exchange their full view every 30 s; the window must contain one such exchange.
constexpr seconds kIdleWindow{33};
constexpr seconds kShortWindow{12};
constexpr seconds kSettleTime{4};
constexpr seconds kConvergeTimeout{30};
constexpr milliseconds kCallTimeout{10000};
constexpr int kSmallFleet = 3;
constexpr double kPercent = 100;
constexpr double kKib = 1024;

using Row = std::vector<std::pair<std::string, double>>;

// Prints rows as CSV as they are added, and least-squares fits of the columns.
class CsvTable {
 public:
  void Add(const Row& row) {
    if (rows_.empty()) Print(row, [](const auto& cell) { return cell.first; });
    Print(row, [](const auto& cell) {
      std::ostringstream text;
      text << cell.second;
      return text.str();
    });
    rows_.push_back(row);
  }

  // Prints a least-squares line for each column against the first one.
  void PrintFits() const {
    if (rows_.size() < 2) return;
    for (std::size_t column = 1; column < rows_.front().size(); ++column) {
      double sx = 0, sy = 0, sxx = 0, sxy = 0, syy = 0;
      const double n = static_cast<double>(rows_.size());
      for (const Row& row : rows_) {
        const double x = row[0].second;
        const double y = row[column].second;
        sx += x;
        sy += y;
        sxx += x * x;
        sxy += x * y;
        syy += y * y;
      }
      const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
      const double variance_product = (n * sxx - sx * sx) * (n * syy - sy * sy);
      const double r = variance_product > 0 ? (n * sxy - sx * sy) / std::sqrt(variance_product) : 0;
      std::cout << "# fit: " << rows_.front()[column].first << " = " << (sy - slope * sx) / n
                << " + " << slope << " * " << rows_.front()[0].first << ", r2 = " << r * r << "\n";
    }
  }

 private:
  template <class Format>
  static void Print(const Row& row, Format format) {
    for (std::size_t i = 0; i < row.size(); ++i) std::cout << (i == 0 ? "" : ",") << format(row[i]);
    std::cout << std::endl;
  }

  std::vector<Row> rows_;
};

// CPU time of a process so far, from the fields utime and stime of /proc/PID/stat.
double CpuSeconds(int pid) {
  constexpr int kFieldsBeforeUtime = 11;  // Counted after the name, which may contain spaces.
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUtime; ++i) fields >> skipped;
  double utime = 0;
  double stime = 0;
  fields >> utime >> stime;
  return (utime + stime) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ResidentMib(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmRSS:")) return std::stod(line.substr(6)) / kKib;
  }
  return 0;
}

// Counters summed over the running daemons of a fleet, and the calls counted by the key-value
// stand-in.
struct Totals {
  MonotonicTime time;
  double cpu_s = 0;
  double resident_mib = 0;
  double messages_sent = 0;
  double bytes_sent = 0;
  double bytes_received = 0;
  double record_writes = 0;
  double kv_attempts = 0;
  double kv_errors = 0;
  double kv_reads = 0;
  double kv_writes = 0;
  double kv_watches = 0;

  double kv_calls() const { return kv_reads + kv_writes + kv_watches; }
};

double MetricValue(const std::string& text, const std::string& name) {
  const std::size_t start = text.find("\nmimosabend_" + name + " ");
  return start == std::string::npos ? 0 : std::stod(text.substr(start + name.size() + 13));
}

Totals SampleTotals(Fleet* fleet, const std::set<int>& stopped = {}) {
  Totals totals;
  totals.time = MonotonicNow();
  for (int i = 0; i < fleet->options().daemons; ++i) {
    if (stopped.contains(i)) continue;
    totals.cpu_s += CpuSeconds(fleet->daemon(i).pid());
    totals.resident_mib += ResidentMib(fleet->daemon(i).pid());
    const std::string text = fleet->MetricsText(i);
    totals.messages_sent += MetricValue(text, "peer_messages_sent_total");
    totals.bytes_sent += MetricValue(text, "peer_bytes_sent_total");
    totals.bytes_received += MetricValue(text, "peer_bytes_received_total");
    totals.record_writes += MetricValue(text, "record_writes_total");
    totals.kv_attempts += MetricValue(text, "kv_calls_total");
    totals.kv_errors += MetricValue(text, "kv_errors_total");
  }
  HttpCall call;
  call.address = fleet->kv().address();
  call.target = "/stats";
  auto reply = fleet->Call(std::move(call));
  const auto stats = reply ? ParseJson(reply.value().body) : std::nullopt;
  if (!stats) throw std::runtime_error("the key-value stand-in returned no statistics");
  totals.kv_reads = static_cast<double>(IntegerMember(*stats, "reads").value_or(0));
  totals.kv_writes = static_cast<double>(IntegerMember(*stats, "writes").value_or(0));
  totals.kv_watches = static_cast<double>(IntegerMember(*stats, "watches").value_or(0));
  return totals;
}

double SecondsBetween(const Totals& a, const Totals& b) { return ToSeconds(b.time - a.time); }

seconds Window(seconds standard) { return FLAGS_window_s > 0 ? seconds(FLAGS_window_s) : standard; }

std::vector<int> Sizes(const std::vector<int>& standard) {
  if (FLAGS_sizes.empty()) return standard;
  std::vector<int> sizes;
  for (const std::string& size : SplitList(FLAGS_sizes)) sizes.push_back(std::stoi(size));
  return sizes;
}

// Adds the cost of the control path per daemon between two samples.
void AddControlCost(const Totals& a, const Totals& b, double daemons, Row* row) {
  const double time = SecondsBetween(a, b);
  row->emplace_back("cpu_percent_per_daemon", kPercent * (b.cpu_s - a.cpu_s) / time / daemons);
  row->emplace_back("resident_mib_per_daemon", b.resident_mib / daemons);
  row->emplace_back("messages_sent_per_daemon_s",
                    (b.messages_sent - a.messages_sent) / time / daemons);
  row->emplace_back("bytes_sent_per_daemon_s", (b.bytes_sent - a.bytes_sent) / time / daemons);
  row->emplace_back(
      "bytes_both_ways_per_daemon_s",
      (b.bytes_sent + b.bytes_received - a.bytes_sent - a.bytes_received) / time / daemons);
  row->emplace_back("kv_reads_s", (b.kv_reads - a.kv_reads) / time);
  row->emplace_back("kv_writes_s", (b.kv_writes - a.kv_writes) / time);
  row->emplace_back("kv_watches_s", (b.kv_watches - a.kv_watches) / time);
}

// Seconds until each running daemon counts `live` members; -1 on timeout.
double TimeUntilLive(Fleet* fleet, int live, const std::set<int>& stopped) {
  const MonotonicTime start = MonotonicNow();
  const bool seen = WaitFor(kConvergeTimeout, [&] {
    for (int i = 0; i < fleet->options().daemons; ++i) {
      if (!stopped.contains(i) && fleet->Metric(i, "mimosabend_live_members") != live) return false;
    }
    return true;
  });
  return seen ? ToSeconds(MonotonicNow() - start) : -1;
}

// Starts all daemons at once, lets them run idle and then kills one in fifteen, as if a failure
// domain of the planned fleet failed.
Row MeasureIdle(int daemons) {
  constexpr int kFailureDomains = 15;
  FleetOptions options;
  options.daemons = daemons;
  options.engines_per_region = 1;
  options.services_per_region = 0;
  Fleet fleet(options);
  fleet.StartDaemons();
  Row row{{"daemons", daemons}};
  const double converged = TimeUntilLive(&fleet, daemons, {});
  const Totals started = SampleTotals(&fleet);
  fleet.DeployDocument(TestDocument(options));
  std::this_thread::sleep_for(kSettleTime);
  const Totals before = SampleTotals(&fleet);
  std::this_thread::sleep_for(Window(kIdleWindow));
  const Totals after = SampleTotals(&fleet);
  AddControlCost(before, after, daemons, &row);
  row.emplace_back("start_converged_s", converged);
  row.emplace_back("start_bytes_sent_per_daemon", started.bytes_sent / daemons);
  row.emplace_back("start_cpu_s_per_daemon", started.cpu_s / daemons);
  row.emplace_back("start_kv_calls_per_daemon", started.kv_calls() / daemons);
  std::set<int> stopped;
  for (int i = 0; i < (daemons + kFailureDomains - 1) / kFailureDomains; ++i) {
    fleet.daemon(i).Signal(SIGKILL);
    stopped.insert(i);
  }
  const Totals before_detection = SampleTotals(&fleet, stopped);
  row.emplace_back("loss_detected_s",
                   TimeUntilLive(&fleet, daemons - static_cast<int>(stopped.size()), stopped));
  const Totals detected = SampleTotals(&fleet, stopped);
  row.emplace_back(
      "loss_bytes_sent_per_daemon",
      (detected.bytes_sent - before_detection.bytes_sent) / (daemons - stopped.size()));
  return row;
}

std::string AddAdapters(std::string document, int count) {
  for (int i = 0; i < count; ++i) {
    document += "[adapter adapter-" + std::to_string(i) +
                "]\nmodel = recipes\nversion = 1\nmemory_mib = 100\n";
  }
  return document;
}

// Measures a document with many adapters: its parsing, its memory and the distribution of one small
// change.
Row MeasureAdapters(int adapters) {
  constexpr int kDaemons = 6;
  FleetOptions options;
  options.daemons = kDaemons;
  options.regions = {"nordeste"};
  options.engines_per_region = 1;
  options.services_per_region = 0;
  std::string document = AddAdapters(TestDocument(options), adapters);
  Row row{{"adapters", adapters}};
  row.emplace_back("document_bytes", static_cast<double>(document.size()));
  const double parse_start = CpuSeconds(getpid());
  constexpr int kParses = 5;
  for (int i = 0; i < kParses; ++i) {
    if (!ParseEnvironment("document", document)) throw std::runtime_error("invalid document");
  }
  row.emplace_back("parse_cpu_ms", 1000 * (CpuSeconds(getpid()) - parse_start) / kParses);
  Fleet fleet(options);
  fleet.StartDaemons();
  if (TimeUntilLive(&fleet, kDaemons, {}) < 0)
    throw std::runtime_error("membership did not converge");
  const Totals before_document = SampleTotals(&fleet);
  fleet.DeployDocument(document);
  std::this_thread::sleep_for(kSettleTime);
  row.emplace_back("resident_mib_per_daemon", SampleTotals(&fleet).resident_mib / kDaemons);
  row.emplace_back("first_kv_calls", SampleTotals(&fleet).kv_calls() - before_document.kv_calls());
  const std::string last = "[adapter adapter-" + std::to_string(adapters / 2) + "]\n";
  document.replace(document.find(last) + last.size(), 0, "; changed\n");
  const std::string path = (fleet.directory() / "changed.ini").string();
  std::ofstream(path) << document;
  if (fleet.RunOperatorCommand({"trial", path}).exit_code != 0)
    throw std::runtime_error("trial failed");
  const Totals before = SampleTotals(&fleet);
  const MonotonicTime start = MonotonicNow();
  if (fleet.RunOperatorCommand({"promote"}).exit_code != 0)
    throw std::runtime_error("promote failed");
  row.emplace_back("change_in_force_s", ToSeconds(MonotonicNow() - start));
  const Totals after = SampleTotals(&fleet);
  row.emplace_back("change_peer_bytes_sent_per_daemon",
                   (after.bytes_sent - before.bytes_sent) / kDaemons);
  row.emplace_back("change_kv_reads", after.kv_reads - before.kv_reads);
  row.emplace_back("change_kv_writes", after.kv_writes - before.kv_writes);
  row.emplace_back("change_kv_watches", after.kv_watches - before.kv_watches);
  row.emplace_back("change_cpu_ms_per_daemon", 1000 * (after.cpu_s - before.cpu_s) / kDaemons);
  return row;
}

// Measures a small fleet in one region with the given numbers of placement groups and endpoints.
Row MeasurePlacement(const std::string& name, int size, int groups, int endpoints) {
  FleetOptions options;
  options.daemons = kSmallFleet;
  options.regions = {"nordeste"};
  options.engines_per_region = endpoints;
  options.services_per_region = 0;
  Fleet fleet(options);
  fleet.StartDaemons();
  std::string document = TestDocument(options);
  const std::string pool = "[pool assistant]\n";
  document.insert(document.find(pool) + pool.size(), "groups = " + std::to_string(groups) + "\n");
  fleet.DeployDocument(document);
  std::this_thread::sleep_for(2 * kSettleTime);
  const Totals before = SampleTotals(&fleet);
  std::this_thread::sleep_for(Window(kShortWindow));
  const Totals after = SampleTotals(&fleet);
  Row row{{name, size}};
  row.emplace_back("cpu_percent_all_daemons",
                   kPercent * (after.cpu_s - before.cpu_s) / SecondsBetween(before, after));
  AddControlCost(before, after, kSmallFleet, &row);
  return row;
}

Row MeasureGroups(int groups) { return MeasurePlacement("groups", groups, groups, 8); }
Row MeasureEndpoints(int endpoints) {
  return MeasurePlacement("endpoints", endpoints, 1, endpoints);
}

struct LoadResult {
  int sent = 0;
  int answered = 0;
};

// Sends calls at a constant rate (open loop) for `time`, then waits for all responses.
template <class MakeCall>
LoadResult SendAtRate(double rate, seconds time, MakeCall make_call) {
  asio::io_context io(1);
  HttpClient client(io.get_executor());
  LoadResult result;
  const auto send_one = [&](int index) -> Task<void> {
    HttpCall call = make_call(index);
    call.deadline = MonotonicNow() + kCallTimeout;
    auto reply = co_await client.Call(std::move(call));
    if (reply && reply.value().status < 300) ++result.answered;
  };
  const auto send_all = [&]() -> Task<void> {
    const MonotonicTime start = MonotonicNow();
    const auto period = std::chrono::duration<double>(1 / rate);
    while (MonotonicNow() - start < time) {
      asio::co_spawn(io, send_one(result.sent++), asio::detached);
      const auto next = std::chrono::duration_cast<std::chrono::nanoseconds>(period * result.sent);
      co_await Sleep(start + next - MonotonicNow());
    }
  };
  asio::co_spawn(io, send_all(), asio::detached);
  io.run();
  return result;
}

FleetOptions FastEngines() {
  FleetOptions options;
  options.daemons = kSmallFleet;
  options.regions = {"nordeste"};
  options.engines_per_region = 2;
  options.engine_flags = {"--slots=256", "--token_ms=2", "--prefill_ms=2"};
  return options;
}

std::string DocumentWithManySlots(const FleetOptions& options) {
  std::string document = TestDocument(options);
  document.replace(document.find("slots = 8"), 9, "slots = 256");
  return document;
}

// Measures short streamed completions of a loaded model, spread over the daemons.
Row MeasureRequests(int rate) {
  Fleet fleet(FastEngines());
  fleet.StartDaemons();
  fleet.DeployDocument(DocumentWithManySlots(fleet.options()));
  const auto make_call = [&](int index) {
    return PostAs("urgent-key", fleet.caller_address(index % kSmallFleet), "/v1/completions",
                  CompletionBody("recipes", "beans and rice", FLAGS_tokens, true));
  };
  SendAtRate(20, seconds(3), make_call);
  const Totals before = SampleTotals(&fleet);
  const LoadResult load = SendAtRate(rate, Window(seconds(8)), make_call);
  const Totals after = SampleTotals(&fleet);
  Row row{{"requests_per_s", rate}};
  row.emplace_back("tokens_per_answer", FLAGS_tokens);
  row.emplace_back("sent", load.sent);
  row.emplace_back("answered", load.answered);
  const double cpu = after.cpu_s - before.cpu_s;
  row.emplace_back("cpu_percent_all_daemons", kPercent * cpu / SecondsBetween(before, after));
  row.emplace_back("cpu_us_per_request", 1e6 * cpu / load.sent);
  row.emplace_back("resident_mib_per_daemon", after.resident_mib / kSmallFleet);
  return row;
}

// Measures models that each get one request per two seconds through each daemon.
Row MeasureModels(int models) {
  FleetOptions options = FastEngines();
  Fleet fleet(options);
  fleet.StartDaemons();
  std::string document = DocumentWithManySlots(options);
  for (int i = 0; i < models; ++i) {
    document += "[model used-" + std::to_string(i) +
                "]\npool = assistant\nversion = 1\nmemory_mib = 100\nmax_replicas = 1\n";
  }
  fleet.DeployDocument(document);
  const auto make_call = [&](int index) {
    const std::string model = "used-" + std::to_string(index / kSmallFleet % models);
    return PostAs("urgent-key", fleet.caller_address(index % kSmallFleet), "/v1/completions",
                  CompletionBody(model, "beans and rice", 1, true));
  };
  const double rate = kSmallFleet * models / 2.0;
  SendAtRate(rate, 2 * kSettleTime, make_call);
  const Totals before = SampleTotals(&fleet);
  const LoadResult load = SendAtRate(rate, Window(kShortWindow), make_call);
  const Totals after = SampleTotals(&fleet);
  Row row{{"models_in_use", models}};
  row.emplace_back("sent", load.sent);
  row.emplace_back("answered", load.answered);
  AddControlCost(before, after, kSmallFleet, &row);
  return row;
}

// Measures orders that are not idempotent, each with its own idempotency key.
Row MeasureOrders(int rate) {
  FleetOptions options;
  options.daemons = kSmallFleet;
  options.engines_per_region = 0;
  Fleet fleet(options);
  fleet.StartDaemons();
  fleet.DeployDocument(TestDocument(options));
  const auto make_call = [&](int index) {
    HttpCall call = PostAs("standard-key", fleet.caller_address(index % kSmallFleet),
                           "/services/orders/reflectors", R"({"item":"reflector","count":2})");
    call.headers.emplace_back("Idempotency-Key", MakeUuid7(WallNow()));
    return call;
  };
  SendAtRate(5, seconds(2), make_call);
  const Totals before = SampleTotals(&fleet);
  const LoadResult load = SendAtRate(rate, Window(kShortWindow), make_call);
  const Totals after = SampleTotals(&fleet);
  Row row{{"orders_per_s", rate}};
  row.emplace_back("sent", load.sent);
  row.emplace_back("answered", load.answered);
  const double orders = load.sent;
  row.emplace_back("record_writes_per_order",
                   (after.record_writes - before.record_writes) / orders);
  row.emplace_back("kv_reads_per_order", (after.kv_reads - before.kv_reads) / orders);
  row.emplace_back("kv_writes_per_order", (after.kv_writes - before.kv_writes) / orders);
  row.emplace_back("cpu_ms_per_order", 1000 * (after.cpu_s - before.cpu_s) / orders);
  return row;
}

// Measures the load on a key-value service that is down, and after it recovers.
Row MeasureOutage(int daemons) {
  FleetOptions options;
  options.daemons = daemons;
  options.engines_per_region = 1;
  options.services_per_region = 0;
  Fleet fleet(options);
  fleet.StartDaemons();
  fleet.DeployDocument(TestDocument(options));
  std::this_thread::sleep_for(kSettleTime);
  fleet.SetFault(fleet.kv(), R"({"down":true})");
  std::this_thread::sleep_for(2 * kSettleTime);
  const Totals before = SampleTotals(&fleet);
  std::this_thread::sleep_for(Window(kShortWindow));
  const Totals after = SampleTotals(&fleet);
  fleet.SetFault(fleet.kv(), "{}");
  std::this_thread::sleep_for(2 * kSettleTime);
  const Totals recovered = SampleTotals(&fleet);
  Row row{{"daemons", daemons}};
  const double time = SecondsBetween(before, after) * daemons;
  row.emplace_back("cpu_percent_per_daemon", kPercent * (after.cpu_s - before.cpu_s) / time);
  row.emplace_back("kv_attempts_per_daemon_s", (after.kv_attempts - before.kv_attempts) / time);
  row.emplace_back("kv_errors_per_daemon_s", (after.kv_errors - before.kv_errors) / time);
  row.emplace_back("kv_calls_in_8s_of_recovery_per_daemon",
                   (recovered.kv_calls() - after.kv_calls()) / daemons);
  return row;
}

struct Measurement {
  Row (*run)(int size);
  std::vector<int> sizes;
};

const std::map<std::string, Measurement>& Measurements() {
  static const std::map<std::string, Measurement> measurements{
      {"idle", {MeasureIdle, {3, 6, 12, 24, 48}}},
      {"adapters", {MeasureAdapters, {100, 1000, 5000, 11000, 22000}}},
      {"groups", {MeasureGroups, {1, 2, 4, 8, 16, 32}}},
      {"endpoints", {MeasureEndpoints, {1, 2, 4, 8, 16}}},
      {"models", {MeasureModels, {1, 4, 8, 16, 32}}},
      {"requests", {MeasureRequests, {50, 100, 200, 400}}},
      {"orders", {MeasureOrders, {5, 10, 20, 40, 80}}},
      {"outage", {MeasureOutage, {3, 6, 12, 24}}},
  };
  return measurements;
}

int Run() {
  const auto it = Measurements().find(FLAGS_measure);
  if (it == Measurements().end()) {
    std::cerr << "capacity: unknown --measure=" << FLAGS_measure << "\n";
    return 2;
  }
  CsvTable table;
  for (int size : Sizes(it->second.sizes)) table.Add(it->second.run(size));
  table.PrintFits();
  return 0;
}

}  // namespace

}  // namespace mimosabend::testing

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    return mimosabend::testing::Run();
  } catch (const std::exception& error) {
    std::cerr << "capacity: " << error.what() << "\n";
    return 1;
  }
}
