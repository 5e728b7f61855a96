#ifndef MIMOSABEND_RESPONSE_TIMES_H_
#define MIMOSABEND_RESPONSE_TIMES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "hedge_policy.h"

namespace mimosabend {

// The latest samples of one quantity, at most `capacity` and none older than kMaxAge. Not
// thread-safe.
class RecentSamples {
 public:
  static constexpr seconds kMaxAge{30};

  // Precondition: `capacity` is positive.
  explicit RecentSamples(std::size_t capacity) : capacity_(capacity) {}

  void Add(double value, MonotonicTime now);

  // The present values in no particular order.
  std::vector<double> Values(MonotonicTime now) const;

  // Whether all samples are older than kMaxAge.
  bool IsExpired(MonotonicTime now) const;

 private:
  struct Sample {
    float value = 0;
    MonotonicTime at;
  };

  std::size_t capacity_;
  std::vector<Sample> samples_;
  // Index of the oldest sample once the capacity is reached.
  std::size_t next_ = 0;
};

// Recent response times of plain requests by service and endpoint, in milliseconds. Memory is at
// most 1 KB for each of kMaxEndpoints endpoints and 8 KB for each of kMaxServices services. Not
// thread-safe.
class ResponseTimes {
 public:
  static constexpr std::size_t kMaxEndpoints = 1024;
  static constexpr std::size_t kMaxServices = 64;

  // Sets the quantile of the times that is the tail. Precondition: 0 < quantile < 1.
  void set_tail_quantile(double quantile) { tail_quantile_ = quantile; }

  // Records the time that an attempt took, or a lower bound if it was cancelled.
  void Record(const std::string& service, const std::string& endpoint, double millis,
              MonotonicTime now);

  // Records whether a first attempt was open until a second could have been sent. Precondition:
  // called once for each first attempt.
  void RecordLate(const std::string& service, bool late);

  // What is known of a service, all zero if nothing is.
  ServiceTimes Service(const std::string& service, MonotonicTime now);

  // Median of the times at an endpoint; std::nullopt with less than kMinEndpointSamples samples.
  std::optional<double> EndpointMedian(const std::string& endpoint, MonotonicTime now) const;

  // Drops endpoints and services without recent samples.
  void PruneExpired(MonotonicTime now);

 private:
  static constexpr std::size_t kMinEndpointSamples = 20;
  // A few busy daemons serve hundreds of requests a second; their samples should span more than the
  // phases of a second in which endpoints are slow.
  static constexpr std::size_t kServiceSamples = 512;
  static constexpr std::size_t kEndpointSamples = 64;

  struct ServiceRecord {
    RecentSamples samples{kServiceSamples};
    double usual_median = 0;
    double late_share = 0;
    // Evaluated at most once in kSummaryPeriod.
    std::optional<ServiceTimes> summary;
    MonotonicTime summary_at;
    MonotonicTime last_at;
  };

  void Summarize(ServiceRecord* record, MonotonicTime now) const;

  double tail_quantile_ = 0.95;
  std::map<std::string, ServiceRecord> services_;
  std::map<std::string, RecentSamples> endpoints_;
};

}  // namespace mimosabend

#endif  // MIMOSABEND_RESPONSE_TIMES_H_
