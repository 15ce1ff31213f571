#include "tests/limits/rates_world.h"

#include "tests/support/times.h"

namespace kingcupstair {
namespace {

constexpr char kOrganisation[] = "growers";

limits::ShardId TheShard() {
  return limits::ShardOf(kOrganisation);
}

}  // namespace

RatesWorld::RatesWorld(Options options)
    : options(options), now(At(0)), ideal(options.limit, At(0)) {
  for (int i = 0; i < options.hosts; ++i) {
    Host host{.name = "host" + std::to_string(i)};
    host.lender.SetLoanLife(options.loan_life);
    this->table.Join(host.name, {});
    this->hosts.push_back(std::move(host));
  }
  while (const auto move = this->table.NextMove("host0")) {
    this->table.Apply(*move);
  }
  for (Host& host : this->hosts) {
    host.lender.SetShare(this->table.Fraction(host.name));
  }
}

void RatesWorld::Advance(Duration duration) {
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

void RatesWorld::Send(Duration delay, Message message) {
  this->messages.emplace(this->now + delay, std::move(message));
}

void RatesWorld::Deliver(Message message) {
  Host& host = this->hosts[static_cast<size_t>(message.to)];
  if (host.frozen_until > this->now) {
    this->messages.emplace(host.frozen_until, std::move(message));
    return;
  }
  if (message.to_any_life || message.to_life == host.life) {
    message.deliver(host);
  }
}

void RatesWorld::AskLoan(int pool, int lender, Duration there, Duration back) {
  const Host& asker = this->hosts[static_cast<size_t>(pool)];
  if (asker.frozen_until > this->now) {
    return;
  }
  const Instant asked = this->now;
  const uint64_t mark = limits::RatePool::MarkAt(asked);
  const int life = asker.life;
  this->Send(there, {.to = lender,
                     .to_any_life = true,
                     .deliver = [=, this, name = asker.name](Host& host) {
                       const auto grant =
                           host.lender.Lend(TheShard(), name, mark, this->now);
                       const std::string from = host.name;
                       this->Send(back, {.to = pool,
                                         .to_life = life,
                                         .deliver = [=, this](Host& borrower) {
                                           borrower.pool.AddLoan(
                                               TheShard(), from, grant, asked,
                                               this->now);
                                         }});
                     }});
}

void RatesWorld::AskPermits(int ingress,
                            int pool,
                            int wanted,
                            Duration there,
                            Duration back) {
  Host& asker = this->hosts[static_cast<size_t>(ingress)];
  if (asker.frozen_until > this->now) {
    return;
  }
  const Instant asked = this->now;
  const int life = asker.life;
  const std::string from = asker.name;
  const std::string to = this->hosts[static_cast<size_t>(pool)].name;
  limits::LoanOffer offer{.mark = std::exchange(asker.marks[to], 0)};
  if (offer.mark != 0) {
    offer.grant = asker.lender.Lend(TheShard(), to, offer.mark, this->now);
    offer.shards = {TheShard()};
  }
  this->Send(
      there,
      {.to = pool, .to_any_life = true, .deliver = [=, this](Host& host) {
         host.pool.TakeOffer(from, offer, this->now);
         const uint64_t mark = limits::RatePool::MarkAt(this->now);
         const auto grant = host.pool.Acquire(kOrganisation, wanted,
                                              this->options.limit, this->now);
         this->Send(
             back,
             {.to = ingress, .to_life = life, .deliver = [=, this](Host& host) {
                host.marks[to] = mark;
                if (this->now - asked < grant.life) {
                  this->StartRequests(grant.granted);
                }
              }});
       }});
}

void RatesWorld::GiveBack(int pool, int lender, Duration there) {
  Host& holder = this->hosts[static_cast<size_t>(pool)];
  const std::string from = this->hosts[static_cast<size_t>(lender)].name;
  if (holder.frozen_until > this->now) {
    return;
  }
  holder.pool.DropLoan(TheShard(), from, this->now);
  const uint64_t mark = limits::RatePool::MarkAt(this->now);
  this->Send(there, {.to = lender,
                     .to_any_life = true,
                     .deliver = [this, mark, name = holder.name](Host& host) {
                       host.lender.Return(TheShard(), name, mark, this->now);
                     }});
}

void RatesWorld::Restart(int number) {
  Host& host = this->hosts[static_cast<size_t>(number)];
  host.lender = limits::ShareLender({});
  host.lender.SetLoanLife(this->options.loan_life);
  host.lender.HoldBackUntil(this->now + this->options.loan_life);
  host.lender.SetShare(this->table.Fraction(host.name));
  host.pool = limits::RatePool();
  host.marks.clear();
  host.frozen_until = this->now;
  ++host.life;
}

void RatesWorld::Freeze(int number, Duration duration) {
  this->hosts[static_cast<size_t>(number)].frozen_until = this->now + duration;
}

// The steps of the share loop: lower, wait for old loans, write, and only then
// may the taker read its gain.
void RatesWorld::MoveShare(int from) {
  Host& giver = this->hosts[static_cast<size_t>(from)];
  const auto taker = (static_cast<size_t>(from) + 1) % this->hosts.size();
  const limits::ShareMove move{
      .from = giver.name,
      .to = this->hosts[taker].name,
      .parts = this->table.Find(giver.name)->parts / 2};
  limits::ShareTable moved = this->table;
  if (!moved.Apply(move)) {
    return;
  }
  const double lowered = moved.Fraction(giver.name);
  giver.lender.SetShare(lowered);
  while (giver.lender.FreeOfOldLoans(lowered) > this->now) {
    this->Advance(Millis(50));
  }
  this->table = moved;
  this->hosts[taker].lender.SetShare(moved.Fraction(move.to));
}

void RatesWorld::StartRequests(int count) {
  for (int i = 0; i < count; ++i) {
    this->ideal.Spend(this->now);
    ++this->requests;
  }
}

}  // namespace kingcupstair
