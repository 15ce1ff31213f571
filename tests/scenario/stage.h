#ifndef TESTS_SCENARIO_STAGE_H_
#define TESTS_SCENARIO_STAGE_H_

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "components/admission/upstream_gate.h"
#include "components/ingress/fleet_board.h"
#include "components/limits/token_bucket.h"
#include "components/retry/retry_budget.h"
#include "tests/scenario/baseline_policy.h"
#include "tests/scenario/clock.h"
#include "tests/scenario/fake_upstream.h"

namespace kingcupstair::scenario {

/// An organisation as its callers behave.
struct FakeOrganisation {
  std::string name;
  /// What it is entitled to, requests a second.
  double rate = 0;
  double burst = 0;
  /// What its callers send.
  double send = 0;
  std::string service;
};

/// How an organisation fared.
struct OrganisationTally {
  int in_rate = 0;
  int in_rate_answered = 0;
  int in_rate_refused = 0;

  double Share() const {
    return this->in_rate == 0
               ? 1
               : static_cast<double>(this->in_rate_answered) / this->in_rate;
  }
};

/// The decision modules of a few hosts over fake upstreams on a virtual clock.
/// One seed gives one course of events.
class Stage {
 public:
  struct Options {
    uint64_t seed = 1;
    int ingresses = 3;
    /// Baseline instead of the fleet's own judgement of upstreams.
    bool baseline_judgement = false;
    /// One queue for all organisations instead of one each.
    bool single_queue = false;
    Duration deadline{std::chrono::seconds(1)};
    Duration link{std::chrono::microseconds(500)};
  };

  explicit Stage(Options options);

  void AddService(const std::string& name, double floor);
  void AddUpstream(FakeUpstream::Options options);
  void AddOrganisation(const FakeOrganisation& organisation);
  void SetFault(const std::string& id, const UpstreamFault& fault);
  void Chill(const std::string& id, int answers_per_step);
  void SetZoneOut(const std::string& zone, bool out);
  void CutPath(int ingress, int host, bool cut);
  void Run(Duration duration);
  /// Forgets how organisations fared so far.
  void BeginTally() { this->tallies.clear(); }
  void After(Duration delay, std::function<void()> task);

  /// Time from the last fault of `id` until most ingresses left it out, in
  /// milliseconds; negative when they have not.
  double DetectMillis(const std::string& id) const;
  /// Ejections of upstreams that had no fault in the last seconds.
  int FalseEjections() const { return this->false_ejections; }
  /// The largest share of a service's upstreams that one ingress left out.
  double MostEjectedShare() const { return this->most_ejected_share; }
  int Overloads(const std::string& id) const;
  /// The worst-served organisation's share of requests inside its rate that
  /// were answered in time.
  double WorstOrganisation() const;
  double RefusedInRate() const;
  /// One organisation's share of requests inside its rate answered in time.
  double ShareOf(const std::string& organisation) const;
  int AnsweredBy(const std::string& id) const;

 private:
  struct Guarded {
    explicit Guarded(FakeUpstream upstream)
        : upstream(std::move(upstream)),
          gate({.slots = this->upstream.Settings().slots}) {}

    FakeUpstream upstream;
    admission::UpstreamGate gate;
    Instant fault_since;
    Instant fault_ended;
    std::set<int> left_out_by;
    Instant detected_at;
    int answered = 0;
  };

  struct FakeIngress {
    std::unique_ptr<ingress::UpstreamRegistry> registry;
    std::unique_ptr<BaselinePolicy> baseline;
    retry::RetryBudget budget{{.ratio = 0.2, .slack = 50}};
    std::set<int> cut_hosts;
  };

  struct Request {
    std::string organisation;
    std::string service;
    double weight = 1;
    int ingress = 0;
    int attempts = 0;
    std::set<std::string> tried;
    Instant deadline;
  };

  struct Caller {
    FakeOrganisation organisation;
    limits::TokenBucket bucket;
  };

  void Arrive(size_t caller);
  void Attempt(const std::shared_ptr<Request>& request);
  void Submit(const std::shared_ptr<Request>& request, const std::string& id);
  void Apply(const std::vector<admission::GateDecision>& decisions,
             const std::string& id);
  void Start(admission::TicketId ticket, const std::string& id);
  void Answer(const std::shared_ptr<Request>& request,
              const std::string& id,
              const once::Outcome& outcome);
  void EndRequest(const Request& request, bool answered);
  void Gossip(int ingress);
  void Judge(int ingress);
  void NoteEjection(int ingress, const std::string& id, bool ejected);
  std::vector<membership::HostRecord> Records() const;
  std::optional<std::string> Choose(const Request& request);

  Options options;
  Clock clock;
  std::mt19937_64 random;
  std::map<std::string, double> floors;
  std::map<std::string, std::unique_ptr<Guarded>> upstreams;
  std::vector<FakeIngress> ingresses;
  std::deque<Caller> callers;
  std::map<std::string, OrganisationTally> tallies;
  std::map<admission::TicketId, std::shared_ptr<Request>> waiting;
  std::set<std::string> zones_out_of_service;
  admission::TicketId last_ticket = 0;
  int false_ejections = 0;
  double most_ejected_share = 0;
};

}  // namespace kingcupstair::scenario

#endif  // TESTS_SCENARIO_STAGE_H_
