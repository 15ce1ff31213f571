#ifndef TESTS_ADMISSION_WORK_OVERLOAD_H_
#define TESTS_ADMISSION_WORK_OVERLOAD_H_

#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "components/admission/upstream_gate.h"
#include "tests/support/times.h"

namespace kingcupstair::admission {

inline constexpr int kSlots = 15;
inline constexpr double kOverload = 1.5;
inline constexpr double kSpread = 0.8;
inline constexpr double kTailShare = 0.02;
inline constexpr int64_t kWarmUpMs = 60'000;
inline constexpr int64_t kEndMs = 1'260'000;
inline constexpr int64_t kTickMs = 10;

struct Kind {
  double mean_ms;
  int64_t objective_ms;
  int64_t deadline_ms;
};

inline constexpr Kind kKinds[] = {{210, 1'600, 5'000}, {1'600, 10'000, 15'000}};

struct Organisation {
  const char* name;
  /// Offered work as a fraction of the upstream's capacity.
  double load;
};

/// The first two use less than their third of the capacity.
inline constexpr Organisation kOrganisations[] = {{"a", 0.3},
                                                  {"b", 0.3},
                                                  {"c", kOverload - 0.6}};

struct Figures {
  /// Mean work of the responses within the objective, as a fraction of what the
  /// slots could do if no request waited.
  double goodput = 0;
  /// Served fraction of the work that an organisation offered.
  std::map<std::string, double> served;
  double refusals = 0;
  double refused_within_50_ms = 0;
  double came_back = 0;
  double served_second_time = 0;
};

/// Replays callers of three organisations at one upstream. A refused caller
/// comes back once, at the time it was told, if that is within a third of its
/// remaining time. The host that it comes back to takes it for a new request.
class Overload {
 public:
  explicit Overload(Admission admission, uint64_t seed)
      : gate({.slots = kSlots,
              .warm_up = RateLimitedWarmUp{},
              .admission = std::move(admission)}),
        random(seed) {
    this->gate.SetCold(false);
  }

  Figures Run() {
    for (size_t i = 0; i < std::size(kOrganisations); ++i) {
      this->ScheduleArrival(i);
    }
    this->events.emplace(kTickMs, [this] { this->Tick(); });
    while (this->events.begin()->first < kEndMs) {
      this->now = this->events.begin()->first;
      const auto event = std::move(this->events.begin()->second);
      this->events.erase(this->events.begin());
      event();
    }
    return this->Summarise();
  }

 private:
  struct Caller {
    const Organisation* organisation;
    const Kind* kind;
    int64_t arrived;
    int64_t offered;
    int tries = 1;
  };

  double MeanMs(const Kind& kind) const {
    return kind.mean_ms * (1 + kTailShare * 5);
  }

  double Draw(const Kind& kind) {
    std::lognormal_distribution<double> work(
        std::log(kind.mean_ms) - kSpread * kSpread / 2, kSpread);
    std::uniform_real_distribution<double> uniform(0, 1);
    const double drawn = work(this->random);
    return uniform(this->random) < kTailShare
               ? drawn * (5 + 2 * uniform(this->random))
               : drawn;
  }

  void ScheduleArrival(size_t index) {
    const Organisation& organisation = kOrganisations[index];
    const double mean_ms =
        (this->MeanMs(kKinds[0]) + this->MeanMs(kKinds[1])) / 2;
    std::exponential_distribution<double> gap(organisation.load * kSlots /
                                              mean_ms);
    this->arrival_at[index] += gap(this->random);
    this->events.emplace(
        static_cast<int64_t>(this->arrival_at[index]), [this, index] {
          const Kind& kind = kKinds[this->random() % std::size(kKinds)];
          this->Offer({.organisation = &kOrganisations[index],
                       .kind = &kind,
                       .arrived = this->now,
                       .offered = this->now});
          this->ScheduleArrival(index);
        });
  }

  void Offer(Caller caller) {
    caller.offered = this->now;
    const TicketId ticket = ++this->last;
    this->callers[ticket] = caller;
    if (this->Counts(caller) && caller.tries == 1) {
      this->offered_work[caller.organisation->name] +=
          this->MeanMs(*caller.kind);
    }
    this->Apply(this->gate.Offer(
        {.ticket = ticket,
         .organisation = caller.organisation->name,
         .deadline = At(this->now + caller.kind->deadline_ms),
         .objective = Millis(caller.kind->objective_ms),
         .max_wait = Millis(caller.kind->objective_ms * 6 / 10),
         .work_key = {.service = "s",
                      .work_class =
                          static_cast<uint64_t>(1 + (caller.kind - &kKinds[0])),
                      .objective = Millis(caller.kind->objective_ms)}},
        At(this->now)));
  }

  void Apply(const std::vector<GateDecision>& decisions) {
    for (const GateDecision& decision : decisions) {
      if (const auto* start = std::get_if<StartTicket>(&decision)) {
        const auto took = std::max<int64_t>(
            1, static_cast<int64_t>(
                   this->Draw(*this->callers[start->ticket].kind)));
        this->events.emplace(this->now + took,
                             [this, id = start->ticket] { this->End(id); });
      } else {
        this->Refused(std::get<RefuseTicket>(decision));
      }
    }
  }

  void End(TicketId ticket) {
    const Caller caller = this->callers[ticket];
    this->callers.erase(ticket);
    const int64_t latency = this->now - caller.arrived;
    if (this->Counts(caller)) {
      if (latency <= caller.kind->deadline_ms) {
        this->served_work[caller.organisation->name] +=
            this->MeanMs(*caller.kind);
        this->served_second += caller.tries == 2 ? 1 : 0;
      }
      if (latency <= caller.kind->objective_ms) {
        this->good_work += this->MeanMs(*caller.kind);
      }
    }
    this->Apply(this->gate.Finish(ticket,
                                  latency <= caller.kind->deadline_ms
                                      ? RunEnd::kSuccess
                                      : RunEnd::kTimeout,
                                  At(this->now)));
  }

  void Refused(const RefuseTicket& refused) {
    Caller caller = this->callers[refused.ticket];
    this->callers.erase(refused.ticket);
    const bool counts = this->Counts(caller);
    const int64_t waited = this->now - caller.offered;
    this->refusals += counts ? 1 : 0;
    this->early_refusals += counts && waited <= 50 ? 1 : 0;
    const int64_t left = caller.arrived + caller.kind->deadline_ms - this->now;
    const int64_t after = ToMillisRoundedUp(refused.refusal.retry_after);
    if (caller.tries == 2 || after * 3 > left) {
      return;
    }
    this->came_back += counts ? 1 : 0;
    caller.tries = 2;
    this->events.emplace(this->now + after,
                         [this, caller] { this->Offer(caller); });
  }

  void Tick() {
    this->Apply(this->gate.Tick(At(this->now)));
    this->events.emplace(this->now + kTickMs, [this] { this->Tick(); });
  }

  bool Counts(const Caller& caller) const {
    return caller.arrived >= kWarmUpMs && caller.arrived < kEndMs - 15'000;
  }

  double InTimeWithoutWait(const Kind& kind) {
    constexpr int kDraws = 20'000;
    int in_time = 0;
    for (int i = 0; i < kDraws; ++i) {
      in_time += this->Draw(kind) <= static_cast<double>(kind.objective_ms);
    }
    return static_cast<double>(in_time) / kDraws;
  }

  Figures Summarise() {
    Figures figures;
    double possible = 0;
    double all = 0;
    for (const Kind& kind : kKinds) {
      possible += this->MeanMs(kind) * this->InTimeWithoutWait(kind);
      all += this->MeanMs(kind);
    }
    const double capacity =
        kSlots * static_cast<double>(kEndMs - 15'000 - kWarmUpMs);
    figures.goodput = this->good_work / (capacity * possible / all);
    for (const auto& [name, work] : this->offered_work) {
      figures.served[name] = this->served_work[name] / work;
    }
    figures.refusals = this->refusals;
    figures.refused_within_50_ms = this->early_refusals / this->refusals;
    figures.came_back = this->came_back;
    figures.served_second_time = this->served_second / this->came_back;
    return figures;
  }

  UpstreamGate gate;
  std::mt19937_64 random;
  std::multimap<int64_t, std::function<void()>> events;
  std::map<TicketId, Caller> callers;
  std::map<size_t, double> arrival_at;
  TicketId last = 0;
  int64_t now = 0;
  std::map<std::string, double> offered_work;
  std::map<std::string, double> served_work;
  double good_work = 0;
  double refusals = 0;
  double early_refusals = 0;
  double came_back = 0;
  double served_second = 0;
};

/// Plays one upstream with admission by work at 1.5 times its capacity.
inline Figures PlayWorkOverload(uint64_t seed) {
  return Overload(WorkAdmission{.estimator = std::make_shared<WorkEstimator>(
                                    WorkEstimator::Options{}),
                                .upstream = "u"},
                  seed)
      .Run();
}

}  // namespace kingcupstair::admission

#endif  // TESTS_ADMISSION_WORK_OVERLOAD_H_
