// Measures what the mechanism of lent shares costs: requests refused although
// inside the organisation's rate, and the largest excess over the limit, held
// against a static split by host and against one owner under a lease.

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <random>

#include "tests/limits/rates_world.h"
#include "tests/support/times.h"

namespace kingcupstair {
namespace {

constexpr int kHosts = 6;
constexpr limits::RateLimit kLimit{.rate = 100, .depth = 50};
constexpr double kSend = 90;
constexpr int64_t kWarmMillis = 5'000;
constexpr int64_t kLengthMillis = 120'000;
/// How long until the hosts agree that one of them is gone.
constexpr int64_t kMemberDeadMillis = 4'000;
constexpr int64_t kOwnerLeaseMillis = 10'000;
/// Callers stick to hosts, some more than others.
constexpr std::array<double, kHosts> kSkew{0.5, 0.2, 0.1, 0.1, 0.05, 0.05};

/// What happens during a run, in milliseconds from its start.
struct Course {
  const char* name;
  /// Host 0, which pools the rate or owns it, ends and comes back.
  int64_t killed_from = -1;
  int64_t killed_until = -1;
  /// Host 0 is frozen.
  int64_t frozen_from = -1;
  int64_t frozen_until = -1;
  int64_t store_out_from = -1;
  int64_t store_out_until = -1;
};

bool Within(int64_t now, int64_t from, int64_t until) {
  return now >= from && now < until;
}

struct Tally {
  int asked = 0;
  int granted = 0;
  double excess = 0;

  double Refused() const {
    return 1 - static_cast<double>(this->granted) / this->asked;
  }
};

/// Calls `arrive(now, host)` for each request of the course's callers, who stay
/// away from a host that is gone.
void ForEachArrival(const Course& course,
                    const std::function<void(int64_t, int)>& arrive,
                    const std::function<void(int64_t)>& tick) {
  std::mt19937_64 random(7);
  std::discrete_distribution<int> host(kSkew.begin(), kSkew.end());
  double due = kWarmMillis;
  for (int64_t now = 0; now < kLengthMillis; ++now) {
    tick(now);
    for (; due <= static_cast<double>(now); due += 1000 / kSend) {
      int at = host(random);
      const bool gone = Within(now, course.killed_from, course.killed_until) ||
                        Within(now, course.frozen_from, course.frozen_until);
      while (gone && at == 0) {
        at = host(random);
      }
      arrive(now, at);
    }
  }
}

Tally RunLentShares(const Course& course) {
  RatesWorld world({.hosts = kHosts, .limit = kLimit});
  Tally tally;
  const auto pool_gone = [&](int64_t now) {
    return Within(now, course.killed_from, course.killed_until) ||
           Within(now, course.frozen_from, course.frozen_until);
  };
  const auto pool_at = [&](int64_t now) {
    const int64_t gone_from = std::max(course.killed_from, course.frozen_from);
    const bool noticed = gone_from >= 0 && pool_gone(now) &&
                         now - gone_from >= kMemberDeadMillis;
    return noticed ? 1 : 0;
  };
  const auto tick = [&](int64_t now) {
    world.Advance(Millis(1));
    if (now == course.killed_until) {
      world.Restart(0);
    }
    if (now == course.frozen_from) {
      world.Freeze(0, Millis(course.frozen_until - course.frozen_from));
    }
    const int pool = pool_at(now);
    if (now % 500 == 0 && !(pool == 0 && pool_gone(now))) {
      for (int lender = 0; lender < kHosts; ++lender) {
        if (lender != 0 || !pool_gone(now)) {
          world.AskLoan(pool, lender, Millis(1), Millis(1));
        }
      }
    }
  };
  const auto arrive = [&](int64_t now, int host) {
    ++tally.asked;
    const int pool = pool_at(now);
    if (pool == 0 && pool_gone(now)) {
      world.AskLoan(host, host, Millis(0), Millis(0));
      world.Advance(Millis(0));
      world.AskPermits(host, host, 1, Millis(0), Millis(0));
    } else {
      world.AskPermits(host, pool, 1, Millis(1), Millis(1));
    }
  };
  ForEachArrival(course, arrive, tick);
  world.Advance(Millis(1'000));
  tally.granted = world.started();
  tally.excess = world.excess();
  return tally;
}

Tally RunStaticSplit(const Course& course) {
  std::vector<limits::TokenBucket> buckets(kHosts, limits::TokenBucket(At(0)));
  IdealBucket ideal(kLimit, At(0));
  Tally tally;
  const auto arrive = [&](int64_t now, int host) {
    auto& bucket = buckets[static_cast<size_t>(host)];
    bucket.Refill(limits::Scaled(kLimit, 1.0 / kHosts), At(now));
    ++tally.asked;
    if (bucket.Take(1) == 1) {
      ++tally.granted;
      ideal.Spend(At(now));
    }
  };
  ForEachArrival(course, arrive, [](int64_t) {});
  tally.excess = ideal.excess();
  return tally;
}

// One host holds the whole limit under a lease in the store. When it is gone,
// another takes over after the lease; with the store out nobody can renew. An
// owner that was frozen goes on spending until it looks at its lease again.
Tally RunOneOwner(const Course& course) {
  limits::TokenBucket first(At(0));
  limits::TokenBucket second(At(0));
  IdealBucket ideal(kLimit, At(0));
  Tally tally;
  const auto arrive = [&](int64_t now, int) {
    const bool store_out =
        Within(now, course.store_out_from, course.store_out_until) &&
        now - course.store_out_from > kOwnerLeaseMillis;
    const bool gone = Within(now, course.killed_from, course.killed_until) ||
                      Within(now, course.frozen_from, course.frozen_until);
    const int64_t gone_from = std::max(course.killed_from, course.frozen_from);
    const bool taken_over =
        gone_from >= 0 && now - gone_from > kOwnerLeaseMillis;
    const bool woken =
        course.frozen_until >= 0 &&
        Within(now, course.frozen_until, course.frozen_until + 1'000);
    ++tally.asked;
    if (store_out || (gone && !taken_over)) {
      return;
    }
    const bool to_woken = woken && tally.asked % 2 == 0;
    auto& bucket = taken_over && !to_woken ? second : first;
    bucket.Refill(kLimit, At(now));
    if (bucket.Take(1) == 1) {
      ++tally.granted;
      ideal.Spend(At(now));
    }
  };
  ForEachArrival(course, arrive, [](int64_t) {});
  tally.excess = ideal.excess();
  return tally;
}

void Print(const Course& course, const char* suffix, const Tally& tally) {
  std::printf("measure refused.in_rate.%s%s %.4f share\n", course.name, suffix,
              tally.Refused());
  std::printf("measure over_rate.max_excess.%s%s %.2f count\n", course.name,
              suffix, tally.excess);
}

}  // namespace
}  // namespace kingcupstair

int main() {
  using kingcupstair::Course;
  const Course courses[] = {
      {.name = "steady"},
      {.name = "host_killed", .killed_from = 40'000, .killed_until = 60'000},
      {.name = "host_frozen", .frozen_from = 40'000, .frozen_until = 60'000},
      {.name = "store_out",
       .store_out_from = 40'000,
       .store_out_until = 100'000}};
  bool within = true;
  for (const Course& course : courses) {
    const auto ours = kingcupstair::RunLentShares(course);
    kingcupstair::Print(course, "", ours);
    kingcupstair::Print(course, ".static_split",
                        kingcupstair::RunStaticSplit(course));
    kingcupstair::Print(course, ".one_owner",
                        kingcupstair::RunOneOwner(course));
    within = within && ours.excess < 1e-6;
  }
  return within ? 0 : 1;
}
