#include "components/ingress/fleet_board.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

#include "components/base/hash.h"

namespace kingcupstair::ingress {
namespace {

/// For this long, a load report that came with a reply is preferred to gossip.
constexpr Duration kReplyOverridesGossip{std::chrono::seconds(1)};
/// How long the reported number of in-flight requests of an upstream counts
/// towards the mean of its service: several times the duration of a request.
constexpr Duration kLoadReportLifetime{std::chrono::seconds(5)};
/// Time constant with which reports of the health of an upstream lose their
/// weight: the duration of a fault episode.
constexpr Duration kHealthReportMemory{std::chrono::seconds(3)};
/// For this long, a limit that an upstream has named binds without a further
/// response.
constexpr Duration kNamedLimitMemory{std::chrono::minutes(1)};
/// An upstream that has just started is slow, whatever its version. It gets no
/// request as a trial before this time has passed.
constexpr Duration kMinNewVersionAge{std::chrono::seconds(3)};
/// Failure probability of an upstream without a recent report.
constexpr double kUnknownFailureProbability = 0.15;

health::UpstreamView MakeView(const membership::HostRecord& host,
                              const membership::UpstreamRecord& upstream) {
  return {.id = upstream.id,
          .host = host.host,
          .zone = host.zone,
          .version = upstream.version,
          .limit = upstream.limit,
          .slots = upstream.slots,
          .latency = upstream.latency,
          .remaining_work = upstream.remaining_work,
          .error_share = upstream.error_share,
          .finished = upstream.finished,
          .failure_probability = upstream.failure_probability};
}

/// Returns the time until a new request gets a slot. Without a report of that
/// time, the requests ahead of the new one and the latency tell it.
Duration WaitFrom(const rpc::RunResult& result) {
  const membership::UpstreamRecord& report = result.report;
  if (report.remaining_work > Duration{}) {
    return report.remaining_work;
  }
  const int limit = std::max(1, report.limit);
  const int ahead = std::max(0, result.in_flight + result.queued + 1 - limit);
  return report.latency * ahead / limit;
}

/// Returns what a failure probability that was reported `age` ago is now. Old
/// reports say little: a fault episode may have begun or ended since.
double AgedFailureProbability(double reported, Duration age) {
  const double kept =
      std::exp(-ToSeconds(age) / ToSeconds(kHealthReportMemory));
  return kUnknownFailureProbability +
         kept * (reported - kUnknownFailureProbability);
}

}  // namespace

UpstreamRegistry::UpstreamRegistry(Options initial_options)
    : options(std::move(initial_options)),
      rollouts(this->options.rollouts),
      chooser({.own_zone = this->options.own_zone, .seed = this->options.seed}),
      placement({.own_zone = this->options.own_zone,
                 .seed = this->options.seed,
                 .link_mbps = this->options.link_mbps}) {}

void UpstreamRegistry::Update(const std::vector<membership::HostRecord>& hosts,
                              const config::Configuration& configuration,
                              Instant now) {
  UpstreamsByService listed = this->ListUpstreams(hosts, configuration);
  const std::lock_guard lock(this->mutex);
  this->rollouts.Update(hosts, configuration, now);
  std::erase_if(this->services, [&](const auto& entry) {
    return !listed.contains(entry.first);
  });
  std::erase_if(this->named_limits, [&](const auto& entry) {
    return now - entry.second.heard_at > kNamedLimitMemory;
  });
  std::erase_if(this->room_at,
                [&](const auto& entry) { return entry.second <= now; });
  this->service_of.clear();
  for (auto& [name, upstreams] : listed) {
    const auto* rule = configuration.FindService(name);
    const double floor = rule == nullptr ? 1 : rule->floor;
    auto found = this->services.find(name);
    if (found != this->services.end() && found->second.floor != floor) {
      this->services.erase(found);
      found = this->services.end();
    }
    if (found == this->services.end()) {
      found = this->services.emplace(name, Service(floor)).first;
    }
    for (const auto& [id, known] : upstreams) {
      this->service_of[id] = name;
    }
    MergeUpstreams(found->second, std::move(upstreams), now);
  }
}

UpstreamRegistry::UpstreamsByService UpstreamRegistry::ListUpstreams(
    const std::vector<membership::HostRecord>& hosts,
    const config::Configuration& configuration) const {
  UpstreamsByService listed;
  for (const membership::HostRecord& host : hosts) {
    if (host.leaving || configuration.IsZoneOutOfService(host.zone)) {
      continue;
    }
    for (const membership::UpstreamRecord& upstream : host.upstreams) {
      if (!configuration.IsUpstreamOutOfService(upstream.id)) {
        listed[upstream.service][upstream.id] = {
            .view = MakeView(host, upstream),
            .incarnation = host.incarnation,
            .record_version = host.version};
        if (upstream.remaining_work > Duration{}) {
          listed[upstream.service][upstream.id].wait_report.wait =
              upstream.remaining_work;
        }
      }
    }
  }
  return listed;
}

void UpstreamRegistry::MergeUpstreams(
    Service& service,
    std::map<std::string, UpstreamState> listed,
    Instant now) {
  for (auto& [id, known] : listed) {
    const auto before = service.upstreams.find(id);
    known.health_reported_at = now;
    known.wait_report.reported_at = now;
    known.known_since = now;
    if (before == service.upstreams.end()) {
      continue;
    }
    known.known_since = before->second.known_since;
    KeepNewerWaitReport(before->second, known, now);
    const health::UpstreamView& old = before->second.view;
    if (known.view.finished == old.finished) {
      known.view.failure_probability = old.failure_probability;
      known.health_reported_at = before->second.health_reported_at;
    }
    if (now - before->second.replied_at > kReplyOverridesGossip) {
      continue;
    }
    health::UpstreamView view = before->second.view;
    view.host = known.view.host;
    view.zone = known.view.zone;
    view.version = known.view.version;
    known.view = view;
    known.replied_at = before->second.replied_at;
    known.health_reported_at = before->second.health_reported_at;
  }
  service.upstreams = std::move(listed);
  service.has_new_reports = true;
}

// The list of hosts has all records each time, also those that came earlier. A
// record that comes just after a reply may have been made before it.
void UpstreamRegistry::KeepNewerWaitReport(const UpstreamState& before,
                                           UpstreamState& listed,
                                           Instant now) {
  if (listed.incarnation != before.incarnation) {
    return;
  }
  const bool is_new_report = listed.wait_report.wait.has_value() &&
                             listed.record_version != before.record_version &&
                             now - before.replied_at > kReplyOverridesGossip;
  if (!is_new_report) {
    listed.wait_report = before.wait_report;
  }
}

void UpstreamRegistry::OnLoadReport(const rpc::RunResult& result, Instant now) {
  const std::lock_guard lock(this->mutex);
  const auto service = this->services.find(result.report.service);
  if (service == this->services.end()) {
    return;
  }
  const auto found = service->second.upstreams.find(result.report.id);
  if (found == service->second.upstreams.end()) {
    return;
  }
  health::UpstreamView& view = found->second.view;
  view.in_flight = result.in_flight;
  view.queued = result.queued;
  view.limit = result.report.limit;
  view.latency = result.report.latency;
  view.remaining_work = result.report.remaining_work;
  view.error_share = result.report.error_share;
  view.finished = result.report.finished;
  view.failure_probability = result.report.failure_probability;
  found->second.health_reported_at = now;
  found->second.replied_at = now;
  found->second.wait_report = {.wait = WaitFrom(result), .reported_at = now};
  service->second.has_new_reports = true;
}

void UpstreamRegistry::OnResponse(const rpc::RunResult& result, Instant now) {
  this->OnLoadReport(result, now);
  const std::lock_guard lock(this->mutex);
  if (result.report.named_rate > 0) {
    this->named_limits[result.report.id] = {.rate = result.report.named_rate,
                                            .heard_at = now};
  } else {
    this->named_limits.erase(result.report.id);
  }
}

void UpstreamRegistry::OnNoRoom(const std::string& upstream,
                                Duration time,
                                Instant now) {
  const std::lock_guard lock(this->mutex);
  this->room_at[upstream] = now + time;
}

double UpstreamRegistry::NamedRate(const std::string& upstream) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->named_limits.find(upstream);
  return found == this->named_limits.end() ? 0 : found->second.rate;
}

void UpstreamRegistry::OnPathReached(const std::string& host) {
  const std::lock_guard lock(this->mutex);
  this->paths.OnReached(host);
}

void UpstreamRegistry::OnPathLost(const std::string& host, Instant now) {
  const std::lock_guard lock(this->mutex);
  this->paths.OnUnreachable(host, now);
}

std::vector<health::EjectionChange> UpstreamRegistry::UpdateEjections(
    Instant now) {
  const std::lock_guard lock(this->mutex);
  std::vector<health::EjectionChange> changes;
  for (auto& [name, service] : this->services) {
    if (!service.has_new_reports && !service.planner.HasEjectedOrSuspected()) {
      continue;
    }
    service.has_new_reports = false;
    const auto held_back = this->rollouts.HeldBackVersion(name, now);
    std::vector<health::UpstreamView> views;
    for (const auto& [id, known] : service.upstreams) {
      if (known.view.version != held_back) {
        views.push_back(known.view);
      }
    }
    for (auto& change : service.planner.Plan(views, now)) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

int UpstreamRegistry::HalfMeanInFlight(const std::string& name,
                                       Instant now) const {
  const std::lock_guard lock(this->mutex);
  const auto service = this->services.find(name);
  if (service == this->services.end()) {
    return 0;
  }
  int sum = 0;
  int known = 0;
  for (const auto& [id, upstream] : service->second.upstreams) {
    if (now - upstream.replied_at < kLoadReportLifetime) {
      sum += upstream.view.in_flight;
      ++known;
    }
  }
  return known == 0 ? 0 : sum / known / 2;
}

std::vector<balancing::Candidate> UpstreamRegistry::Candidates(
    const std::string& name,
    const Service& service,
    Instant now) const {
  const auto held_back = this->rollouts.HeldBackVersion(name, now);
  return this->CandidatesIf(
      service,
      [&](const UpstreamState& known) {
        return known.view.version != held_back;
      },
      now);
}

std::vector<balancing::Candidate> UpstreamRegistry::CandidatesIf(
    const Service& service,
    const std::function<bool(const UpstreamState&)>& is_eligible,
    Instant now) const {
  std::vector<balancing::Candidate> candidates;
  for (const auto& [id, known] : service.upstreams) {
    if (!is_eligible(known)) {
      continue;
    }
    const bool on_trial = service.planner.IsOnTrial(id, now);
    if (service.planner.IsEjected(id) && !on_trial) {
      continue;
    }
    balancing::Candidate candidate{.view = known.view, .on_trial = on_trial};
    candidate.view.failure_probability = AgedFailureProbability(
        known.view.failure_probability, now - known.health_reported_at);
    candidate.view.path_open = this->paths.IsOpen(known.view.host, now);
    candidates.push_back(std::move(candidate));
  }
  const auto has_room = [&](const balancing::Candidate& candidate) {
    const auto found = this->room_at.find(candidate.view.id);
    return found == this->room_at.end() || found->second <= now;
  };
  if (std::any_of(candidates.begin(), candidates.end(), has_room)) {
    std::erase_if(candidates, std::not_fn(has_room));
  }
  return candidates;
}

std::vector<balancing::PlacementCandidate>
UpstreamRegistry::PlacementCandidates(const std::string& name,
                                      const Service& service,
                                      Instant now) const {
  std::vector<balancing::PlacementCandidate> candidates;
  for (balancing::Candidate& candidate : this->Candidates(name, service, now)) {
    const WaitReport& report =
        service.upstreams.at(candidate.view.id).wait_report;
    candidates.push_back({.view = std::move(candidate.view),
                          .on_trial = candidate.on_trial,
                          .reported_wait = report.wait,
                          .age = now - report.reported_at,
                          .sent_since_report = report.sent});
  }
  return candidates;
}

bool UpstreamRegistry::PlacesByWork(const std::string& name,
                                    Instant now) const {
  if (!this->options.place_by_work) {
    return false;
  }
  const std::lock_guard lock(this->mutex);
  const auto service = this->services.find(name);
  return service != this->services.end() &&
         std::any_of(
             service->second.upstreams.begin(), service->second.upstreams.end(),
             [&](const auto& entry) {
               const WaitReport& report = entry.second.wait_report;
               return report.wait.has_value() &&
                      balancing::Placement::IsRecent(now - report.reported_at);
             });
}

std::optional<PlacedUpstream> UpstreamRegistry::Place(
    const std::string& name,
    const std::set<std::string>& tried,
    const balancing::PlacementRequest& request,
    Instant now) {
  const std::lock_guard lock(this->mutex);
  const auto service = this->services.find(name);
  if (service == this->services.end()) {
    return std::nullopt;
  }
  const auto placed = this->placement.Choose(
      this->PlacementCandidates(name, service->second, now), tried, request,
      service->second.spill);
  if (!placed.has_value()) {
    return std::nullopt;
  }
  ++service->second.upstreams.at(placed->upstream).wait_report.sent;
  return PlacedUpstream{
      .choice = this->LocateUpstream(service->second, placed->upstream),
      .reason = placed->reason,
      .expects_wait = placed->expects_wait};
}

std::optional<balancing::NoRoom> UpstreamRegistry::FindNoRoom(
    const std::string& name,
    const std::set<std::string>& tried,
    Duration max_wait,
    Instant now) {
  const std::lock_guard lock(this->mutex);
  const auto service = this->services.find(name);
  if (service == this->services.end()) {
    return std::nullopt;
  }
  // Mostly there is room, which is found without copies of all candidates.
  const auto may_have_room = [&](const auto& entry) {
    const auto& [id, known] = entry;
    return !balancing::Placement::ShowsNoRoom(
               known.wait_report.wait, now - known.wait_report.reported_at,
               max_wait) &&
           !service->second.planner.IsEjected(id) && !tried.contains(id) &&
           this->paths.IsOpen(known.view.host, now);
  };
  if (std::any_of(service->second.upstreams.begin(),
                  service->second.upstreams.end(), may_have_room)) {
    return std::nullopt;
  }
  return this->placement.FindNoRoom(
      this->PlacementCandidates(name, service->second, now), tried, max_wait);
}

PlacementPreview UpstreamRegistry::Preview(
    const std::string& name,
    const balancing::PlacementRequest& request,
    Duration max_wait,
    Instant now) const {
  PlacementPreview preview{.by_work = this->PlacesByWork(name, now)};
  const std::lock_guard lock(this->mutex);
  const auto found = this->services.find(name);
  if (found == this->services.end()) {
    return preview;
  }
  const Service& service = found->second;
  for (const auto& [id, known] : service.upstreams) {
    const auto room = this->room_at.find(id);
    const char* state = "usable";
    if (service.planner.IsEjected(id)) {
      state = service.planner.IsOnTrial(id, now) ? "trial" : "ejected";
    } else if (!this->paths.IsOpen(known.view.host, now)) {
      state = "unreachable";
    } else if (room != this->room_at.end() && room->second > now) {
      state = "no-room";
    }
    preview.upstreams.push_back(
        {.candidate = {.view = known.view,
                       .reported_wait = known.wait_report.wait,
                       .age = now - known.wait_report.reported_at,
                       .sent_since_report = known.wait_report.sent},
         .state = state});
  }
  // Copies make the choice, so that its random numbers and state stay.
  balancing::Placement placement_copy = this->placement;
  if (preview.by_work) {
    const auto candidates = this->PlacementCandidates(name, service, now);
    balancing::SpillState spill = service.spill;
    preview.no_room = placement_copy.FindNoRoom(candidates, {}, max_wait);
    if (const auto placed =
            placement_copy.Choose(candidates, {}, request, spill)) {
      preview.placed = {
          .choice = this->LocateUpstream(service, placed->upstream),
          .reason = placed->reason,
          .expects_wait = placed->expects_wait};
    }
    return preview;
  }
  balancing::Chooser chooser_copy = this->chooser;
  if (const auto chosen = chooser_copy.Choose(
          this->Candidates(name, service, now), {},
          balancing::ZonePreference::kOwnZone, request.health)) {
    preview.placed = {.choice = this->LocateUpstream(service, *chosen)};
  }
  return preview;
}

void UpstreamRegistry::OnRoundTrip(const std::string& upstream, Duration time) {
  const std::lock_guard lock(this->mutex);
  const auto name = this->service_of.find(upstream);
  if (name == this->service_of.end()) {
    return;
  }
  const auto& upstreams = this->services.at(name->second).upstreams;
  if (const auto found = upstreams.find(upstream); found != upstreams.end()) {
    this->placement.OnRoundTrip(found->second.view.zone, time);
  }
}

ChosenUpstream UpstreamRegistry::LocateUpstream(
    const Service& service,
    const std::string& upstream) const {
  const UpstreamState& known = service.upstreams.at(upstream);
  return {.upstream = upstream,
          .host = known.view.host,
          .incarnation = known.incarnation,
          .in_other_zone = known.view.zone != this->options.own_zone};
}

std::optional<ChosenUpstream> UpstreamRegistry::Choose(
    const std::string& name,
    const std::set<std::string>& tried,
    balancing::ZonePreference reach,
    balancing::HealthPreference health,
    Instant now) {
  const std::lock_guard lock(this->mutex);
  const auto service = this->services.find(name);
  if (service == this->services.end()) {
    return std::nullopt;
  }
  const auto chosen = this->chooser.Choose(
      this->Candidates(name, service->second, now), tried, reach, health);
  if (!chosen.has_value()) {
    return std::nullopt;
  }
  return LocateUpstream(service->second, *chosen);
}

std::optional<ChosenUpstream> UpstreamRegistry::ChooseNewVersion(
    const std::string& name,
    bool non_idempotent,
    Instant now) {
  const std::lock_guard lock(this->mutex);
  const auto service = this->services.find(name);
  if (service == this->services.end() ||
      !this->rollouts.TakeTurn(name, non_idempotent, now)) {
    return std::nullopt;
  }
  const auto is_eligible = [&](const UpstreamState& known) {
    return this->rollouts.IsNewVersion(name, known.view.version) &&
           now - known.known_since >= kMinNewVersionAge;
  };
  const auto chosen = this->chooser.Choose(
      this->CandidatesIf(service->second, is_eligible, now), {},
      balancing::ZonePreference::kOwnZone);
  if (!chosen.has_value()) {
    return std::nullopt;
  }
  return LocateUpstream(service->second, *chosen);
}

bool UpstreamRegistry::OnAttemptStarted(const std::string& name,
                                        const std::string& upstream) {
  const std::lock_guard lock(this->mutex);
  const auto service = this->services.find(name);
  if (service == this->services.end()) {
    return false;
  }
  const auto found = service->second.upstreams.find(upstream);
  if (found == service->second.upstreams.end() ||
      !this->rollouts.IsNewVersion(name, found->second.view.version)) {
    return false;
  }
  this->rollouts.OnSent(name);
  return true;
}

void UpstreamRegistry::OnAttemptEnded(const AttemptEnd& end) {
  const std::lock_guard lock(this->mutex);
  this->rollouts.OnAttemptEnded(end);
}

std::vector<health::RolloutState> UpstreamRegistry::TickRollouts(Instant now) {
  const std::lock_guard lock(this->mutex);
  return this->rollouts.Tick(now);
}

void UpstreamRegistry::OnStoredStatus(const std::string& service,
                                      const std::string& version,
                                      bool is_rolled_back) {
  const std::lock_guard lock(this->mutex);
  this->rollouts.OnStoredStatus(service, version, is_rolled_back);
}

std::vector<membership::VersionRollback> UpstreamRegistry::OwnRollbacks()
    const {
  const std::lock_guard lock(this->mutex);
  return this->rollouts.OwnRollbacks();
}

// The home host is the host with the highest hash of host and key (rendezvous
// hashing). Ejections and paths don't influence which host that is, since every
// ingress has to find the same home host for a key.
std::optional<ChosenUpstream> UpstreamRegistry::ChooseOnHomeHost(
    const std::string& name,
    const std::string& key,
    Instant now) {
  const std::lock_guard lock(this->mutex);
  const auto service = this->services.find(name);
  if (service == this->services.end()) {
    return std::nullopt;
  }
  const auto held_back = this->rollouts.HeldBackVersion(name, now);
  std::map<uint64_t, std::string> ranked;
  for (const auto& [id, known] : service->second.upstreams) {
    if (known.view.version == held_back) {
      continue;
    }
    ranked[StableHash(key, StableHash(known.view.host))] = known.view.host;
  }
  if (ranked.empty()) {
    return std::nullopt;
  }
  auto candidates = this->Candidates(name, service->second, now);
  std::erase_if(candidates, [&](const balancing::Candidate& candidate) {
    return candidate.view.host != ranked.rbegin()->second;
  });
  for (balancing::Candidate& candidate : candidates) {
    candidate.view.path_open = true;
  }
  const auto chosen =
      this->chooser.Choose(candidates, {}, balancing::ZonePreference::kAnyZone);
  if (!chosen.has_value()) {
    return std::nullopt;
  }
  return LocateUpstream(service->second, *chosen);
}

}  // namespace kingcupstair::ingress
