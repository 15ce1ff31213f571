#include "components/ingress/rollout_board.h"

#include <algorithm>

namespace kingcupstair::ingress {

void RolloutBoard::Update(const std::vector<membership::HostRecord>& hosts,
                          const config::Configuration& configuration,
                          Instant now) {
  const auto& orders = configuration.rollouts();
  std::erase_if(this->rollouts, [&](const auto& entry) {
    const auto order = orders.find(entry.first);
    return order == orders.end() ||
           order->second.version != entry.second.version;
  });
  for (const auto& [service, rule] : orders) {
    this->AddOrder(rule, now);
  }
  if (this->rollouts.empty()) {
    return;
  }
  std::vector<std::string> alive;
  for (auto& [service, rollout] : this->rollouts) {
    rollout.has_other_version = false;
  }
  for (const membership::HostRecord& host : hosts) {
    if (!host.leaving) {
      alive.push_back(host.host);
    }
    for (const membership::VersionRollback& rollback : host.rollbacks) {
      Rollout* rollout = this->Find(rollback.service);
      if (rollout != nullptr && rollout->version == rollback.version) {
        rollout->judge.Learn();
      }
    }
    for (const membership::UpstreamRecord& upstream : host.upstreams) {
      Rollout* rollout = this->Find(upstream.service);
      if (rollout != nullptr && rollout->version != upstream.version) {
        rollout->has_other_version = true;
      }
    }
  }
  for (auto& [service, rollout] : this->rollouts) {
    rollout.role =
        std::find(alive.begin(), alive.end(), this->options.own_host) ==
                alive.end()
            ? health::CanaryRole()
            : health::CanaryRoleOf(this->options.own_host, alive, service,
                                   rollout.version, this->options.expose_share);
  }
}

void RolloutBoard::AddOrder(const config::RolloutRule& rule, Instant now) {
  if (this->rollouts.contains(rule.service)) {
    return;
  }
  this->rollouts.emplace(
      rule.service,
      Rollout{.version = rule.version,
              .judge = health::RolloutJudge(
                  {.within = rule.within,
                   .ordered_at = now,
                   .host_started_at = this->options.started_at})});
}

RolloutBoard::Rollout* RolloutBoard::Find(const std::string& service) {
  const auto found = this->rollouts.find(service);
  return found == this->rollouts.end() ? nullptr : &found->second;
}

std::optional<std::string> RolloutBoard::HeldBackVersion(
    const std::string& service,
    Instant now) const {
  const auto found = this->rollouts.find(service);
  if (found == this->rollouts.end()) {
    return std::nullopt;
  }
  const Rollout& rollout = found->second;
  const bool is_only_version =
      !rollout.has_other_version && !rollout.judge.is_rolled_back() &&
      now - this->options.started_at >= health::kMinHostAge;
  return is_only_version ? std::nullopt : std::optional(rollout.version);
}

bool RolloutBoard::IsNewVersion(const std::string& service,
                                const std::string& version) const {
  const auto found = this->rollouts.find(service);
  return found != this->rollouts.end() && found->second.has_other_version &&
         found->second.version == version;
}

bool RolloutBoard::TakeTurn(const std::string& service,
                            bool non_idempotent,
                            Instant now) {
  Rollout* rollout = this->Find(service);
  return rollout != nullptr && rollout->is_admitted &&
         rollout->judge.TakeTurn(rollout->role, non_idempotent, now);
}

void RolloutBoard::OnSent(const std::string& service) {
  if (Rollout* rollout = this->Find(service)) {
    rollout->judge.OnSent();
  }
}

void RolloutBoard::OnAttemptEnded(const AttemptEnd& end) {
  Rollout* rollout = this->Find(end.service);
  if (rollout == nullptr) {
    return;
  }
  if (end.new_version) {
    rollout->judge.OnNewVersionResult(end.work_class, end.evidence,
                                      end.latency);
  } else {
    rollout->judge.OnOldVersionResult(end.work_class, end.evidence,
                                      end.latency);
  }
}

void RolloutBoard::OnStoredStatus(const std::string& service,
                                  const std::string& version,
                                  bool is_rolled_back) {
  Rollout* rollout = this->Find(service);
  if (rollout == nullptr || rollout->version != version) {
    return;
  }
  rollout->is_admitted = !is_rolled_back;
  if (is_rolled_back) {
    rollout->judge.Learn();
  }
}

std::vector<health::RolloutState> RolloutBoard::Tick(Instant now) {
  std::vector<health::RolloutState> states;
  for (auto& [service, rollout] : this->rollouts) {
    if (!rollout.has_other_version) {
      continue;
    }
    rollout.judge.Tick(now);
    states.push_back({.service = service,
                      .version = rollout.version,
                      .is_canary = rollout.role.is_canary,
                      .rollback = rollout.judge.rollback_reason()});
  }
  return states;
}

// The end of the time is known to each host without a message.
std::vector<membership::VersionRollback> RolloutBoard::OwnRollbacks() const {
  std::vector<membership::VersionRollback> rollbacks;
  for (const auto& [service, rollout] : this->rollouts) {
    const health::RollbackReason reason = rollout.judge.rollback_reason();
    if (reason == health::RollbackReason::kFailures ||
        reason == health::RollbackReason::kSlow) {
      rollbacks.push_back({.service = service, .version = rollout.version});
    }
  }
  return rollbacks;
}

}  // namespace kingcupstair::ingress
