#include "bench.h"

#include <malloc.h>

#include <cassert>
#include <functional>
#include <iomanip>
#include <memory>
#include <random>
#include <sstream>

#include "digest.h"
#include "endpoint_selector.h"
#include "idle_policy.h"
#include "membership.h"
#include "peer_message.h"
#include "placement.h"
#include "request_record.h"
#include "router.h"
#include "wait_policy.h"

namespace mimosabend {

namespace {

// Arguments of ReserveForLateOrders.
constexpr milliseconds kLoadTimeout{60000};
constexpr milliseconds kHold{60000};
constexpr std::uint64_t kSeed = 20240607;
constexpr int kModels = 40;
constexpr int kAdapters = 80;
constexpr int kEndpoints = 8;
constexpr std::int64_t kEndpointMib = 80000;
constexpr std::int64_t kModelMib = 16000;
constexpr std::int64_t kAdapterMib = 200;
constexpr milliseconds kPlanStep{500};
constexpr std::int64_t kLoadTimeMs = 2000;
constexpr int kPlanSteps = 400;
constexpr int kMembers = 340;
constexpr int kGroups = 125;
constexpr int kReplicas = 12;
constexpr int kChoices = 4000;
constexpr int kEnvelopes = 1000;
constexpr int kReservations = 1500;
// The design scale.
constexpr int kWaitEndpoints = 1000;
constexpr int kWaitModels = 200;
constexpr int kWaitingRequests = 500;
constexpr int kWaitSteps = 4;
constexpr int kSizeSampleItems = 1000;
// Any fixed start but zero, which would hide errors with unset times.
constexpr std::int64_t kStartMs = 1700000000000;

// Random numbers that are the same with every standard library, unlike the standard distributions.
class RandomNumbers {
 public:
  explicit RandomNumbers(std::uint64_t seed) : random_(seed) {}
  std::uint64_t Below(std::uint64_t bound) { return random_() % bound; }
  bool Chance(std::uint64_t percent) { return Below(100) < percent; }

 private:
  std::mt19937_64 random_;
};

// Running hash of decisions.
class Signature {
 public:
  void Add(std::string_view bytes) { hash_ = Hash64(bytes, hash_); }
  void Add(std::int64_t number) { Add(std::to_string(number)); }
  std::uint64_t value() const { return hash_; }

 private:
  std::uint64_t hash_ = 0;
};

Now TimeAt(std::int64_t ms) {
  return {MonotonicTime(milliseconds(kStartMs + ms)), WallTime(milliseconds(kStartMs + ms))};
}

std::string ModelName(int index) { return "model-" + std::to_string(index); }
std::string AdapterName(int index) { return "adapter-" + std::to_string(index); }

Environment MakeEnvironment() {
  Environment environment;
  environment.name = "bench";
  environment.regions = {"north", "south"};
  // Gives an idle timeout short enough that replicas go idle within the simulated time.
  environment.idle_weight = 0.8;
  Pool pool;
  pool.name = "pool";
  pool.fencing = Fencing::kHonoured;
  pool.endpoint_memory_mib = kEndpointMib;
  pool.budget_mib = kEndpointMib * kEndpoints;
  environment.pools[pool.name] = pool;
  for (int i = 0; i < kModels; ++i) {
    Model model{ModelName(i), "", pool.name, "1", kModelMib, 0, 2};
    if (i == 0) model.min_replicas = 1;
    environment.models[model.name] = model;
  }
  for (int i = 0; i < kAdapters; ++i) {
    Model adapter{AdapterName(i), ModelName(i % kModels), pool.name, "1", kAdapterMib, 0, 1};
    environment.models[adapter.name] = adapter;
  }
  return environment;
}

EndpointViews MakeViews() {
  EndpointViews views;
  for (int i = 0; i < kEndpoints; ++i) {
    EndpointView view;
    view.host.id = "engine-" + std::to_string(i);
    view.host.serves = "pool";
    view.host.region = "north";
    view.reachable = true;
    view.fence_raised = true;
    view.state.incarnation = "1";
    view.state.memory_total_mib = kEndpointMib;
    view.state.slots = 8;
    views[view.host.id] = view;
  }
  return views;
}

// Updates the engines' reports as if they had executed all orders: a load takes kLoadTimeMs, an
// unload no time.
void ApplyOrders(const PlacementRecord& record, std::int64_t now_ms, EndpointViews* views) {
  for (auto& [id, view] : *views) {
    view.state.replicas.clear();
    view.state.memory_used_mib = 0;
    view.state.fence = record.fence;
    for (const PlacedReplica& replica : record.replicas) {
      if (replica.endpoint != id || replica.state == ReplicaState::kUnloading) continue;
      const bool loaded = kStartMs + now_ms - replica.decided_at_ms >= kLoadTimeMs;
      view.state.replicas.push_back({replica.model, replica.version,
                                     loaded ? ReplicaState::kReady : ReplicaState::kLoading,
                                     replica.memory_mib});
      if (loaded) view.state.checkpoints_on_disk.insert(replica.model + "@" + replica.version);
      view.state.memory_used_mib += replica.memory_mib;
    }
  }
}

void UpdateDemand(const Now& now, RandomNumbers* numbers, DemandTable* demand) {
  for (int i = 0; i < 3; ++i) {
    // The minimum of two draws makes low numbers more frequent.
    const int rank = static_cast<int>(
        std::min(numbers->Below(kModels + kAdapters), numbers->Below(kModels + kAdapters)));
    const std::string name = rank < kModels ? ModelName(rank) : AdapterName(rank - kModels);
    ModelDemand& entry = (*demand)[name];
    entry.RecordUse(now.monotonic);
    WaitingReport report;
    report.waiting[numbers->Below(kRankCount)] = static_cast<std::uint32_t>(numbers->Below(4));
    report.until = now.monotonic + seconds(3);
    entry.reports["daemon-" + std::to_string(numbers->Below(6))] = report;
  }
}

// One placement group under changing demand, with endpoints that become unreachable or leave.
std::uint64_t RunPlacement(Signature* signature) {
  const Environment environment = MakeEnvironment();
  const GroupId group{"pool", "north", 0};
  RandomNumbers numbers(kSeed);
  EndpointViews views = MakeViews();
  DemandTable demand;
  PlacementRecord record;
  for (int step = 0; step < kPlanSteps; ++step) {
    const std::int64_t ms = step * kPlanStep.count();
    const Now now = TimeAt(ms);
    UpdateDemand(now, &numbers, &demand);
    ApplyOrders(record, ms, &views);
    EndpointView& view = views.at("engine-" + std::to_string(numbers.Below(kEndpoints)));
    view.reachable = !numbers.Chance(20);
    view.host.state = numbers.Chance(3) ? HostState::kLeaving : HostState::kLive;
    if (numbers.Chance(2)) view.state.replicas.push_back({"stray", "1", ReplicaState::kReady, 100});
    if (numbers.Chance(1)) ReserveForLateOrders(now.wall, kLoadTimeout, kHold, &record);
    const ObservationResult observed = ApplyObservations(views, now, &record);
    StoreLoad store;
    store.known = numbers.Chance(80);
    store.model_loads = static_cast<std::uint32_t>(numbers.Below(6));
    store.adapter_loads = static_cast<std::uint32_t>(numbers.Below(34));
    const PlanResult plan = PlanGroup(environment, group, views, demand, now, &record, store);
    signature->Add(observed.undecided);
    for (const std::string& model : plan.unplaced) signature->Add(model);
    signature->Add(Encode(record));
  }
  return 2 * kPlanSteps;
}

std::uint64_t RunRouter(Signature* signature) {
  RandomNumbers numbers(kSeed);
  Router router("north", kSeed);
  std::vector<ReplicaLocation> replicas;
  for (int i = 0; i < kReplicas; ++i) {
    ReplicaLocation replica;
    replica.endpoint = "engine-" + std::to_string(i);
    replica.region = i % 3 == 0 ? "south" : "north";
    replica.state = ReplicaState::kReady;
    replica.slots = 8;
    replicas.push_back(replica);
  }
  std::vector<std::string> in_flight;
  for (int i = 0; i < kChoices; ++i) {
    const MonotonicTime now = TimeAt(10 * i).monotonic;
    replicas[numbers.Below(kReplicas)].running = static_cast<std::uint32_t>(numbers.Below(16));
    std::set<std::string> excluded;
    if (numbers.Chance(5)) excluded.insert(replicas[numbers.Below(kReplicas)].endpoint);
    const std::uint64_t prefix = numbers.Below(200);
    const ReplicaLocation* chosen = router.Choose(replicas, prefix, excluded, now);
    assert(chosen != nullptr);
    signature->Add(chosen->endpoint);
    router.Start(chosen->endpoint, prefix);
    in_flight.push_back(chosen->endpoint);
    if (in_flight.size() < 40) continue;
    const std::size_t ended = numbers.Below(in_flight.size());
    router.End(in_flight[ended], numbers.Chance(3), now);
    in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(ended));
  }
  return kChoices;
}

MemberUpdate MakeMember(int index) {
  MemberUpdate update;
  update.name = "daemon-" + std::to_string(index);
  update.region = index % 2 == 0 ? "north" : "south";
  update.address = {"127.0.0.1", static_cast<std::uint16_t>(10000 + index)};
  update.incarnation = 1;
  return update;
}

std::uint64_t RunMembership(Signature* signature) {
  RandomNumbers numbers(kSeed);
  Membership membership(MakeMember(0), TimeAt(0).monotonic, kSeed);
  for (int i = 1; i < kMembers; ++i) membership.Apply(MakeMember(i), TimeAt(0).monotonic);
  std::uint64_t decisions = 0;
  for (int round = 0; round < 4; ++round) {
    for (int group = 0; group < kGroups; ++group) {
      const Member* owner = membership.PreferredOwner("pool.group." + std::to_string(group),
                                                      group % 2 == 0 ? "north" : "south");
      signature->Add(owner->update.name);
      ++decisions;
    }
    MemberUpdate lost = MakeMember(static_cast<int>(1 + numbers.Below(kMembers - 1)));
    lost.state = MemberState::kDead;
    membership.Apply(lost, TimeAt(1000 * round).monotonic);
  }
  return decisions;
}

std::uint64_t RunIdlePolicy(Signature* signature) {
  constexpr int kSteps = 1000;
  for (int i = 0; i <= kSteps; ++i) {
    signature->Add(IdleTimeout(static_cast<double>(i) / kSteps).count());
  }
  RandomNumbers numbers(kSeed);
  UseHistory history;
  std::int64_t ms = 0;
  for (int i = 0; i < kSteps; ++i) {
    // Mostly gaps under two minutes, some of hours.
    ms += static_cast<std::int64_t>(numbers.Below(numbers.Chance(20) ? 20000000 : 100000));
    history.RecordUse(TimeAt(ms).monotonic);
    signature->Add(IdleTimeout(history, static_cast<double>(numbers.Below(101)) / 100).count());
  }
  return 2 * kSteps + 1;
}

std::uint64_t RunEnvelopes(Signature* signature) {
  constexpr char kKey[] = "bench-shared-key";
  RandomNumbers numbers(kSeed);
  for (int i = 0; i < kEnvelopes; ++i) {
    const WallTime now = TimeAt(i).wall;
    Ping ping;
    ping.sequence = numbers.Below(1000000);
    for (int j = 0; j < 8; ++j) ping.updates.push_back(MakeMember((i + j) % kMembers));
    std::string bytes = EncodeEnvelope(Wrap(ping, "daemon-1", i, now), kKey);
    signature->Add(bytes);
    if (numbers.Chance(10)) bytes[numbers.Below(bytes.size())] ^= 1;
    if (numbers.Chance(5)) bytes.resize(numbers.Below(bytes.size()));
    const auto envelope = DecodeEnvelope(bytes, kKey, now + seconds(numbers.Below(40)));
    if (!envelope) {
      signature->Add(kPeerErrorNames[envelope.error()]);
      continue;
    }
    const auto message = Unwrap<Ping>(envelope.value());
    signature->Add(message ? static_cast<std::int64_t>(message.value().sequence) : -1);
  }
  return 2 * kEnvelopes;
}

RequestRecord MakeRecord(std::uint64_t key, std::uint64_t nonce, std::int64_t deadline_ms) {
  RequestRecord record;
  record.key = "018f0000-0000-7000-8000-" + Hex64(key).substr(4);
  record.fingerprint = key % 7;
  record.nonce = nonce;
  record.deadline_ms = deadline_ms;
  return record;
}

std::uint64_t RunReservations(Signature* signature) {
  RandomNumbers numbers(kSeed);
  RecordSlot slot;
  for (int i = 0; i < kReservations; ++i) {
    const WallTime now = TimeAt(20 * i).wall;
    // Draws that are arguments of one call would be made in an unspecified order.
    const std::uint64_t nonce = 1 + numbers.Below(3000);
    const std::uint64_t key = numbers.Below(400);
    RequestRecord record = MakeRecord(key, nonce, ToUnixMillis(now) + 2000);
    if (numbers.Chance(2)) ++record.fingerprint;
    const SlotChange change = ReserveInSlot(record, now, &slot);
    signature->Add(kReserveStatusNames[change.status]);
    signature->Add(change.changed ? 1 : 0);
    if (!change.changed || numbers.Chance(10)) continue;
    record.state = static_cast<RecordState>(1 + numbers.Below(kRecordStateCount - 1));
    record.status = 200;
    signature->Add(FinishInSlot(record, &slot).changed ? 1 : 0);
  }
  signature->Add(Encode(slot));
  return kReservations;
}

FleetDirectory MakeFleet(RandomNumbers* numbers) {
  FleetDirectory directory;
  for (int i = 0; i < kWaitEndpoints; ++i) {
    FleetEndpoint endpoint;
    endpoint.id = "engine-" + std::to_string(i);
    endpoint.service = "models";
    endpoint.slots = 8;
    // No engine holds the models of the upper half.
    for (int held = 0; held < 3; ++held) {
      const auto model = static_cast<int>(numbers->Below(kWaitModels / 2));
      endpoint.holdings.models.push_back({ModelName(model), {}});
    }
    directory.Put(endpoint);
  }
  return directory;
}

WaitingRequest MakeWaitingRequest(std::size_t model, RandomNumbers* numbers) {
  const auto random = [numbers](std::uint64_t bound) {
    return milliseconds(static_cast<std::int64_t>(numbers->Below(bound)));
  };
  WaitingRequest request;
  request.model = model;
  request.priority = static_cast<std::uint32_t>(numbers->Below(4));
  request.arrival = TimeAt(0).monotonic - random(2000);
  request.waiting_since = request.arrival;
  request.first_event_by = request.arrival + milliseconds(3880);
  request.deadline = request.arrival + milliseconds(4000) + random(8000);
  request.target = milliseconds(950);
  request.has_run = numbers->Chance(5);
  request.first_event_time = random(3000);
  request.stream_time = random(4000);
  request.work = random(300);
  const MonotonicTime now = TimeAt(0).monotonic;
  const QueuedLoads loads{{3, 12, 9}, milliseconds(900), milliseconds(300)};
  request.queued_load_end = QueuedLoadEnd(loads, request.priority, now, now);
  return request;
}

// What RelayHandler knows of a model that requests wait for.
ModelOutlook MakeOutlook(const EndpointSelector& selector, int model, RandomNumbers* numbers) {
  const MonotonicTime now = TimeAt(0).monotonic;
  ModelOutlook outlook;
  outlook.has_engine = selector.HasEngine("models", ModelName(model), {}, now);
  outlook.backoff_until = selector.BackoffUntil("models", ModelName(model), now);
  if (numbers->Chance(20)) {
    outlook.load_end = now + milliseconds(static_cast<std::int64_t>(numbers->Below(6000)));
  }
  outlook.has_leader = numbers->Chance(90);
  return outlook;
}

// Requests that wait at one daemon, without and with forecasts, at the design scale.
std::uint64_t RunWaits(Signature* signature) {
  RandomNumbers numbers(kSeed);
  const FleetDirectory directory = MakeFleet(&numbers);
  const EndpointStats stats;
  const PrefixIndex prefixes;
  const EndpointSelector selector({"north", {}}, &directory, &stats, &prefixes, kSeed);
  for (int step = 0; step < kWaitSteps; ++step) {
    std::vector<ModelOutlook> outlooks;
    for (int model = 0; model < kWaitModels; ++model) {
      outlooks.push_back(MakeOutlook(selector, model, &numbers));
    }
    std::vector<WaitingRequest> requests;
    for (int i = 0; i < kWaitingRequests; ++i) {
      requests.push_back(MakeWaitingRequest(numbers.Below(kWaitModels), &numbers));
    }
    const WaitRules rules{step % 2 == 1};
    for (const WaitDecision& decision :
         DecideWaits(requests, outlooks, rules, TimeAt(0).monotonic)) {
      signature->Add(static_cast<std::int64_t>(decision.reason));
      signature->Add(static_cast<std::int64_t>(decision.order));
    }
  }
  return kWaitSteps * kWaitingRequests;
}

struct Benchmark {
  const char* name;
  std::uint64_t (*run)(Signature*);
};

constexpr Benchmark kBenchmarks[] = {
    {"placement", RunPlacement},
    {"router", RunRouter},
    {"preferred_owner", RunMembership},
    {"idle_timeout", RunIdlePolicy},
    {"envelope", RunEnvelopes},
    {"reservation", RunReservations},
    {"wait", RunWaits},
};

// Heap bytes per item of the container that `make` builds.
template <class Make>
std::size_t HeapBytesPerItem(Make make) {
  const std::size_t before = mallinfo2().uordblks;
  const auto items = make();
  const std::size_t after = mallinfo2().uordblks;
  assert(items->size() > 0);
  return after > before ? (after - before) / items->size() : 0;
}

// The state of one model: its entry in the document and its entry in the demand table.
struct ModelState {
  Model model;
  ModelDemand demand;
};

std::size_t MeasureModel(bool adapter) {
  return HeapBytesPerItem([&] {
    auto items = std::make_unique<std::map<std::string, ModelState>>();
    for (int i = 0; i < kSizeSampleItems; ++i) {
      ModelState& state = (*items)[adapter ? AdapterName(i) : ModelName(i)];
      state.model.name = adapter ? AdapterName(i) : ModelName(i);
      if (adapter) state.model.base = ModelName(i);
      for (int daemon = 0; daemon < 6; ++daemon) {
        state.demand.reports["daemon-" + std::to_string(daemon)] = {};
      }
    }
    return items;
  });
}

std::size_t MeasureEndpoint() {
  return HeapBytesPerItem([] {
    auto items = std::make_unique<EndpointViews>();
    const EndpointView sample = MakeViews().begin()->second;
    for (int i = 0; i < kSizeSampleItems; ++i) (*items)["engine-" + std::to_string(i)] = sample;
    return items;
  });
}

std::size_t MeasureRecord() {
  return HeapBytesPerItem([] {
    auto items = std::make_unique<std::vector<RequestRecord>>();
    items->reserve(kSizeSampleItems);
    for (int i = 0; i < kSizeSampleItems; ++i) items->push_back(MakeRecord(i, i, kStartMs));
    return items;
  });
}

std::size_t StoredReplicaBytes(bool adapter) {
  PlacementRecord record;
  const std::size_t empty = Encode(record).size();
  PlacedReplica replica;
  replica.model = adapter ? AdapterName(0) : ModelName(0);
  if (adapter) replica.base = ModelName(0);
  replica.version = "1";
  replica.endpoint = "engine-0";
  replica.order_id = "pool.north.0-100";
  record.replicas.push_back(replica);
  return Encode(record).size() - empty;
}

std::size_t StoredRecordBytes() {
  RecordSlot slot;
  const std::size_t empty = Encode(slot).size();
  slot.records.push_back(MakeRecord(1, 1, kStartMs));
  return Encode(slot).size() - empty;
}

}  // namespace

BenchReport RunBench(std::uint32_t rounds) {
  assert(rounds > 0);
  BenchReport report;
  for (const Benchmark& part : kBenchmarks) {
    BenchPart result;
    result.name = part.name;
    const MonotonicTime start = MonotonicNow();
    for (std::uint32_t round = 0; round < rounds; ++round) {
      Signature signature;
      result.decisions += part.run(&signature);
      result.signature = signature.value();
    }
    result.seconds = ToSeconds(MonotonicNow() - start);
    report.parts.push_back(result);
  }
  report.sizes = {{"model", MeasureModel(false), StoredReplicaBytes(false)},
                  {"adapter", MeasureModel(true), StoredReplicaBytes(true)},
                  {"endpoint", MeasureEndpoint(), 0},
                  {"request record", MeasureRecord(), StoredRecordBytes()}};
  return report;
}

std::string FormatSignatures(const BenchReport& report) {
  std::ostringstream text;
  Signature total;
  for (const BenchPart& part : report.parts) {
    text << part.name << " " << Hex64(part.signature) << "\n";
    total.Add(Hex64(part.signature));
  }
  text << "all " << Hex64(total.value()) << "\n";
  return text.str();
}

std::string FormatBench(const BenchReport& report) {
  std::ostringstream text;
  for (const BenchPart& part : report.parts) {
    text << std::left << std::setw(16) << part.name << std::right << std::setw(12)
         << static_cast<std::uint64_t>(static_cast<double>(part.decisions) / part.seconds)
         << " decisions/s\n";
  }
  for (const StateSize& size : report.sizes) {
    text << std::left << std::setw(16) << size.item << std::right << std::setw(12)
         << size.heap_bytes << " bytes in memory";
    if (size.stored_bytes > 0) text << ", " << size.stored_bytes << " stored";
    text << "\n";
  }
  return text.str();
}

}  // namespace mimosabend
