#include "components/balancing/placement.h"

#include <algorithm>
#include <cmath>

namespace kingcupstair::balancing {
namespace {

/// Older reports say nothing: several times the duration of a request.
constexpr Duration kMaxReportAge{std::chrono::seconds(5)};
/// Time constant with which a reported wait loses its weight against the mean
/// of its zone: the requests that were ahead have ended and others have come.
constexpr Duration kReportMemory{std::chrono::seconds(1)};
/// A refusal without a question to any upstream, and a wait in a queue without
/// a question for a free slot, rest on reports that are not older.
constexpr Duration kYoungReportAge{std::chrono::milliseconds(500)};
/// Bounds of the time after which a refused caller should come back.
constexpr Duration kMinRetryAfter{std::chrono::milliseconds(200)};
constexpr Duration kMaxRetryAfter{std::chrono::seconds(2)};
/// Largest factor by which that time is lengthened to spread the callers.
constexpr double kRetryAfterSpread = 1.5;
/// Number of random upstreams that are compared. More would send all ingresses
/// to the same few.
constexpr int kCompared = 2;
constexpr int kComparedForHealth = 3;
/// Completions closer than this count as equal: reports tell no better.
constexpr double kSameCompletionMicros = 5'000;
/// Failure probabilities closer than this count as equal.
constexpr double kSameFailureProbability = 0.05;
/// Probability that a request goes to an upstream on trial, if there is one.
constexpr double kTrialProbability = 0.1;
/// A trial request doesn't go to another zone if its body takes longer.
constexpr Duration kMaxTrialTransfer{std::chrono::milliseconds(10)};
/// Latency relative to the mean of the service from which the request is
/// expected to take as long. Below, latencies differ by the mix of requests.
constexpr double kSlowLatencyFactor = 2;
/// Failure probability from which an upstream is not taken to be worse. A
/// higher one would leave failing upstreams without the requests that find out
/// when they have recovered.
constexpr double kMaxCountedFailure = 0.75;
/// Factors on the cost of a hop. Requests begin to leave the zone at
/// kSpillStart times the cost, and stop at kSpillStop times. In between, a
/// single request leaves if that makes it sooner by kSpillGain times the cost.
/// The gap keeps the service from changing its mode with each report.
constexpr double kSpillStart = 3;
constexpr double kSpillStop = 1;
constexpr double kSpillGain = 1.5;
/// Lower bound of the cost of a hop. A shorter wait is below what reports tell.
constexpr Duration kMinHopCost{std::chrono::milliseconds(10)};
/// Round trip time to a zone that was not called yet.
constexpr Duration kDefaultRoundTrip{std::chrono::milliseconds(10)};
/// A request to another host is two calls, for the slot and for the run.
constexpr int kCallsPerRequest = 2;
/// Fraction by which a round trip time may grow with each call. A call that
/// takes longer than usual mostly waited for the processor of either host.
constexpr double kRoundTripGrowth = 0.02;
/// Link that is assumed if the setting does not name one: the slowest in use.
constexpr int kAssumedLinkMbps = 10;
constexpr int kBitsPerByte = 8;
/// Load that a request puts on the links between zones, as a fraction of its
/// objective: the hop itself, for the messages and a response of unknown size,
/// and each byte of the body. Other requests share these links. With the
/// maximum, a request still leaves a zone where it would be refused.
constexpr double kLoadOfHop = 0.02;
constexpr double kLoadOfByte = 1e-5;
constexpr double kMaxLoad = 0.3;
/// Expected wait in a zone of which nothing is known, relative to the own zone.
/// A value below 1 lets the first requests that gain from it find out.
constexpr double kUnknownZoneWait = 0.5;

double Micros(Duration duration) {
  return static_cast<double>(duration.count());
}

bool HasRecentReport(const PlacementCandidate& candidate) {
  return candidate.reported_wait.has_value() &&
         Placement::IsRecent(candidate.age);
}

/// Returns true if a young report says that no slot is free, also if the work
/// ahead has ended as fast as the time has passed.
bool ExpectsWait(const PlacementCandidate& candidate) {
  return Placement::ShowsNoRoom(candidate.reported_wait, candidate.age, {});
}

/// Returns the mean latency of the upstreams that have finished requests.
double MeanLatency(const std::vector<const PlacementCandidate*>& candidates) {
  double sum = 0;
  int count = 0;
  for (const PlacementCandidate* each : candidates) {
    if (each->view.latency > Duration{}) {
      sum += Micros(each->view.latency);
      ++count;
    }
  }
  return count == 0 ? 0 : sum / count;
}

/// Returns the expected number of runs until one succeeds. An upstream that
/// fails quickly always has room, and would draw requests.
double RunsNeeded(const health::UpstreamView& view) {
  return 1 / (1 - std::min(view.failure_probability, kMaxCountedFailure));
}

/// Returns the weight of the report against the mean of its zone, 0 to 1.
double WeightOf(const PlacementCandidate& candidate) {
  return std::exp(-Micros(candidate.age) / Micros(kReportMemory));
}

/// Returns the reported wait with the work sent since. Work drains as time
/// passes. If that is too optimistic, the next request finds out; the other way
/// round nobody would go there and find out that the wait has ended.
double KnownWait(const PlacementCandidate& candidate, double work) {
  const double ahead =
      Micros(*candidate.reported_wait) +
      candidate.sent_since_report * work / std::max(1, candidate.view.limit);
  return std::max(0.0, ahead - Micros(candidate.age));
}

}  // namespace

const char* ToText(PlacementReason reason) {
  switch (reason) {
    case PlacementReason::kOwnZone:
      return "own-zone";
    case PlacementReason::kSooner:
      return "sooner";
    case PlacementReason::kOwnZoneUnused:
      return "own-zone-unused";
    case PlacementReason::kTrial:
      return "trial";
  }
  return "";
}

Placement::Placement(Options options)
    : options(std::move(options)), random(this->options.seed) {}

PlacementChoice Placement::Estimate::ToChoice(PlacementReason reason) const {
  return {.upstream = this->view->id,
          .reason = reason,
          .expects_wait = this->expects_wait};
}

bool Placement::IsRecent(Duration age) {
  return age <= kMaxReportAge;
}

void Placement::OnRoundTrip(const std::string& zone, Duration time) {
  const auto [found, is_new] = this->round_trips.emplace(zone, time);
  if (!is_new) {
    found->second = std::min(
        time, found->second + FractionOf(found->second, kRoundTripGrowth) +
                  Duration(1));
  }
}

Duration Placement::TransferTime(uint64_t body_bytes) const {
  const int mbps =
      this->options.link_mbps > 0 ? this->options.link_mbps : kAssumedLinkMbps;
  // Bits divided by Mbit/s are microseconds.
  return Duration(static_cast<int64_t>(body_bytes * kBitsPerByte /
                                       static_cast<uint64_t>(mbps)));
}

Duration Placement::HopCost(const std::string& zone,
                            const PlacementRequest& request) const {
  if (zone == this->options.own_zone) {
    return {};
  }
  const auto known = this->round_trips.find(zone);
  const Duration round_trip =
      known == this->round_trips.end() ? kDefaultRoundTrip : known->second;
  const double load = std::min(
      kMaxLoad,
      kLoadOfHop + kLoadOfByte * static_cast<double>(request.body_bytes));
  return std::max(kMinHopCost, round_trip * kCallsPerRequest) +
         this->TransferTime(request.body_bytes) +
         FractionOf(request.objective, load);
}

Placement::Estimates Placement::EstimateAll(
    const std::vector<const PlacementCandidate*>& usable,
    const PlacementRequest& request,
    std::map<std::string, double>& mean_waits) const {
  const double mean_latency = MeanLatency(usable);
  const double work = request.expected_work > Duration{}
                          ? Micros(request.expected_work)
                          : mean_latency;
  std::map<std::string, double> weights;
  for (const PlacementCandidate* each : usable) {
    if (HasRecentReport(*each)) {
      const double weight = WeightOf(*each);
      mean_waits[each->view.zone] += weight * KnownWait(*each, work);
      weights[each->view.zone] += weight;
    }
  }
  for (auto& [zone, wait] : mean_waits) {
    wait /= weights[zone];
  }
  const auto own_mean = mean_waits.find(this->options.own_zone);
  const double unknown_wait =
      own_mean == mean_waits.end() ? 0 : own_mean->second * kUnknownZoneWait;
  Estimates estimates;
  for (const PlacementCandidate* each : usable) {
    const health::UpstreamView& view = each->view;
    const auto mean = mean_waits.find(view.zone);
    double wait = mean == mean_waits.end() ? unknown_wait : mean->second;
    if (HasRecentReport(*each)) {
      wait += WeightOf(*each) * (KnownWait(*each, work) - wait);
    }
    const bool is_slow =
        Micros(view.latency) > kSlowLatencyFactor * mean_latency;
    const double run = is_slow ? std::max(work, Micros(view.latency)) : work;
    estimates.push_back(
        {.view = &view,
         .expects_wait = ExpectsWait(*each),
         .wait = wait,
         .completion = (wait + run) * RunsNeeded(view) +
                       Micros(this->HopCost(view.zone, request))});
  }
  return estimates;
}

// Means of whole zones are compared, since single upstreams differ by chance:
// with all zones equally busy, every other request would leave its zone.
bool Placement::IsSpilling(const Estimates& others,
                           const std::map<std::string, double>& mean_waits,
                           Duration objective,
                           bool was_spilling) const {
  const auto own = mean_waits.find(this->options.own_zone);
  if (own == mean_waits.end()) {
    return false;
  }
  const double factor = was_spilling ? kSpillStop : kSpillStart;
  return std::any_of(
      others.begin(), others.end(), [&](const Estimate& estimate) {
        const auto other = mean_waits.find(estimate.view->zone);
        const double wait =
            other == mean_waits.end() ? estimate.wait : other->second;
        const double cost = Micros(
            this->HopCost(estimate.view->zone, {.objective = objective}));
        return own->second - wait > factor * cost;
      });
}

const Placement::Estimate& Placement::PickFrom(const Estimates& from,
                                               HealthPreference health) {
  std::uniform_int_distribution<size_t> index(0, from.size() - 1);
  const bool by_health = health == HealthPreference::kLeastLikelyToFail;
  const Estimate* best = &from[index(this->random)];
  for (int i = 1; i < (by_health ? kComparedForHealth : kCompared); ++i) {
    const Estimate* other = &from[index(this->random)];
    const double healthier =
        best->view->failure_probability - other->view->failure_probability;
    const bool is_better =
        by_health && std::abs(healthier) > kSameFailureProbability
            ? healthier > 0
            : other->completion + kSameCompletionMicros < best->completion;
    best = is_better ? other : best;
  }
  return *best;
}

const health::UpstreamView* Placement::PickTrial(
    const std::vector<const health::UpstreamView*>& on_trial,
    bool has_others,
    uint64_t body_bytes) {
  std::bernoulli_distribution send_to_trial(kTrialProbability);
  if (on_trial.empty() || (has_others && !send_to_trial(this->random))) {
    return nullptr;
  }
  std::uniform_int_distribution<size_t> index(0, on_trial.size() - 1);
  const health::UpstreamView* picked = on_trial[index(this->random)];
  const bool is_far = picked->zone != this->options.own_zone &&
                      this->TransferTime(body_bytes) > kMaxTrialTransfer;
  return has_others && is_far ? nullptr : picked;
}

std::optional<PlacementChoice> Placement::Choose(
    const std::vector<PlacementCandidate>& candidates,
    const std::set<std::string>& tried,
    const PlacementRequest& request,
    SpillState& spill) {
  std::vector<const PlacementCandidate*> usable;
  std::vector<const health::UpstreamView*> on_trial;
  for (const PlacementCandidate& candidate : candidates) {
    if (!candidate.view.path_open || tried.contains(candidate.view.id)) {
      continue;
    }
    if (candidate.on_trial) {
      on_trial.push_back(&candidate.view);
    } else {
      usable.push_back(&candidate);
    }
  }
  if (const auto* trial =
          this->PickTrial(on_trial, !usable.empty(), request.body_bytes)) {
    return PlacementChoice{.upstream = trial->id,
                           .reason = PlacementReason::kTrial};
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  std::map<std::string, double> mean_waits;
  Estimates others = this->EstimateAll(usable, request, mean_waits);
  const auto first_other =
      std::partition(others.begin(), others.end(), [&](const Estimate& each) {
        return each.view->zone == this->options.own_zone;
      });
  const Estimates own(others.begin(), first_other);
  others.erase(others.begin(), first_other);
  if (own.empty()) {
    return this->PickFrom(others, request.health)
        .ToChoice(PlacementReason::kOwnZoneUnused);
  }
  const Estimate& in_own_zone = this->PickFrom(own, request.health);
  // The upstreams that a request has tried are not usable to it, so only the
  // first try of a request tells how busy the zones are.
  if (tried.empty()) {
    spill.spilling =
        this->IsSpilling(others, mean_waits, request.objective, spill.spilling);
  }
  if (spill.spilling && !others.empty() && !request.has_crossed_zones) {
    const Estimate& elsewhere = this->PickFrom(others, request.health);
    const double hop_cost =
        Micros(this->HopCost(elsewhere.view->zone, request));
    // The completion elsewhere has the cost of the hop in it once.
    if (in_own_zone.completion - elsewhere.completion >
        (kSpillGain - 1) * hop_cost) {
      return elsewhere.ToChoice(PlacementReason::kSooner);
    }
  }
  return in_own_zone.ToChoice(PlacementReason::kOwnZone);
}

// The work ahead may have ended as fast as the time has passed.
bool Placement::ShowsNoRoom(std::optional<Duration> reported_wait,
                            Duration age,
                            Duration max_wait) {
  return reported_wait.has_value() && age <= kYoungReportAge &&
         *reported_wait - age > max_wait;
}

std::optional<NoRoom> Placement::FindNoRoom(
    const std::vector<PlacementCandidate>& candidates,
    const std::set<std::string>& tried,
    Duration max_wait) {
  std::optional<NoRoom> found;
  for (const PlacementCandidate& candidate : candidates) {
    if (!candidate.view.path_open || tried.contains(candidate.view.id)) {
      continue;
    }
    if (candidate.on_trial ||
        !ShowsNoRoom(candidate.reported_wait, candidate.age, max_wait)) {
      return std::nullopt;
    }
    const Duration room_in =
        *candidate.reported_wait - candidate.age - max_wait;
    found = found.has_value()
                ? NoRoom{.retry_after = std::min(found->retry_after, room_in),
                         .age = std::max(found->age, candidate.age)}
                : NoRoom{.retry_after = room_in, .age = candidate.age};
  }
  if (found.has_value()) {
    std::uniform_real_distribution<double> spread(1, kRetryAfterSpread);
    found->retry_after =
        std::min(FractionOf(std::max(found->retry_after, kMinRetryAfter),
                            spread(this->random)),
                 kMaxRetryAfter);
  }
  return found;
}

}  // namespace kingcupstair::balancing
