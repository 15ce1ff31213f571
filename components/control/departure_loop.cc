#include "components/control/departure_loop.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "components/base/error.h"
#include "components/fibers/boundary.h"
#include "components/fibers/call_each.h"
#include "components/fibers/worker_pool.h"
#include "components/logging/log.h"
#include "components/membership/incarnation.h"
#include "components/membership/witnesses.h"
#include "components/once/outcome.h"

namespace kingcupstair::control {
namespace {

/// More than one, since a witness may restart together with this host.
constexpr size_t kWitnesses = 3;
/// Processes that end together start again within this time of each other, by
/// clocks that differ.
constexpr Duration kMinAgeOfMemory{std::chrono::seconds(10)};
constexpr Duration kCallTimeout{std::chrono::milliseconds(300)};
constexpr Duration kFirstAskInterval{std::chrono::milliseconds(20)};
constexpr Duration kAskInterval{std::chrono::seconds(1)};
constexpr Duration kFirstStoreRetry{std::chrono::milliseconds(100)};
constexpr Duration kMaxStoreRetry{std::chrono::seconds(2)};
constexpr Duration kStoreInterval{std::chrono::milliseconds(100)};
/// A write conflicts with a former one that was delayed, or with another of
/// this process.
constexpr int kMaxWriteTries = 4;

}  // namespace

DepartureLoop::DepartureLoop(Fleet& fleet,
                             GossipLoop& gossip,
                             Upstreams upstreams)
    : fleet(fleet),
      gossip(gossip),
      upstreams(std::move(upstreams)),
      backoff({.first = kFirstStoreRetry, .longest = kMaxStoreRetry}) {}

void DepartureLoop::AskWitnessesStep() {
  const bool is_needed = !this->has_answer || !this->IsKnown();
  if (is_needed && this->AskWitnesses() && !this->has_answer.exchange(true)) {
    this->fleet.recorder.Record(
        {.kind = "departures_learned", .detail = "from peers"});
  }
  fibers::SleepFor(this->has_answer || this->IsKnown() ? kAskInterval
                                                       : kFirstAskInterval);
}

void DepartureLoop::FollowStoreStep() {
  this->NoticeEra();
  absl::Status status;
  if (!this->was_read) {
    status = this->Read();
  } else if (this->calls_to_keep == 0 && this->IsAnyNotKept()) {
    status = this->Write();
  }
  if (status.ok()) {
    this->backoff.Reset();
    fibers::SleepFor(kStoreInterval);
    return;
  }
  logging::Write(logging::Level::kWarning,
                 "departures could not be read from the store or kept there",
                 {{.name = "error", .value = MessageOf(status)}});
  fibers::SleepFor(this->backoff.NextDelay());
}

bool DepartureLoop::IsKnown() const {
  return this->was_read || this->has_memory;
}

absl::Status DepartureLoop::Keep(const std::string& departure) {
  if (this->IsKept(departure)) {
    return absl::OkStatus();
  }
  ++this->calls_to_keep;
  const absl::Status status = fibers::RunOr(
      "keep a departure",
      [this] {
        this->upstreams.publish();
        this->InformWitnesses();
        return this->Write();
      },
      [] { return absl::InternalError(once::kInternalError); });
  --this->calls_to_keep;
  this->fleet.recorder.Record(
      {.kind = status.ok() ? "departure_kept" : "departure_not_kept",
       .detail = status.ok()
                     ? departure
                     : absl::StrCat(departure, ": ", MessageOf(status))});
  return status;
}

void DepartureLoop::InformWitnesses() {
  fibers::CallEach(this->Witnesses(), [this](const std::string& host) {
    return this->gossip.SendOwnRecord(host, kCallTimeout);
  });
}

std::vector<std::string> DepartureLoop::Witnesses() const {
  return membership::WitnessesOf(
      this->fleet.settings.host, this->fleet.settings.zone,
      this->fleet.directory.HostsNotDead(), kWitnesses);
}

// The versions are sent without that of this host, so that the answer contains
// the record that the peer has of it.
bool DepartureLoop::AskHost(const std::string& host) {
  auto versions = this->fleet.directory.Versions();
  versions.erase(this->fleet.settings.host);
  const auto answer = this->fleet.peers.Sync(host, versions, kCallTimeout,
                                             rpc::TrafficPurpose::kDepartures);
  if (!answer.ok()) {
    return false;
  }
  for (const membership::HostUpdate& update : answer->updates) {
    if (update.record.host == this->fleet.settings.host) {
      this->upstreams.learn(update.record.departures);
    }
  }
  this->fleet.directory.Merge(answer->updates);
  if (this->RemembersEarlierStart(host)) {
    this->has_memory = true;
  }
  return true;
}

// Any peer tells which hosts there are; only then the witnesses are known.
bool DepartureLoop::AskWitnesses() {
  const std::vector<std::string> first = this->Witnesses();
  if (first.empty() ||
      fibers::CallEach({first.front()}, [this](const auto& host) {
        return this->AskHost(host);
      }) == 0) {
    return false;
  }
  return fibers::CallEach(this->Witnesses(), [this](const std::string& host) {
           return this->AskHost(host);
         }) > 0;
}

bool DepartureLoop::RemembersEarlierStart(const std::string& host) const {
  const auto hosts = this->fleet.directory.HostsNotDead();
  const auto find = [&](const std::string& name) {
    return std::find_if(
        hosts.begin(), hosts.end(),
        [&](const membership::HostRecord& each) { return each.host == name; });
  };
  const auto peer = find(host);
  const auto own = find(this->fleet.settings.host);
  return peer != hosts.end() && own != hosts.end() &&
         membership::StartedBefore(peer->incarnation, own->incarnation) >
             kMinAgeOfMemory;
}

bool DepartureLoop::IsKept(const std::string& departure) const {
  const std::lock_guard lock(this->mutex);
  return this->fleet.store.era() == this->era && this->kept.contains(departure);
}

bool DepartureLoop::IsAnyNotKept() const {
  const auto known = this->upstreams.known();
  const std::lock_guard lock(this->mutex);
  return std::any_of(known.begin(), known.end(), [this](const auto& each) {
    return !this->kept.contains(each);
  });
}

absl::Status DepartureLoop::Read() {
  const auto stored =
      store::ReadDepartures(this->fleet.store, this->fleet.settings.host);
  if (stored.ok()) {
    this->LearnFromStore(*stored);
  }
  return stored.status();
}

void DepartureLoop::LearnFromStore(const store::StoredDepartures& stored) {
  if (this->was_read) {
    return;
  }
  this->upstreams.learn(stored.names);
  this->SetKept(stored.names, this->fleet.store.era());
  this->was_read = true;
  this->fleet.recorder.Record(
      {.kind = "departures_learned",
       .detail = absl::StrCat("from the store: ", stored.names.size())});
}

absl::Status DepartureLoop::Write() {
  absl::Status status;
  bool conflict = true;
  for (int i = 0; i < kMaxWriteTries && conflict; ++i) {
    status = this->WriteOnce(conflict);
  }
  return status;
}

// The write takes effect only if nothing was written since the read, so that a
// delayed one can't take a departure back that was written after it.
absl::Status DepartureLoop::WriteOnce(bool& conflict) {
  conflict = false;
  const std::string& host = this->fleet.settings.host;
  const uint64_t current_era = this->fleet.store.era();
  const auto stored = store::ReadDepartures(this->fleet.store, host);
  if (!stored.ok()) {
    return stored.status();
  }
  this->LearnFromStore(*stored);
  const auto departures = this->upstreams.known();
  const std::set<std::string> names(stored->names.begin(), stored->names.end());
  if (std::includes(names.begin(), names.end(), departures.begin(),
                    departures.end())) {
    // An earlier write has taken effect without a response.
    this->SetKept(stored->names, current_era);
    return absl::OkStatus();
  }
  const auto put =
      store::WriteDepartures(this->fleet.store, host, departures, *stored);
  if (!put.ok()) {
    return put.status();
  }
  if (*put != store::PutResult::kWritten) {
    conflict = true;
    return absl::AbortedError(
        "the departures in the store were written by another call");
  }
  this->SetKept(departures, current_era);
  return absl::OkStatus();
}

void DepartureLoop::NoticeEra() {
  const std::lock_guard lock(this->mutex);
  if (this->fleet.store.era() != this->era) {
    this->era = this->fleet.store.era();
    this->kept.clear();
  }
}

void DepartureLoop::SetKept(const std::vector<std::string>& departures,
                            uint64_t written_in) {
  const std::lock_guard lock(this->mutex);
  if (written_in == this->era) {
    this->kept = {departures.begin(), departures.end()};
  }
}

}  // namespace kingcupstair::control
