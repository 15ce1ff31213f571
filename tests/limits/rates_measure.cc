// Measures the cost of enforcing rate limits by lent shares: the fraction of
// requests refused although the organisation is within its rate limit, and the
// largest excess over the rate limit. Both are compared with a static split of
// the rate limit among the hosts and with a single owner under a lease.

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <utility>

#include "tests/limits/join_simulation.h"
#include "tests/limits/rate_limit_simulation.h"
#include "tests/support/times.h"

namespace kingcupstair {
namespace {

constexpr int kHosts = 6;
constexpr limits::RateLimit kLimit{.rate = 100, .depth = 50};
constexpr double kRequestsPerSecond = 90;
constexpr int64_t kWarmUpMillis = 5'000;
constexpr int64_t kRunMillis = 120'000;
// Time until all hosts have detected a failed host.
constexpr int64_t kFailureDetectionMillis = 4'000;
constexpr int64_t kOwnerLeaseMillis = 10'000;
// Fractions of the requests by host. Callers keep to their hosts, so the load
// is uneven.
constexpr std::array<double, kHosts> kHostWeights{0.5, 0.2,  0.1,
                                                  0.1, 0.05, 0.05};

// Faults during a run, in milliseconds from the start of the run. -1 stands for
// no fault.
struct Scenario {
  const char* name;
  // Host 0, the pool host or owner of the rate limit, ends and restarts.
  int64_t killed_from = -1;
  int64_t killed_until = -1;
  // Host 0 is frozen.
  int64_t frozen_from = -1;
  int64_t frozen_until = -1;
  // The store is unavailable.
  int64_t store_out_from = -1;
  int64_t store_out_until = -1;
};

bool Within(int64_t now, int64_t from, int64_t until) {
  return now >= from && now < until;
}

struct Totals {
  int requests = 0;
  int granted = 0;
  double excess = 0;

  double RefusedFraction() const {
    return 1 - static_cast<double>(this->granted) / this->requests;
  }
};

// Calls `tick(now)` for each millisecond of a run, and `arrive(now, host)` for
// each request. Callers avoid a host that is killed or frozen.
void ForEachArrival(const Scenario& scenario,
                    const std::function<void(int64_t, int)>& arrive,
                    const std::function<void(int64_t)>& tick) {
  std::mt19937_64 random(7);
  std::discrete_distribution<int> host(kHostWeights.begin(),
                                       kHostWeights.end());
  double next_arrival = kWarmUpMillis;
  for (int64_t now = 0; now < kRunMillis; ++now) {
    tick(now);
    for (; next_arrival <= static_cast<double>(now);
         next_arrival += 1000 / kRequestsPerSecond) {
      int at = host(random);
      const bool failed =
          Within(now, scenario.killed_from, scenario.killed_until) ||
          Within(now, scenario.frozen_from, scenario.frozen_until);
      while (failed && at == 0) {
        at = host(random);
      }
      arrive(now, at);
    }
  }
}

Totals RunLentShares(const Scenario& scenario) {
  RateLimitSimulation simulation({.hosts = kHosts, .limit = kLimit});
  Totals totals;
  const auto pool_host_failed = [&](int64_t now) {
    return Within(now, scenario.killed_from, scenario.killed_until) ||
           Within(now, scenario.frozen_from, scenario.frozen_until);
  };
  const auto pool_host_at = [&](int64_t now) {
    const int64_t failed_from =
        std::max(scenario.killed_from, scenario.frozen_from);
    const bool detected = failed_from >= 0 && pool_host_failed(now) &&
                          now - failed_from >= kFailureDetectionMillis;
    return detected ? 1 : 0;
  };
  const auto tick = [&](int64_t now) {
    simulation.Advance(Millis(1));
    if (now == scenario.killed_until) {
      simulation.Restart(0);
    }
    if (now == scenario.frozen_from) {
      simulation.Freeze(0,
                        Millis(scenario.frozen_until - scenario.frozen_from));
    }
    const int pool = pool_host_at(now);
    if (now % 500 == 0 && !(pool == 0 && pool_host_failed(now))) {
      for (int lender = 0; lender < kHosts; ++lender) {
        if (lender != 0 || !pool_host_failed(now)) {
          simulation.RequestLoan(pool, lender, Millis(1), Millis(1));
        }
      }
    }
  };
  const auto arrive = [&](int64_t now, int host) {
    ++totals.requests;
    const int pool = pool_host_at(now);
    if (pool == 0 && pool_host_failed(now)) {
      simulation.RequestLoan(host, host, Millis(0), Millis(0));
      simulation.Advance(Millis(0));
      simulation.RequestPermits(host, host, 1, Millis(0), Millis(0));
    } else {
      simulation.RequestPermits(host, pool, 1, Millis(1), Millis(1));
    }
  };
  ForEachArrival(scenario, arrive, tick);
  simulation.Advance(Millis(1'000));
  totals.granted = simulation.started();
  totals.excess = simulation.excess();
  return totals;
}

Totals RunStaticSplit(const Scenario& scenario) {
  std::vector<limits::TokenBucket> buckets(kHosts, limits::TokenBucket(At(0)));
  IdealBucket ideal(kLimit, At(0));
  Totals totals;
  const auto arrive = [&](int64_t now, int host) {
    auto& bucket = buckets[static_cast<size_t>(host)];
    bucket.Refill(limits::Scaled(kLimit, 1.0 / kHosts), At(now));
    ++totals.requests;
    if (bucket.Take(1) == 1) {
      ++totals.granted;
      ideal.Spend(At(now));
    }
  };
  ForEachArrival(scenario, arrive, [](int64_t) {});
  totals.excess = ideal.excess();
  return totals;
}

// One host owns the whole rate limit under a lease in the store. If the owner
// fails, another host takes over when the lease expires. While the store is
// unavailable, no host can renew the lease. A frozen owner that resumes goes on
// spending until the owner checks its lease again.
Totals RunOneOwner(const Scenario& scenario) {
  limits::TokenBucket first_owner(At(0));
  limits::TokenBucket second_owner(At(0));
  IdealBucket ideal(kLimit, At(0));
  Totals totals;
  const auto arrive = [&](int64_t now, int) {
    const bool store_out =
        Within(now, scenario.store_out_from, scenario.store_out_until) &&
        now - scenario.store_out_from > kOwnerLeaseMillis;
    const bool failed =
        Within(now, scenario.killed_from, scenario.killed_until) ||
        Within(now, scenario.frozen_from, scenario.frozen_until);
    const int64_t failed_from =
        std::max(scenario.killed_from, scenario.frozen_from);
    const bool taken_over =
        failed_from >= 0 && now - failed_from > kOwnerLeaseMillis;
    const bool resumed =
        scenario.frozen_until >= 0 &&
        Within(now, scenario.frozen_until, scenario.frozen_until + 1'000);
    ++totals.requests;
    if (store_out || (failed && !taken_over)) {
      return;
    }
    const bool to_resumed_owner = resumed && totals.requests % 2 == 0;
    auto& bucket = taken_over && !to_resumed_owner ? second_owner : first_owner;
    bucket.Refill(kLimit, At(now));
    if (bucket.Take(1) == 1) {
      ++totals.granted;
      ideal.Spend(At(now));
    }
  };
  ForEachArrival(scenario, arrive, [](int64_t) {});
  totals.excess = ideal.excess();
  return totals;
}

// Restart of all hosts within 0.3 s, host 0 being the pool host. Prints the
// time from the last start to the first permit, and the fraction of requests
// refused that are sent from 0.5 s on at 60 in 100 of the rate and don't wait.
bool PrintRestart(int hosts, Duration loan_lifetime, bool sweeps) {
  RateLimitSimulation simulation(
      {.hosts = hosts, .limit = kLimit, .loan_lifetime = loan_lifetime});
  std::mt19937_64 random(7);
  std::uniform_int_distribution<int64_t> start_time(0, 300);
  std::uniform_int_distribution<int> any_host(0, hosts - 1);
  std::multimap<int64_t, int> starts;
  for (int host = 0; host < hosts; ++host) {
    simulation.RequestLoan(0, host, Millis(1), Millis(1));
    simulation.Advance(Millis(2));
    simulation.Freeze(host, Millis(100'000));
    starts.emplace(start_time(random), host);
  }
  int64_t first_permit = -1;
  int requests = 0;
  int started_before = 0;
  constexpr int64_t kLastStart = 300;
  constexpr int64_t kCountedFrom = kLastStart + 500;
  constexpr int64_t kCountedUntil = kCountedFrom + 3'000;
  for (int64_t now = 0; now < kCountedUntil; ++now) {
    for (auto [at, end] = starts.equal_range(now); at != end; ++at) {
      simulation.Restart(at->second);
    }
    if (now == kCountedFrom) {
      started_before = simulation.started();
    }
    for (int host = 0; host < hosts && now % 150 == 0; ++host) {
      simulation.RequestLoan(0, host, Millis(3), Millis(3));
    }
    if (sweeps && now % 20 == 0) {
      simulation.Sweep(0, Millis(3), Millis(3));
    }
    if (now % 17 == 0) {
      requests += now >= kCountedFrom ? 1 : 0;
      simulation.RequestPermits(any_host(random), 0, 1, Millis(3), Millis(3));
    }
    simulation.Advance(Millis(1));
    if (first_permit < 0 && simulation.started() > 0) {
      first_permit = now - kLastStart;
    }
  }
  const char* suffix = sweeps ? "" : ".without_sweep";
  std::printf("measure restart.first_permit.%d%s %.3f s\n", hosts, suffix,
              ToSeconds(Millis(first_permit)));
  std::printf("measure restart.refused.%d%s %.3f share\n", hosts, suffix,
              std::max(0.0, 1 - static_cast<double>(simulation.started() -
                                                    started_before) /
                                    requests));
  std::printf("measure restart.excess.%d%s %.2f count\n", hosts, suffix,
              simulation.excess());
  return simulation.excess() < 1e-6;
}

// Restart of all hosts: calls to the store, and the time from the last start
// until the last host has its share.
void PrintJoin(int hosts, const char* suffix, bool uses_fence) {
  const JoinResult result =
      SimulateJoin({.hosts = hosts, .uses_fence = uses_fence});
  std::printf("measure restart.store_calls.%d%s %d count\n", hosts, suffix,
              result.store_calls);
  std::printf("measure restart.last_share.%d%s %.3f s\n", hosts, suffix,
              ToSeconds(result.last_share));
}

void Print(const Scenario& scenario, const char* suffix, const Totals& totals) {
  std::printf("measure refused.in_rate.%s%s %.4f share\n", scenario.name,
              suffix, totals.RefusedFraction());
  std::printf("measure over_rate.max_excess.%s%s %.2f count\n", scenario.name,
              suffix, totals.excess);
}

}  // namespace
}  // namespace kingcupstair

int main() {
  using kingcupstair::Scenario;
  const Scenario scenarios[] = {
      {.name = "steady"},
      {.name = "host_killed", .killed_from = 40'000, .killed_until = 60'000},
      {.name = "host_frozen", .frozen_from = 40'000, .frozen_until = 60'000},
      {.name = "store_out",
       .store_out_from = 40'000,
       .store_out_until = 100'000}};
  bool within_limit = true;
  for (const Scenario& scenario : scenarios) {
    const auto lent_shares = kingcupstair::RunLentShares(scenario);
    kingcupstair::Print(scenario, "", lent_shares);
    kingcupstair::Print(scenario, ".static_split",
                        kingcupstair::RunStaticSplit(scenario));
    kingcupstair::Print(scenario, ".one_owner",
                        kingcupstair::RunOneOwner(scenario));
    within_limit = within_limit && lent_shares.excess < 1e-6;
  }
  for (const int hosts : {27, 74, 81, 104}) {
    kingcupstair::PrintJoin(hosts, "", true);
    kingcupstair::PrintJoin(hosts, ".own_write", false);
  }
  for (const auto& [hosts, lifetime] :
       {std::pair(27, 729), std::pair(74, 2'000), std::pair(104, 2'000)}) {
    for (const bool sweeps : {true, false}) {
      within_limit = kingcupstair::PrintRestart(
                         hosts, kingcupstair::Millis(lifetime), sweeps) &&
                     within_limit;
    }
  }
  return within_limit ? 0 : 1;
}
