#include "components/health/ejection_planner.h"

#include <algorithm>
#include <cmath>

namespace kingcupstair::health {
namespace {

constexpr double kErrorShareLimit = 0.4;
/// One that looks bad already has to do better than this to look well again.
constexpr double kErrorShareWell = 0.2;
/// An upstream is slow when its latency is above this multiple of the
/// service's median and the difference is more than noise.
constexpr double kSlowMultiple = 3;
constexpr double kSlowMultipleWell = 2;
constexpr Duration kSlowNoise{std::chrono::milliseconds(10)};
constexpr uint64_t kMinFinished = 3;
constexpr Duration kFirstEjection{std::chrono::seconds(2)};
constexpr Duration kLongestEjection{std::chrono::seconds(60)};
constexpr Duration kGoodConductTime{std::chrono::minutes(5)};
constexpr uint64_t kTrialAnswers = 3;
constexpr Duration kConfirmAlone{std::chrono::milliseconds(300)};
constexpr Duration kConfirmSeveral{std::chrono::milliseconds(1500)};
constexpr uint64_t kConfirmAnswers = 2;
constexpr Duration kConfirmGrowth{std::chrono::milliseconds(200)};
/// Up to this part of a service's upstreams counts as few.
constexpr size_t kFewDivisor = 12;

Duration MedianLatency(const std::vector<UpstreamView>& upstreams) {
  std::vector<Duration> latencies;
  for (const UpstreamView& view : upstreams) {
    if (view.finished > 0) {
      latencies.push_back(view.latency);
    }
  }
  if (latencies.empty()) {
    return {};
  }
  const auto middle = latencies.begin() +
                      static_cast<std::ptrdiff_t>((latencies.size() - 1) / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

double MedianErrorShare(const std::vector<UpstreamView>& upstreams) {
  std::vector<double> shares;
  for (const UpstreamView& view : upstreams) {
    shares.push_back(view.error_share);
  }
  const auto middle =
      shares.begin() + static_cast<std::ptrdiff_t>((shares.size() - 1) / 2);
  std::nth_element(shares.begin(), middle, shares.end());
  return *middle;
}

bool IsSlow(const UpstreamView& view,
            Duration median,
            double multiple = kSlowMultiple) {
  const auto limit = static_cast<double>(median.count()) * multiple;
  return static_cast<double>(view.latency.count()) > limit &&
         view.latency > median + kSlowNoise;
}

}  // namespace

const char* ToText(Fault fault) {
  switch (fault) {
    case Fault::kNone:
      return "none";
    case Fault::kErrors:
      return "errors";
    case Fault::kSlow:
      return "slow";
  }
  return "none";
}

EjectionPlanner::EjectionPlanner(Options options) : options(options) {}

std::vector<EjectionChange> EjectionPlanner::Plan(
    const std::vector<UpstreamView>& upstreams,
    Instant now) {
  std::vector<EjectionChange> changes;
  this->ForgetGone(upstreams);
  if (upstreams.empty()) {
    return changes;
  }
  this->ReturnRecovered(upstreams, now, changes);
  const auto in_use_at_least = static_cast<size_t>(
      std::ceil(this->options.floor * static_cast<double>(upstreams.size())));
  const size_t allowed =
      upstreams.size() -
      std::clamp<size_t>(in_use_at_least, 1, upstreams.size());
  // A zone or an upstream that went out may have left fewer than the floor.
  while (this->ejected.size() > allowed) {
    const auto first =
        std::min_element(this->ejected.begin(), this->ejected.end(),
                         [](const auto& left, const auto& right) {
                           return left.second.until < right.second.until;
                         });
    changes.push_back({.upstream = first->first, .ejected = false});
    this->ejected.erase(first);
  }
  this->EjectWorst(
      this->KeepConfirmed(this->FindSuspects(upstreams), upstreams.size(), now),
      allowed, now, changes);
  return changes;
}

bool EjectionPlanner::IsEjected(const std::string& upstream) const {
  return this->ejected.contains(upstream);
}

bool EjectionPlanner::IsOnTrial(const std::string& upstream,
                                Instant now) const {
  const auto found = this->ejected.find(upstream);
  return found != this->ejected.end() && found->second.until <= now;
}

// Each upstream is held against the median of all, itself included: when the
// whole service is slow or failing, nobody stands out and nobody is ejected.
std::vector<EjectionPlanner::Suspect> EjectionPlanner::FindSuspects(
    const std::vector<UpstreamView>& upstreams) const {
  const Duration median = MedianLatency(upstreams);
  const double usual_errors = MedianErrorShare(upstreams);
  std::vector<Suspect> suspects;
  for (const UpstreamView& view : upstreams) {
    if (this->IsEjected(view.id)) {
      continue;
    }
    const bool suspected = this->suspicions.contains(view.id);
    const double error_limit = suspected ? kErrorShareWell : kErrorShareLimit;
    const double slow_limit = suspected ? kSlowMultipleWell : kSlowMultiple;
    if (view.error_share > error_limit + usual_errors &&
        view.finished >= kMinFinished) {
      suspects.push_back({.view = &view,
                          .fault = Fault::kErrors,
                          .badness = 1e12 * view.error_share});
      continue;
    }
    const bool judged = view.finished >= kMinFinished || view.in_flight > 0;
    if (judged && median > Duration{} && IsSlow(view, median, slow_limit)) {
      suspects.push_back(
          {.view = &view,
           .fault = Fault::kSlow,
           .badness = static_cast<double>(view.latency.count())});
    }
  }
  return suspects;
}

// What is known of the others is older than what makes one look bad, so when a
// whole service turns slow its upstreams look bad one after the other. One that
// stays alone is ejected soon; several are held until all have been heard of.
std::vector<EjectionPlanner::Suspect> EjectionPlanner::KeepConfirmed(
    std::vector<Suspect> suspects,
    size_t known,
    Instant now) {
  std::map<std::string, Suspicion> standing;
  for (const Suspect& suspect : suspects) {
    const UpstreamView& view = *suspect.view;
    const auto before = this->suspicions.find(view.id);
    standing[view.id] = before != this->suspicions.end()
                            ? before->second
                            : Suspicion{.since = now,
                                        .finished = view.finished,
                                        .latency = view.latency};
  }
  this->suspicions = std::move(standing);
  const bool alone =
      suspects.size() <= std::max<size_t>(1, known / kFewDivisor);
  const Duration hold = alone ? kConfirmAlone : kConfirmSeveral;
  std::erase_if(suspects, [&](const Suspect& suspect) {
    return !this->IsConfirmed(*suspect.view, hold, now);
  });
  return suspects;
}

// Time alone confirms nothing: an upstream that looked bad once is chosen less,
// and the one bad report would stand. It takes more answers, or, from an
// upstream that gives none, a wait that has grown.
bool EjectionPlanner::IsConfirmed(const UpstreamView& view,
                                  Duration hold,
                                  Instant now) const {
  const Suspicion& suspicion = this->suspicions.at(view.id);
  const bool answered_since =
      view.finished >= suspicion.finished + kConfirmAnswers;
  const bool waits_longer = view.latency >= suspicion.latency + kConfirmGrowth;
  return now - suspicion.since >= hold && (answered_since || waits_longer);
}

void EjectionPlanner::ReturnRecovered(
    const std::vector<UpstreamView>& upstreams,
    Instant now,
    std::vector<EjectionChange>& changes) {
  const Duration median = MedianLatency(upstreams);
  for (const UpstreamView& view : upstreams) {
    const auto found = this->ejected.find(view.id);
    if (found == this->ejected.end()) {
      continue;
    }
    // A fresh start counts its answers from 0 again.
    Ejection& ejection = found->second;
    ejection.finished_before =
        std::min(ejection.finished_before, view.finished);
    const bool tried =
        view.finished >= ejection.finished_before + kTrialAnswers;
    const bool well =
        view.error_share <= kErrorShareLimit && !IsSlow(view, median);
    if (ejection.until <= now && tried && well) {
      this->ejected.erase(found);
      changes.push_back({.upstream = view.id, .ejected = false});
    } else if (ejection.until <= now && tried) {
      ejection.until = now + this->NextEjectionTime(view.id, now);
      ejection.finished_before = view.finished;
    }
  }
}

void EjectionPlanner::EjectWorst(std::vector<Suspect> suspects,
                                 size_t allowed,
                                 Instant now,
                                 std::vector<EjectionChange>& changes) {
  std::sort(suspects.begin(), suspects.end(),
            [](const Suspect& left, const Suspect& right) {
              return left.badness != right.badness
                         ? left.badness > right.badness
                         : left.view->id < right.view->id;
            });
  for (const Suspect& suspect : suspects) {
    if (this->ejected.size() >= allowed) {
      return;
    }
    const std::string& id = suspect.view->id;
    this->ejected[id] = {.fault = suspect.fault,
                         .until = now + this->NextEjectionTime(id, now),
                         .finished_before = suspect.view->finished};
    changes.push_back(
        {.upstream = id, .ejected = true, .fault = suspect.fault});
  }
}

void EjectionPlanner::ForgetGone(const std::vector<UpstreamView>& upstreams) {
  std::set<std::string> present;
  for (const UpstreamView& view : upstreams) {
    present.insert(view.id);
  }
  const auto gone = [&](const auto& entry) {
    return !present.contains(entry.first);
  };
  std::erase_if(this->ejected, gone);
  std::erase_if(this->records, gone);
}

// Each ejection within the time of good conduct doubles the next one, so an
// upstream that flaps stays out for longer and longer.
Duration EjectionPlanner::NextEjectionTime(const std::string& upstream,
                                           Instant now) {
  Record& record = this->records[upstream];
  if (record.times > 0 && now - record.last > kGoodConductTime) {
    record.times = 0;
  }
  const int doublings = std::min(record.times, 5);
  ++record.times;
  record.last = now;
  return std::min(kFirstEjection * (1 << doublings), kLongestEjection);
}

}  // namespace kingcupstair::health
