#ifndef TESTS_LIMITS_RATE_LIMIT_SIMULATION_H_
#define TESTS_LIMITS_RATE_LIMIT_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "components/limits/loan_sweep.h"
#include "components/limits/rate_pool.h"
#include "components/limits/share_lender.h"
#include "components/limits/share_table.h"
#include "tests/support/ideal_bucket.h"

namespace kingcupstair {

/// Simulation of the share lenders and rate pools of a few hosts on a virtual
/// clock, with messages between the hosts that are delayed or lost. Every
/// request that starts is checked against the rate limit of the organisation.
class RateLimitSimulation {
 public:
  struct Options {
    int hosts = 4;
    limits::RateLimit limit{.rate = 100, .depth = 40};
    Duration loan_lifetime{std::chrono::seconds(2)};
  };

  explicit RateLimitSimulation(Options options);

  /// Advances the clock by `duration` and delivers the messages that are due.
  void Advance(Duration duration);

  /// Sends a loan request from the host `pool` to the host `lender`.
  void RequestLoan(int pool,
                   int lender,
                   Duration request_delay,
                   Duration response_delay);

  /// Sends a permit request from the host `ingress` to the host `pool`. On the
  /// response, starts as many requests as permits were granted, unless the
  /// permits have expired. The permit request carries a loan offer if `ingress`
  /// has a loan sequence number from `pool`.
  void RequestPermits(int ingress,
                      int pool,
                      int wanted,
                      Duration request_delay,
                      Duration response_delay);

  /// Returns a loan of the host `pool` to the host `lender` before the loan
  /// expires.
  void ReturnLoan(int pool, int lender, Duration delay);

  /// Ends the process of `host` and starts another at its address.
  void Restart(int host);

  /// Has the host `pool` begin a sweep or go on with one, if one is due: has
  /// all hosts drop the loans of lenders that have restarted.
  void Sweep(int pool, Duration request_delay, Duration response_delay);

  /// Freezes `host` for `duration`. Messages to the host are delivered
  /// afterwards, and the host sends none until then. Its loans go on expiring.
  void Freeze(int host, Duration duration);

  /// Moves half of the share of the host `from` to the next host, in the steps
  /// that the share table requires.
  void MoveShare(int from);

  double excess() const { return this->ideal.excess(); }
  int started() const { return this->requests; }

 private:
  struct Host {
    std::string name;
    limits::ShareLender lender{{}};
    limits::RatePool pool;
    limits::LoanSweep sweep{{}};
    int incarnation = 0;
    Instant frozen_until;
    /// Latest loan sequence numbers from pool hosts, by host.
    std::map<std::string, uint64_t> sequence_numbers;
  };

  struct Message {
    int to = 0;
    int to_incarnation = 0;
    bool to_any_incarnation = false;
    std::function<void(Host&)> deliver;
  };

  void Send(Duration delay, Message message);
  void Deliver(Message message);
  void StartRequests(int count);
  std::set<std::string> HostNames() const;

  Options options;
  uint64_t last_token = 0;
  Instant now;
  std::vector<Host> hosts;
  std::multimap<Instant, Message> messages;
  limits::ShareTable table;
  IdealBucket ideal;
  int requests = 0;
};

}  // namespace kingcupstair

#endif  // TESTS_LIMITS_RATE_LIMIT_SIMULATION_H_
