#include "components/control/departure_loop.h"

#include <utility>

#include "components/fibers/call_each.h"
#include "components/fibers/worker_pool.h"
#include "components/membership/witnesses.h"

namespace kingcupstair::control {
namespace {

/// More than one, since a witness may restart together with this host.
constexpr size_t kWitnesses = 3;
constexpr Duration kCallTimeout{std::chrono::milliseconds(300)};
/// Within this time of its start a host usually finds a peer.
constexpr Duration kMaxWait{std::chrono::seconds(2)};
constexpr Duration kRetryInterval{std::chrono::milliseconds(20)};
constexpr Duration kLateRetryInterval{std::chrono::seconds(1)};

}  // namespace

DepartureLoop::DepartureLoop(
    Fleet& fleet,
    GossipLoop& gossip,
    std::function<void(const std::vector<std::string>&)> learn)
    : fleet(fleet),
      gossip(gossip),
      learn(std::move(learn)),
      start(MonotonicNow()) {}

void DepartureLoop::Step() {
  if (!this->answered && this->AskWitnesses()) {
    this->answered = true;
    this->fleet.recorder.Record({.kind = "departures_learned"});
  }
  fibers::SleepFor(this->Known() ? kLateRetryInterval : kRetryInterval);
}

bool DepartureLoop::Known() const {
  return this->answered || MonotonicNow() - this->start > kMaxWait;
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
  const auto answer = this->fleet.peers.Sync(host, versions, kCallTimeout);
  if (!answer.ok()) {
    return false;
  }
  for (const membership::HostUpdate& update : answer->updates) {
    if (update.record.host == this->fleet.settings.host) {
      this->learn(update.record.departures);
    }
  }
  this->fleet.directory.Merge(answer->updates);
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

}  // namespace kingcupstair::control
