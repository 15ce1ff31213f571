#include "components/control/share_loop.h"

#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"
#include "components/control/loan_loop.h"
#include "components/fibers/worker_pool.h"
#include "components/store/keys.h"

namespace kingcupstair::control {
namespace {

constexpr Duration kMinInterval{std::chrono::milliseconds(1000)};
/// Hosts that start together cause version conflicts for each other, so they
/// retry after a random delay. A round takes two calls of some milliseconds.
constexpr Duration kMinJoinDelay{std::chrono::milliseconds(10)};
constexpr Duration kMaxConflictDelay{std::chrono::milliseconds(150)};
/// The delay between one host's turn to create the table and the next host's.
constexpr Duration kCreationStagger{std::chrono::milliseconds(150)};
constexpr Duration kIntervalPerHost{std::chrono::milliseconds(1000)};
constexpr Duration kLoanExpiryPollInterval{std::chrono::milliseconds(50)};

}  // namespace

ShareLoop::ShareLoop(Fleet& fleet) : fleet(fleet), start(MonotonicNow()) {}

// The interval grows with the number of hosts, so that all hosts together make
// a fixed number of calls per second.
void ShareLoop::Step() {
  if (this->table_was_absent && !this->joined &&
      MonotonicNow() - this->start < this->CreationDelay()) {
    fibers::SleepFor(kCreationStagger);
    return;
  }
  if (!this->joined) {
    this->Join();
  } else {
    this->FollowTable();
  }
  const auto hosts = static_cast<int64_t>(this->fleet.directory.size());
  if (this->joined) {
    fibers::SleepFor(std::max(kMinInterval, kIntervalPerHost * hosts));
    return;
  }
  const Duration max_delay =
      this->write_failed ? kMaxConflictDelay : kMinInterval;
  std::uniform_int_distribution<int64_t> delay(kMinJoinDelay.count(),
                                               max_delay.count());
  fibers::SleepFor(Duration(delay(this->random)));
}

absl::StatusOr<ShareLoop::StoredTable> ShareLoop::ReadTable() const {
  const auto entry = this->fleet.store.Get(store::kSharesKey);
  if (!entry.ok()) {
    return entry.status();
  }
  if (entry->version == 0) {
    return StoredTable{};
  }
  const auto table = limits::DecodeShareTable(entry->value);
  if (!table.ok()) {
    return table.status();
  }
  return StoredTable{.table = *table, .version = entry->version};
}

bool ShareLoop::WriteTable(const limits::ShareTable& table,
                           uint64_t version) const {
  const auto put = this->fleet.store.Put(
      store::kSharesKey, limits::EncodeShareTable(table), version);
  return put.ok() && *put == store::PutResult::kWritten;
}

// Writes the table even if its content does not change. A delayed write of an
// earlier incarnation of this process then fails with a version conflict.
void ShareLoop::Join() {
  this->write_failed = false;
  auto stored = this->ReadTable();
  if (!stored.ok()) {
    return;
  }
  if (stored->version == 0 && this->fleet.share_gathering_time > Duration{}) {
    this->table_was_absent = true;
    this->CreateTable();
    return;
  }
  const HostSettings& settings = this->fleet.settings;
  if (this->table_was_absent && stored->table.Find(settings.host) != nullptr) {
    this->joined = true;
    this->fleet.rates.SetShare(stored->table.Fraction(settings.host));
    return;
  }
  const bool had_entry = stored->table.Find(settings.host) != nullptr;
  stored->table.AddOrUpdateHost(settings.host, {.zone = settings.zone,
                                                .region = settings.region,
                                                .admin = settings.admin});
  if (!this->WriteTable(stored->table, stored->version)) {
    this->write_failed = true;
    return;
  }
  this->joined = true;
  this->transfer_unconfirmed = false;
  if (had_entry) {
    this->fleet.rates.BlockLoansUntil(
        this->start + LoanLifetime(stored->table.hosts().size()));
  }
  this->fleet.rates.SetShare(stored->table.Fraction(settings.host));
}

// Without a table no host has a share, so the host that writes the first table
// may assign the shares of all hosts at once.
void ShareLoop::CreateTable() {
  if (MonotonicNow() - this->start < this->CreationDelay()) {
    return;
  }
  std::map<std::string, limits::ShareEntry> hosts;
  for (const auto& record : this->fleet.directory.HostsNotDead()) {
    hosts[record.host] = {
        .zone = record.zone, .region = record.region, .admin = record.admin};
  }
  const auto table = limits::ShareTable::EqualShares(hosts);
  if (this->WriteTable(table, 0)) {
    this->joined = true;
    this->fleet.rates.SetShare(table.Fraction(this->fleet.settings.host));
    this->fleet.recorder.Record(
        {.kind = "shares_created",
         .detail = absl::StrCat(hosts.size(), " hosts")});
  }
}

Duration ShareLoop::CreationDelay() const {
  const auto present = this->fleet.directory.HostsNotDead();
  const auto before =
      std::count_if(present.begin(), present.end(), [this](const auto& record) {
        return record.host < this->fleet.settings.host;
      });
  return this->fleet.share_gathering_time + kCreationStagger * before;
}

void ShareLoop::FollowTable() {
  const auto stored = this->ReadTable();
  if (!stored.ok()) {
    return;
  }
  const HostSettings& settings = this->fleet.settings;
  if (stored->table.Find(settings.host) == nullptr) {
    this->fleet.rates.SetShare(0);
    this->joined = false;
    return;
  }
  if (this->transfer_unconfirmed) {
    if (!this->WriteTable(stored->table, stored->version)) {
      return;
    }
    this->transfer_unconfirmed = false;
  }
  this->fleet.rates.SetShare(stored->table.Fraction(settings.host));
  const auto move = stored->table.NextMove(settings.host);
  if (move.has_value()) {
    this->TransferParts(*stored, *move);
  }
}

// Lowers the share and waits until the loans of the higher share have expired
// before it writes the table from which the receiver reads its new share.
void ShareLoop::TransferParts(const StoredTable& stored,
                              const limits::ShareMove& move) {
  limits::ShareTable table = stored.table;
  if (!table.Apply(move)) {
    return;
  }
  const double lowered_share = table.Fraction(move.from);
  this->fleet.rates.SetShare(lowered_share);
  while (this->fleet.rates.LatestExpiryAbove(lowered_share) > MonotonicNow()) {
    fibers::SleepFor(kLoanExpiryPollInterval);
  }
  this->transfer_unconfirmed = true;
  if (!this->WriteTable(table, stored.version)) {
    return;
  }
  this->transfer_unconfirmed = false;
  this->fleet.recorder.Record(
      {.kind = "share_moved",
       .detail = absl::StrCat(move.parts, " parts to ", move.to)});
}

}  // namespace kingcupstair::control
