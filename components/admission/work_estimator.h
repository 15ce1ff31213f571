#ifndef COMPONENTS_ADMISSION_WORK_ESTIMATOR_H_
#define COMPONENTS_ADMISSION_WORK_ESTIMATOR_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "components/base/time.h"

namespace kingcupstair::admission {

/// What is known about a request's work before it runs.
struct WorkKey {
  std::string service;
  /// Requests with the same number need about the same time; 0 if not known.
  uint64_t work_class = 0;
  uint64_t body_bytes = 0;
  /// Latency objective, used while the service is not known; zero if none.
  Duration objective{};

  bool operator==(const WorkKey&) const = default;
};

/// Log-normal distribution of a run time.
struct WorkEstimate {
  /// Mean of the natural logarithm of the time in seconds.
  double log_mean = 0;
  /// Standard deviation of the logarithm.
  double spread = 0;

  /// Returns the mean time.
  Duration Mean() const;
  /// Returns the time that half of the runs don't exceed.
  Duration Median() const;
  /// Returns the mean of the time that is left to a run of this age.
  Duration MeanRemaining(Duration age) const;

  bool operator==(const WorkEstimate&) const = default;
};

/// A response of an upstream.
struct ObservedRun {
  std::string upstream;
  WorkKey key;
  Duration latency{};
  /// The upstream is neither cold nor suspected of failing. The work of a class
  /// is learned from such upstreams only.
  bool upstream_sound = true;
};

/// Learns the time that requests need at a healthy upstream, for each work
/// class and size of body, and how much slower than usual each upstream is.
///
/// The logarithm of a latency is taken as the sum of the class's and the
/// upstream's part. What changes for most classes of an upstream together is
/// its slowness, and no class learns meanwhile; what changes for one class only
/// is the work of the class. With a single class the two can't be told apart,
/// and a change counts as slowness until it has lasted.
class WorkEstimator {
 public:
  struct Options {
    /// Maximum number of work classes, counted for each size of body.
    size_t max_classes = 512;
    /// A class or upstream without responses for this long is forgotten.
    Duration retention{std::chrono::hours(1)};
    /// Slowness that lasts this long becomes the usual state of its upstream.
    /// Several times the longest fault episode.
    Duration slowness_lifetime{std::chrono::minutes(10)};
  };

  explicit WorkEstimator(Options options);

  /// Learns from a successful response.
  void Observe(const ObservedRun& run, Instant now);

  /// Returns the time that the request needs at a healthy upstream.
  WorkEstimate Work(const WorkKey& key) const;

  /// Returns the time that the request needs at `upstream` in its present
  /// state.
  WorkEstimate RunTime(const std::string& upstream, const WorkKey& key) const;

  /// Returns the factor by which `upstream` is slower than usual at present.
  double Slowness(const std::string& upstream) const;

  /// Forgets the slowness of an upstream that has restarted.
  void ResetUpstream(const std::string& upstream);

  size_t class_count() const { return this->classes.size(); }

 private:
  /// Work class and bucket of the size of the body.
  using ClassId = std::pair<uint64_t, int>;

  struct Learned {
    double log_mean = 0;
    double variance = 0;
    /// Number of observations, counted up to a limit.
    double count = 0;
    Instant last_seen;
  };

  /// Recent deviation of one class at one upstream.
  struct Deviation {
    double value = 0;
    Instant last_seen;
  };

  /// An observation that is not learned yet.
  struct Pending {
    std::string service;
    ClassId id;
    double log_work = 0;
    Instant at;
  };

  struct Upstream {
    /// Logarithm of the factor that counts as its usual state.
    double usual = 0;
    /// Logarithm of the factor on top of that.
    double slowness = 0;
    /// The time since which the slowness differs from the usual state.
    Instant deviates_since;
    std::map<ClassId, Deviation> deviations;
    std::deque<Pending> pending;
    Instant last_seen;
  };

  static ClassId IdOf(const WorkKey& key);
  Learned Estimate(const WorkKey& key) const;
  static void Learn(Learned& learned, double log_time, Instant now);
  void LearnPending(const Pending& pending);
  void UpdateSlowness(Upstream& upstream, Instant now) const;
  void Forget(Instant now);
  /// Makes room for one more class.
  void EvictOldestClass();

  Options options;
  std::map<ClassId, Learned> classes;
  std::map<std::string, Learned> services;
  std::map<std::string, Upstream> upstreams;
  Instant forgot_at;
};

}  // namespace kingcupstair::admission

#endif  // COMPONENTS_ADMISSION_WORK_ESTIMATOR_H_
