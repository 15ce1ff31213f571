#include "components/balancing/chooser.h"

#include <algorithm>

namespace kingcupstair::balancing {
namespace {

/// What a hop to another availability zone costs, as a factor.
constexpr double kOtherZoneFactor = 1.3;
/// Share of choices given to an upstream on trial, if there is one.
constexpr double kTrialShare = 0.1;
/// Latency in microseconds added to every upstream's, so that one without any
/// answers yet is not preferred without bound.
constexpr double kLatencyOffset = 1'000;

}  // namespace

Chooser::Chooser(Options options)
    : options(std::move(options)), random(this->options.seed) {}

std::optional<std::string> Chooser::Choose(
    const std::vector<Candidate>& candidates,
    const std::set<std::string>& tried,
    Reach reach) {
  std::vector<const health::UpstreamView*> usable;
  std::vector<const health::UpstreamView*> trials;
  for (const Candidate& candidate : candidates) {
    if (!candidate.view.path_open || tried.contains(candidate.view.id)) {
      continue;
    }
    (candidate.on_trial ? trials : usable).push_back(&candidate.view);
  }
  const auto pick = [&](const auto& from) {
    std::uniform_int_distribution<size_t> index(0, from.size() - 1);
    return from[index(this->random)];
  };
  std::bernoulli_distribution trial(kTrialShare);
  if (!trials.empty() && (usable.empty() || trial(this->random))) {
    return pick(trials)->id;
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  if (reach == Reach::kOwnZone) {
    this->KeepOwnZone(usable);
    return pick(usable)->id;
  }
  const health::UpstreamView* first = pick(usable);
  const health::UpstreamView* second = pick(usable);
  return this->Cost(*second) < this->Cost(*first) ? second->id : first->id;
}

// What ingresses know of in-flight requests is old, and all of them together
// would run to the upstream that last looked best.
void Chooser::KeepOwnZone(
    std::vector<const health::UpstreamView*>& usable) const {
  const auto elsewhere = [this](const health::UpstreamView* view) {
    return view->zone != this->options.own_zone;
  };
  if (!std::all_of(usable.begin(), usable.end(), elsewhere)) {
    std::erase_if(usable, elsewhere);
  }
}

// The expected time in the upstream: what is ahead, over what it runs at once,
// times how long each takes.
double Chooser::Cost(const health::UpstreamView& view) const {
  const double ahead = view.in_flight + view.queued + 1;
  const double latency =
      static_cast<double>(view.latency.count()) + kLatencyOffset;
  const double zone =
      view.zone == this->options.own_zone ? 1 : kOtherZoneFactor;
  return ahead / std::max(1, view.limit) * latency * zone;
}

}  // namespace kingcupstair::balancing
