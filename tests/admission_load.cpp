#include "admission_load.h"

#include <algorithm>
#include <deque>
#include <queue>
#include <random>

namespace mimosabend::testing {

namespace {

constexpr char kQueue[] = "model";

struct Job {
  std::size_t source = 0;
  double arrival = 0;
  double service = 0;
  double start = -1;
  int ends = 0;
  AdmissionTicket ticket = 0;
};

enum class EventKind : std::uint8_t { kArrival, kFirstToken, kEnd, kExpiry };

struct Event {
  double time = 0;
  EventKind kind = EventKind::kArrival;
  std::size_t job = 0;
  bool operator>(const Event& other) const { return time > other.time; }
};

MonotonicTime At(double time) {
  return MonotonicTime() + seconds(1000) +
         std::chrono::duration_cast<std::chrono::steady_clock::duration>(
             std::chrono::duration<double>(time));
}

class LoadSimulation {
 public:
  explicit LoadSimulation(const LoadOptions& options) : options_(options) {
    admission_.SetFloors(kFloors);
    std::mt19937_64 random(options.seed);
    std::exponential_distribution<double> service(1 / options.service_mean_s);
    for (std::size_t i = 0; i < options.sources.size(); ++i) {
      const LoadSource& source = options.sources[i];
      std::exponential_distribution<double> gap(source.per_second * source.flood);
      for (double time = gap(random); time < options.duration_s; time += gap(random)) {
        jobs_.push_back({i, time, options.first_token_s + service(random)});
        events_.push({time, EventKind::kArrival, jobs_.size() - 1});
      }
    }
  }

  LoadResult Run() {
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      Handle(event);
      result_.most_waiting =
          std::max(result_.most_waiting, options_.admission ? admission_.waiting() : fifo_.size());
    }
    result_.measured_s = options_.duration_s - options_.warm_up_s;
    for (const Job& job : jobs_) result_.wrong_ends += job.ends == 1 ? 0 : 1;
    return result_;
  }

 private:
  void Handle(const Event& event) {
    Job& job = jobs_[event.job];
    AdmissionDecisions decisions;
    switch (event.kind) {
      case EventKind::kArrival:
        if (options_.admission) {
          Submit(event.job, &decisions);
        } else {
          fifo_.push_back(event.job);
        }
        break;
      case EventKind::kFirstToken:
        if (options_.admission) admission_.RecordFirstToken(job.ticket, At(now_));
        return;
      case EventKind::kEnd:
        Finish(&job);
        --running_;
        if (options_.admission) admission_.End(job.ticket, At(now_), &decisions);
        break;
      case EventKind::kExpiry:
        admission_.Expire(job.ticket, At(now_), &decisions);
        break;
    }
    for (const AdmissionDecision& decision : decisions) Apply(decision);
    if (!options_.admission) StartFifo();
  }

  void Submit(std::size_t index, AdmissionDecisions* decisions) {
    Job& job = jobs_[index];
    const LoadSource& source = options_.sources[job.source];
    admission_.UpdateEndpoints(kQueue, {{"e", static_cast<double>(options_.slots)}}, At(now_));
    AdmissionRequest request;
    request.queue = kQueue;
    request.rank = source.rank;
    request.caller = source.caller;
    request.weight = source.weight;
    request.bytes = 100;
    request.deadline = At(now_ + options_.timeout_s);
    request.first_token = kFirstTokenTargets[Index(source.rank)];
    job.ticket = admission_.Submit(request, At(now_), decisions);
    by_ticket_[job.ticket] = index;
    const MonotonicTime expiry = admission_.Expiry(job.ticket);
    if (expiry == MonotonicTime()) return;
    events_.push({std::max(now_, ToSeconds(expiry - At(0)) + 1e-6), EventKind::kExpiry, index});
  }

  void Apply(const AdmissionDecision& decision) {
    Job& job = jobs_[by_ticket_.at(decision.ticket)];
    if (!decision.refusal) {
      Start(&job);
      return;
    }
    ++job.ends;
    if (job.arrival < options_.warm_up_s) return;
    UpdateCounts(job, [](LoadCounts* counts) {
      ++counts->arrived;
      ++counts->refused;
    });
  }

  // Starts requests in order of arrival. Requests whose callers have timed out get no slot.
  void StartFifo() {
    while (!fifo_.empty() && running_ < options_.slots) {
      Job& job = jobs_[fifo_.front()];
      fifo_.pop_front();
      if (now_ - job.arrival < options_.timeout_s) {
        Start(&job);
        continue;
      }
      ++job.ends;
      if (job.arrival < options_.warm_up_s) continue;
      UpdateCounts(job, [](LoadCounts* counts) {
        ++counts->arrived;
        ++counts->late;
      });
    }
  }

  void Start(Job* job) {
    job->start = now_;
    ++running_;
    const auto index = static_cast<std::size_t>(job - jobs_.data());
    events_.push({now_ + options_.first_token_s, EventKind::kFirstToken, index});
    events_.push({now_ + job->service, EventKind::kEnd, index});
  }

  void Finish(Job* job) {
    ++job->ends;
    if (job->arrival < options_.warm_up_s) return;
    const Rank rank = options_.sources[job->source].rank;
    const double target = ToSeconds(kFirstTokenTargets[Index(rank)]);
    const bool first_in_time = job->start + options_.first_token_s - job->arrival <= target;
    const bool in_time = first_in_time && now_ - job->arrival <= options_.timeout_s;
    const double service = job->service;
    UpdateCounts(*job, [=](LoadCounts* counts) {
      ++counts->arrived;
      ++(in_time ? counts->in_target : counts->late);
      if (in_time) counts->slot_seconds += service;
    });
  }

  template <class Change>
  void UpdateCounts(const Job& job, const Change& change) {
    const LoadSource& source = options_.sources[job.source];
    change(&result_.ranks[Index(source.rank)]);
    change(&result_.callers[source.caller]);
  }

  LoadOptions options_;
  AdmissionController admission_;
  std::vector<Job> jobs_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::map<AdmissionTicket, std::size_t> by_ticket_;
  std::deque<std::size_t> fifo_;
  int running_ = 0;
  double now_ = 0;
  LoadResult result_;
};

}  // namespace

LoadResult RunLoad(const LoadOptions& options) { return LoadSimulation(options).Run(); }

}  // namespace mimosabend::testing
