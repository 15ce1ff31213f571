#include <CppUTest/TestHarness.h>

#include "components/ingress/fleet_board.h"

namespace kingcupstair::ingress {
namespace {

constexpr char kOwnHost[] = "host-0";
constexpr char kService[] = "lote";
constexpr char kNewVersion[] = "v2";
constexpr int kHosts = 4;
/// Time at which the hosts have run for long enough.
constexpr Instant kSettled{std::chrono::minutes(1)};

config::Configuration MakeConfiguration(bool ordered) {
  std::string rules = "service lote # asked by: R\n";
  if (ordered) {
    rules += "rollout lote version v2 within 15s # asked by: R\n";
  }
  return std::get<config::Configuration>(
      config::Configuration::Build(1, rules));
}

/// Each host has one upstream of each of `versions`.
std::vector<membership::HostRecord> MakeHosts(
    const std::vector<std::string>& versions) {
  std::vector<membership::HostRecord> hosts;
  for (int i = 0; i < kHosts; ++i) {
    const std::string name = "host-" + std::to_string(i);
    membership::HostRecord host{.host = name, .incarnation = 1};
    for (const std::string& version : versions) {
      host.upstreams.push_back({.id = version + "@" + name,
                                .service = kService,
                                .version = version});
    }
    hosts.push_back(host);
  }
  return hosts;
}

TEST_GROUP(RolloutChoice) {
  // With this share each host is a canary host.
  UpstreamRegistry registry{
      {.rollouts = {.own_host = kOwnHost, .expose_share = 2}}};

  bool IsNewVersionChosen(Instant now) {
    for (int i = 0; i < 200; ++i) {
      const auto chosen = this->registry.Choose(
          kService, {}, balancing::ZonePreference::kAnyZone,
          balancing::HealthPreference::kAny, now);
      const auto home =
          this->registry.ChooseOnHomeHost(kService, std::to_string(i), now);
      for (const auto& choice : {chosen, home}) {
        if (!choice.has_value()) {
          FAIL("no upstream");
        }
        if (choice->upstream.rfind(kNewVersion, 0) == 0) {
          return true;
        }
      }
    }
    return false;
  }

  int CountTrials(Instant now) {
    int trials = 0;
    for (int i = 0; i < 10; ++i) {
      const auto trial = this->registry.ChooseNewVersion(kService, false, now);
      if (trial.has_value()) {
        STRCMP_EQUAL(kNewVersion, trial->upstream.substr(0, 2).c_str());
        ++trials;
      }
    }
    return trials;
  }
};

TEST(RolloutChoice, TheVersionAloneChangesNothing) {
  this->registry.Update(MakeHosts({"v1", "v2"}), MakeConfiguration(false),
                        kSettled);
  CHECK(this->IsNewVersionChosen(kSettled));
  LONGS_EQUAL(0, this->CountTrials(kSettled));
}

// Without an order a faulty version got its full share of requests.
TEST(RolloutChoice, AnOrderedVersionGetsOnlyTrials) {
  this->registry.Update(MakeHosts({"v1", "v2"}), MakeConfiguration(true),
                        kSettled);
  const Instant later = kSettled + std::chrono::seconds(4);
  CHECK_FALSE(this->IsNewVersionChosen(later));
  // The store may have a verdict.
  LONGS_EQUAL(0, this->CountTrials(later));
  this->registry.OnStoredStatus(kService, kNewVersion, false);
  // Upstreams that have just started are slow.
  LONGS_EQUAL(0, this->CountTrials(kSettled));
  CHECK(this->CountTrials(later) > 0);
  CHECK_FALSE(this->IsNewVersionChosen(later));
}

TEST(RolloutChoice, AVerdictOfAnotherHostEndsTheTrials) {
  auto hosts = MakeHosts({"v1", "v2"});
  this->registry.Update(hosts, MakeConfiguration(true), kSettled);
  this->registry.OnStoredStatus(kService, kNewVersion, false);
  const Instant later = kSettled + std::chrono::seconds(4);
  CHECK(this->CountTrials(later) > 0);
  hosts[1].rollbacks = {{.service = kService, .version = kNewVersion}};
  this->registry.Update(hosts, MakeConfiguration(true), later);
  LONGS_EQUAL(0, this->CountTrials(later));
  CHECK_FALSE(this->IsNewVersionChosen(later));
  CHECK(this->registry.OwnRollbacks().empty());
}

TEST(RolloutChoice, FailuresAreAVerdictThatIsPublished) {
  this->registry.Update(MakeHosts({"v1", "v2"}), MakeConfiguration(true),
                        kSettled);
  this->registry.OnStoredStatus(kService, kNewVersion, false);
  CHECK(this->registry.OnAttemptStarted(kService, "v2@host-1"));
  CHECK_FALSE(this->registry.OnAttemptStarted(kService, "v1@host-1"));
  for (int i = 0; i < 10; ++i) {
    this->registry.OnAttemptEnded(
        {.service = kService,
         .new_version = true,
         .evidence = health::VersionEvidence::kFailed});
  }
  const std::vector<membership::VersionRollback> expected{
      {.service = kService, .version = kNewVersion}};
  CHECK(this->registry.OwnRollbacks() == expected);
  CHECK(this->registry.TickRollouts(kSettled).front().rollback ==
        health::RollbackReason::kFailures);
}

// An order may stand after all upstreams of other versions have ended. The
// service would be left without upstreams.
TEST(RolloutChoice, TheOnlyVersionIsChosen) {
  this->registry.Update(MakeHosts({"v2"}), MakeConfiguration(true), kSettled);
  CHECK(this->IsNewVersionChosen(kSettled));
  // Neither failures nor the end of the time take the last version away.
  for (int i = 0; i < 10; ++i) {
    this->registry.OnAttemptEnded(
        {.service = kService,
         .new_version = this->registry.OnAttemptStarted(kService, "v2@host-1"),
         .evidence = health::VersionEvidence::kFailed});
  }
  const Instant later = kSettled + std::chrono::minutes(5);
  CHECK(this->registry.TickRollouts(later).empty());
  CHECK(this->IsNewVersionChosen(later));
}

}  // namespace
}  // namespace kingcupstair::ingress
