#ifndef TESTS_LIMITS_RATES_WORLD_H_
#define TESTS_LIMITS_RATES_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "components/limits/rate_pool.h"
#include "components/limits/share_lender.h"
#include "components/limits/share_table.h"
#include "tests/support/ideal_bucket.h"

namespace kingcupstair {

/// A few hosts' lenders and pools with messages between them that are late or
/// lost, on a virtual clock. Every request that starts is checked against the
/// organisation's limit.
class RatesWorld {
 public:
  struct Options {
    int hosts = 4;
    limits::RateLimit limit{.rate = 100, .depth = 40};
    Duration loan_life{std::chrono::seconds(2)};
  };

  explicit RatesWorld(Options options);

  /// Lets time pass; messages that are due arrive.
  void Advance(Duration duration);

  /// `pool` asks `lender` for its share.
  void AskLoan(int pool, int lender, Duration there, Duration back);

  /// `ingress` asks `pool` for permits and starts that many requests when the
  /// answer comes, if the permits still hold then. It offers its share with the
  /// ask when it has a mark to do so.
  void AskPermits(int ingress,
                  int pool,
                  int wanted,
                  Duration there,
                  Duration back);

  /// `pool` gives a loan back early.
  void GiveBack(int pool, int lender, Duration there);

  /// The process ends and another starts at its address.
  void Restart(int host);

  /// Messages to and from the host wait until it goes on; what it knows ages.
  void Freeze(int host, Duration duration);

  /// The host hands a part of its share to another, as the share table asks.
  void MoveShare(int from);

  double excess() const { return this->ideal.excess(); }
  int started() const { return this->requests; }

 private:
  struct Host {
    std::string name;
    limits::ShareLender lender{{}};
    limits::RatePool pool;
    int life = 0;
    Instant frozen_until;
    /// The last marks of pools.
    std::map<std::string, uint64_t> marks;
  };

  struct Message {
    int to = 0;
    int to_life = 0;
    bool to_any_life = false;
    std::function<void(Host&)> deliver;
  };

  void Send(Duration delay, Message message);
  void Deliver(Message message);
  void StartRequests(int count);

  Options options;
  Instant now;
  std::vector<Host> hosts;
  std::multimap<Instant, Message> messages;
  limits::ShareTable table;
  IdealBucket ideal;
  int requests = 0;
};

}  // namespace kingcupstair

#endif  // TESTS_LIMITS_RATES_WORLD_H_
