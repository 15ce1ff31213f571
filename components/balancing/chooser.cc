#include "components/balancing/chooser.h"

#include <algorithm>

namespace kingcupstair::balancing {
namespace {

/// Factor on the cost of an upstream in another availability zone, for the
/// additional network hop.
constexpr double kOtherZoneFactor = 1.3;
/// Probability that a request goes to an upstream on trial, if there is one.
constexpr double kTrialProbability = 0.1;
/// Added to the latency of every upstream, so that an upstream without
/// responses yet, whose latency is 0, is not preferred regardless of its load.
constexpr double kLatencyOffsetMicros = 1'000;
/// Number of random upstreams of which the one that is least likely to be
/// failing is taken. With more, all ingresses would take the same few.
constexpr int kComparedForHealth = 3;

}  // namespace

Chooser::Chooser(Options options)
    : options(std::move(options)), random(this->options.seed) {}

std::optional<std::string> Chooser::Choose(
    const std::vector<Candidate>& candidates,
    const std::set<std::string>& tried,
    ZonePreference reach,
    HealthPreference health) {
  std::vector<const health::UpstreamView*> usable;
  std::vector<const health::UpstreamView*> views_on_trial;
  for (const Candidate& candidate : candidates) {
    if (!candidate.view.path_open || tried.contains(candidate.view.id)) {
      continue;
    }
    (candidate.on_trial ? views_on_trial : usable).push_back(&candidate.view);
  }
  const auto pick = [&](const auto& from) {
    std::uniform_int_distribution<size_t> index(0, from.size() - 1);
    return from[index(this->random)];
  };
  std::bernoulli_distribution send_to_trial(kTrialProbability);
  if (!views_on_trial.empty() &&
      (usable.empty() || send_to_trial(this->random))) {
    return pick(views_on_trial)->id;
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  // Within the own availability zone the choice is random instead of by cost.
  // The in-flight counts that ingresses have are stale, so all ingresses would
  // choose the upstream with the lowest last known cost at the same time.
  if (reach == ZonePreference::kOwnZone) {
    this->KeepOwnZone(usable);
  }
  if (health == HealthPreference::kLeastLikelyToFail) {
    return this->PickLeastLikelyToFail(usable)->id;
  }
  if (reach == ZonePreference::kOwnZone) {
    return pick(usable)->id;
  }
  const health::UpstreamView* first = pick(usable);
  const health::UpstreamView* second = pick(usable);
  return this->Cost(*second) < this->Cost(*first) ? second->id : first->id;
}

const health::UpstreamView* Chooser::PickLeastLikelyToFail(
    const std::vector<const health::UpstreamView*>& usable) {
  std::uniform_int_distribution<size_t> index(0, usable.size() - 1);
  const health::UpstreamView* best = usable[index(this->random)];
  for (int i = 1; i < kComparedForHealth; ++i) {
    const health::UpstreamView* other = usable[index(this->random)];
    if (other->failure_probability < best->failure_probability) {
      best = other;
    }
  }
  return best;
}

void Chooser::KeepOwnZone(
    std::vector<const health::UpstreamView*>& usable) const {
  const auto in_other_zone = [this](const health::UpstreamView* view) {
    return view->zone != this->options.own_zone;
  };
  if (!std::all_of(usable.begin(), usable.end(), in_other_zone)) {
    std::erase_if(usable, in_other_zone);
  }
}

// The expected time in the upstream: the requests ahead, with the new one,
// divided by the concurrency limit and multiplied by the latency of one
// request.
double Chooser::Cost(const health::UpstreamView& view) const {
  const double requests_ahead = view.in_flight + view.queued + 1;
  const double latency =
      static_cast<double>(view.latency.count()) + kLatencyOffsetMicros;
  const double zone_factor =
      view.zone == this->options.own_zone ? 1 : kOtherZoneFactor;
  return requests_ahead / std::max(1, view.limit) * latency * zone_factor;
}

}  // namespace kingcupstair::balancing
