#include "tests/limits/rate_limit_simulation.h"

#include "tests/support/times.h"

namespace kingcupstair {
namespace {

constexpr char kOrganisation[] = "growers";

limits::ShardId TestShard() {
  return limits::ShardOf(kOrganisation);
}

}  // namespace

RateLimitSimulation::RateLimitSimulation(Options options)
    : options(options), now(At(0)), ideal(options.limit, At(0)) {
  for (int i = 0; i < options.hosts; ++i) {
    Host host{.name = "host" + std::to_string(i)};
    host.lender.SetLoanLifetime(options.loan_lifetime);
    this->table.AddOrUpdateHost(host.name, {});
    this->hosts.push_back(std::move(host));
  }
  while (const auto move = this->table.NextMove("host0")) {
    this->table.Apply(*move);
  }
  for (Host& host : this->hosts) {
    host.lender.SetShare(this->table.Fraction(host.name));
    host.sweep.SetHosts(this->HostNames());
  }
}

std::set<std::string> RateLimitSimulation::HostNames() const {
  std::set<std::string> names;
  for (const Host& host : this->hosts) {
    names.insert(host.name);
  }
  return names;
}

void RateLimitSimulation::Advance(Duration duration) {
  const Instant until = this->now + duration;
  while (!this->messages.empty() && this->messages.begin()->first <= until) {
    const auto first = this->messages.begin();
    this->now = std::max(this->now, first->first);
    Message message = std::move(first->second);
    this->messages.erase(first);
    this->Deliver(std::move(message));
  }
  this->now = until;
}

void RateLimitSimulation::Send(Duration delay, Message message) {
  this->messages.emplace(this->now + delay, std::move(message));
}

void RateLimitSimulation::Deliver(Message message) {
  Host& host = this->hosts[static_cast<size_t>(message.to)];
  if (host.frozen_until > this->now) {
    this->messages.emplace(host.frozen_until, std::move(message));
    return;
  }
  if (message.to_any_incarnation ||
      message.to_incarnation == host.incarnation) {
    message.deliver(host);
  }
}

void RateLimitSimulation::RequestLoan(int pool,
                                      int lender,
                                      Duration request_delay,
                                      Duration response_delay) {
  const Host& pool_host = this->hosts[static_cast<size_t>(pool)];
  if (pool_host.frozen_until > this->now) {
    return;
  }
  const Instant requested_at = this->now;
  const uint64_t sequence_number =
      limits::RatePool::LoanSequenceNumberAt(requested_at);
  const int incarnation = pool_host.incarnation;
  const uint64_t clearance = pool_host.sweep.ClearanceFor(
      this->hosts[static_cast<size_t>(lender)].name);
  this->Send(request_delay,
             {.to = lender,
              .to_any_incarnation = true,
              .deliver = [=, this, name = pool_host.name](Host& host) {
                host.lender.EndBlock(clearance, this->now);
                const auto block = host.lender.Block(this->now);
                const auto grant = host.lender.Lend(TestShard(), name,
                                                    sequence_number, this->now);
                const std::string from = host.name;
                this->Send(response_delay,
                           {.to = pool,
                            .to_incarnation = incarnation,
                            .deliver = [=, this](Host& borrower) {
                              borrower.sweep.RecordResponse(from, block);
                              borrower.pool.AddLoan(TestShard(), from, grant,
                                                    requested_at, this->now);
                            }});
              }});
}

void RateLimitSimulation::RequestPermits(int ingress,
                                         int pool,
                                         int wanted,
                                         Duration request_delay,
                                         Duration response_delay) {
  Host& ingress_host = this->hosts[static_cast<size_t>(ingress)];
  if (ingress_host.frozen_until > this->now) {
    return;
  }
  const Instant requested_at = this->now;
  const int incarnation = ingress_host.incarnation;
  const std::string from = ingress_host.name;
  const std::string to = this->hosts[static_cast<size_t>(pool)].name;
  limits::LoanOffer offer{.loan_sequence_number = std::exchange(
                              ingress_host.sequence_numbers[to], 0)};
  if (offer.loan_sequence_number != 0) {
    offer.grant = ingress_host.lender.Lend(
        TestShard(), to, offer.loan_sequence_number, this->now);
    offer.shards = {TestShard()};
  }
  this->Send(request_delay,
             {.to = pool,
              .to_any_incarnation = true,
              .deliver = [=, this](Host& host) {
                host.pool.AcceptOffer(from, offer, this->now);
                const uint64_t sequence_number =
                    limits::RatePool::LoanSequenceNumberAt(this->now);
                const auto grant = host.pool.Acquire(
                    kOrganisation, wanted, this->options.limit, this->now);
                this->Send(response_delay,
                           {.to = ingress,
                            .to_incarnation = incarnation,
                            .deliver = [=, this](Host& host) {
                              host.sequence_numbers[to] = sequence_number;
                              if (this->now - requested_at < grant.lifetime) {
                                this->StartRequests(grant.granted);
                              }
                            }});
              }});
}

void RateLimitSimulation::ReturnLoan(int pool, int lender, Duration delay) {
  Host& pool_host = this->hosts[static_cast<size_t>(pool)];
  const std::string from = this->hosts[static_cast<size_t>(lender)].name;
  if (pool_host.frozen_until > this->now) {
    return;
  }
  pool_host.pool.DropLoan(TestShard(), from, this->now);
  const uint64_t sequence_number =
      limits::RatePool::LoanSequenceNumberAt(this->now);
  this->Send(delay, {.to = lender,
                     .to_any_incarnation = true,
                     .deliver = [this, sequence_number,
                                 name = pool_host.name](Host& host) {
                       host.lender.AcceptReturn(TestShard(), name,
                                                sequence_number, this->now);
                     }});
}

void RateLimitSimulation::Restart(int number) {
  Host& host = this->hosts[static_cast<size_t>(number)];
  host.lender = limits::ShareLender({});
  host.lender.SetLoanLifetime(this->options.loan_lifetime);
  host.lender.BlockLoansUntil(
      this->now + this->options.loan_lifetime,
      {.token = ++this->last_token,
       .hosts = limits::DigestOfHosts(this->HostNames())});
  host.lender.SetShare(this->table.Fraction(host.name));
  host.pool = limits::RatePool();
  host.pool.IgnoreLoansBefore(this->now);
  host.sweep = limits::LoanSweep({});
  host.sweep.SetHosts(this->HostNames());
  host.sequence_numbers.clear();
  host.frozen_until = this->now;
  ++host.incarnation;
}

void RateLimitSimulation::Sweep(int pool,
                                Duration request_delay,
                                Duration response_delay) {
  Host& pool_host = this->hosts[static_cast<size_t>(pool)];
  if (pool_host.frozen_until > this->now) {
    return;
  }
  pool_host.sweep.Update(this->now);
  const auto lenders = pool_host.sweep.Lenders();
  const uint64_t number = pool_host.sweep.number();
  const int incarnation = pool_host.incarnation;
  for (size_t i = 0; i < this->hosts.size(); ++i) {
    if (!pool_host.sweep.Unconfirmed().contains(this->hosts[i].name)) {
      continue;
    }
    this->Send(request_delay,
               {.to = static_cast<int>(i),
                .to_any_incarnation = true,
                .deliver = [=, this](Host& host) {
                  for (const std::string& lender : lenders) {
                    host.pool.DropLoansOf(lender, this->now);
                  }
                  this->Send(response_delay,
                             {.to = pool,
                              .to_incarnation = incarnation,
                              .deliver = [=, name = host.name](Host& borrower) {
                                borrower.sweep.RecordDropped(number, name);
                              }});
                }});
  }
}

void RateLimitSimulation::Freeze(int number, Duration duration) {
  this->hosts[static_cast<size_t>(number)].frozen_until = this->now + duration;
}

// Follows the steps of the share loop: the source lowers its share, waits until
// the loans of the higher share expire, and writes the table. Only then does
// the target read its higher share.
void RateLimitSimulation::MoveShare(int from) {
  Host& source = this->hosts[static_cast<size_t>(from)];
  const auto target = (static_cast<size_t>(from) + 1) % this->hosts.size();
  const limits::ShareMove move{
      .from = source.name,
      .to = this->hosts[target].name,
      .parts = this->table.Find(source.name)->parts / 2};
  limits::ShareTable moved = this->table;
  if (!moved.Apply(move)) {
    return;
  }
  const double lowered = moved.Fraction(source.name);
  source.lender.SetShare(lowered);
  while (source.lender.LatestExpiryOfLoansAbove(lowered) > this->now) {
    this->Advance(Millis(50));
  }
  this->table = moved;
  this->hosts[target].lender.SetShare(moved.Fraction(move.to));
}

void RateLimitSimulation::StartRequests(int count) {
  for (int i = 0; i < count; ++i) {
    this->ideal.Spend(this->now);
    ++this->requests;
  }
}

}  // namespace kingcupstair
