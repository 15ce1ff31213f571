#include "components/rpc/convert.h"

#include <algorithm>

namespace kingcupstair::rpc {
namespace {

constexpr double kPermille = 1000;

std::string ToString(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

uint32_t ClampToUint32(int64_t value) {
  return static_cast<uint32_t>(std::clamp<int64_t>(value, 0, UINT32_MAX));
}

// Values above the highest known one are read as that one, `kDead`.
membership::Liveness ToLiveness(uint8_t value) {
  return static_cast<membership::Liveness>(std::min<uint8_t>(value, 2));
}

void WriteHostUpdate(const membership::HostUpdate& update,
                     wire::HostUpdate::Builder out) {
  const membership::HostRecord& record = update.record;
  out.setHost(record.host);
  out.setIncarnation(record.incarnation);
  out.setVersion(record.version);
  out.setLiveness(static_cast<uint8_t>(update.liveness));
  out.setLeaving(record.leaving);
  out.setPools(record.pools);
  out.setLoadSequence(static_cast<uint32_t>(record.load_sequence));
  out.setZone(record.zone);
  out.setRegion(record.region);
  out.setAdmin(record.admin);
  const size_t present = record.upstreams.size();
  auto upstreams = out.initUpstreams(
      static_cast<unsigned>(present + record.departures.size()));
  for (unsigned i = 0; i < present; ++i) {
    Write(record.upstreams[i], upstreams[i]);
  }
  for (size_t i = 0; i < record.departures.size(); ++i) {
    upstreams[static_cast<unsigned>(present + i)].setId(record.departures[i]);
  }
  if (record.rollbacks.empty()) {
    return;
  }
  auto rollbacks =
      out.initRollbacks(static_cast<unsigned>(record.rollbacks.size()));
  for (unsigned i = 0; i < record.rollbacks.size(); ++i) {
    rollbacks[i].setService(record.rollbacks[i].service);
    rollbacks[i].setVersion(record.rollbacks[i].version);
  }
}

membership::HostUpdate ReadHostUpdate(wire::HostUpdate::Reader in) {
  membership::HostUpdate update{
      .record = {.host = ToString(in.getHost()),
                 .incarnation = in.getIncarnation(),
                 .version = in.getVersion(),
                 .load_sequence = in.getLoadSequence(),
                 .zone = ToString(in.getZone()),
                 .region = ToString(in.getRegion()),
                 .admin = ToString(in.getAdmin()),
                 .leaving = in.getLeaving(),
                 .pools = in.getPools()},
      .liveness = ToLiveness(in.getLiveness())};
  for (const auto upstream : in.getUpstreams()) {
    if (upstream.getService().size() == 0) {
      update.record.departures.push_back(ToString(upstream.getId()));
    } else {
      update.record.upstreams.push_back(Read(upstream));
    }
  }
  for (const auto rollback : in.getRollbacks()) {
    update.record.rollbacks.push_back(
        {.service = ToString(rollback.getService()),
         .version = ToString(rollback.getVersion())});
  }
  std::sort(update.record.departures.begin(), update.record.departures.end());
  return update;
}

void WriteRecentVersions(const std::vector<membership::RecentVersion>& recent,
                         capnp::List<wire::RecentVersion>::Builder out) {
  for (unsigned i = 0; i < recent.size(); ++i) {
    out[i].setHostHash(recent[i].host_hash);
    out[i].setIncarnation(recent[i].version.incarnation);
    out[i].setVersion(static_cast<uint32_t>(recent[i].version.version));
    out[i].setLiveness(static_cast<uint8_t>(recent[i].version.liveness));
  }
}

std::vector<membership::RecentVersion> ReadRecentVersions(
    capnp::List<wire::RecentVersion>::Reader in) {
  std::vector<membership::RecentVersion> recent;
  for (const auto version : in) {
    recent.push_back(
        {.host_hash = version.getHostHash(),
         .version = {.incarnation = version.getIncarnation(),
                     .version = version.getVersion(),
                     .liveness = ToLiveness(version.getLiveness())}});
  }
  return recent;
}

void WriteLoads(const std::vector<membership::LoadUpdate>& updates,
                capnp::List<wire::HostLoad>::Builder out) {
  for (unsigned i = 0; i < updates.size(); ++i) {
    const membership::LoadUpdate& update = updates[i];
    out[i].setHostHash(update.host_hash);
    out[i].setIncarnation(update.incarnation);
    out[i].setVersion(static_cast<uint32_t>(update.version));
    out[i].setSequence(static_cast<uint32_t>(update.sequence));
    auto loads = out[i].initLoads(static_cast<unsigned>(update.loads.size()));
    for (unsigned j = 0; j < update.loads.size(); ++j) {
      const membership::UpstreamLoad& load = update.loads[j];
      loads[j].setLimit(static_cast<uint16_t>(load.limit));
      loads[j].setLatencyMicros(ClampToUint32(load.latency.count()));
      loads[j].setErrorPermille(
          static_cast<uint16_t>(load.error_share * kPermille));
      loads[j].setFailurePermille(
          static_cast<uint16_t>(load.failure_probability * kPermille));
      loads[j].setFinished(load.finished);
      loads[j].setNamedRate(load.named_rate);
      loads[j].setRemainingMicros(ClampToUint32(load.remaining_work.count()));
    }
  }
}

std::vector<membership::LoadUpdate> ReadLoads(
    capnp::List<wire::HostLoad>::Reader in) {
  std::vector<membership::LoadUpdate> updates;
  for (const auto host : in) {
    membership::LoadUpdate update{.host_hash = host.getHostHash(),
                                  .incarnation = host.getIncarnation(),
                                  .version = host.getVersion(),
                                  .sequence = host.getSequence()};
    for (const auto load : host.getLoads()) {
      update.loads.push_back(
          {.limit = load.getLimit(),
           .latency = Duration(load.getLatencyMicros()),
           .error_share = load.getErrorPermille() / kPermille,
           .finished = load.getFinished(),
           .failure_probability = load.getFailurePermille() / kPermille,
           .named_rate = load.getNamedRate(),
           .remaining_work = Duration(load.getRemainingMicros())});
    }
    updates.push_back(std::move(update));
  }
  return updates;
}

}  // namespace

void Write(const GossipMessage& message, wire::Gossip::Builder out) {
  out.setHost(message.host);
  out.setDigest(message.digest);
  out.setRevision(message.revision);
  out.setStoreEra(message.store_era);
  Write(message.updates,
        out.initUpdates(static_cast<unsigned>(message.updates.size())));
  WriteRecentVersions(
      message.recent,
      out.initRecent(static_cast<unsigned>(message.recent.size())));
  WriteHashes(message.wanted,
              out.initWanted(static_cast<unsigned>(message.wanted.size())));
  WriteLoads(message.loads,
             out.initLoads(static_cast<unsigned>(message.loads.size())));
  auto crashes = out.initCrashes(static_cast<unsigned>(message.crashes.size()));
  for (unsigned i = 0; i < message.crashes.size(); ++i) {
    const once::AgedEvidence& aged = message.crashes[i];
    crashes[i].setFingerprint(aged.evidence.fingerprint);
    crashes[i].setUpstream(aged.evidence.upstream);
    crashes[i].setAgeMillis(ClampToUint32(ToMillisRoundedUp(aged.age)));
  }
  auto clearances =
      out.initClearances(static_cast<unsigned>(message.clearances.size()));
  for (unsigned i = 0; i < message.clearances.size(); ++i) {
    const once::AgedEvidence& aged = message.clearances[i];
    clearances[i].setFingerprint(aged.evidence.fingerprint);
    clearances[i].setUpstream(aged.evidence.upstream);
    clearances[i].setAgeMillis(ClampToUint32(ToMillisRoundedUp(aged.age)));
  }
}

GossipMessage Read(wire::Gossip::Reader in) {
  GossipMessage message{.host = ToString(in.getHost()),
                        .digest = in.getDigest(),
                        .revision = in.getRevision(),
                        .store_era = in.getStoreEra(),
                        .recent = ReadRecentVersions(in.getRecent()),
                        .wanted = ReadHashes(in.getWanted()),
                        .updates = Read(in.getUpdates()),
                        .loads = ReadLoads(in.getLoads())};
  for (const auto crash : in.getCrashes()) {
    message.crashes.push_back(
        {.evidence = {.fingerprint = crash.getFingerprint(),
                      .upstream = ToString(crash.getUpstream())},
         .age = std::chrono::milliseconds(crash.getAgeMillis())});
  }
  for (const auto clearance : in.getClearances()) {
    message.clearances.push_back(
        {.evidence = {.fingerprint = clearance.getFingerprint(),
                      .upstream = ToString(clearance.getUpstream())},
         .age = std::chrono::milliseconds(clearance.getAgeMillis())});
  }
  return message;
}

void Write(const std::vector<membership::HostUpdate>& updates,
           capnp::List<wire::HostUpdate>::Builder out) {
  for (unsigned i = 0; i < updates.size(); ++i) {
    WriteHostUpdate(updates[i], out[i]);
  }
}

std::vector<membership::HostUpdate> Read(
    capnp::List<wire::HostUpdate>::Reader in) {
  std::vector<membership::HostUpdate> updates;
  for (const auto update : in) {
    updates.push_back(ReadHostUpdate(update));
  }
  return updates;
}

void Write(const std::map<std::string, membership::RecordVersion>& versions,
           capnp::List<wire::Version>::Builder out) {
  unsigned index = 0;
  for (const auto& [host, at] : versions) {
    auto version = out[index++];
    version.setHost(host);
    version.setIncarnation(at.incarnation);
    version.setVersion(at.version);
    version.setLiveness(static_cast<uint8_t>(at.liveness));
  }
}

std::map<std::string, membership::RecordVersion> Read(
    capnp::List<wire::Version>::Reader in) {
  std::map<std::string, membership::RecordVersion> versions;
  for (const auto version : in) {
    versions[ToString(version.getHost())] = {
        .incarnation = version.getIncarnation(),
        .version = version.getVersion(),
        .liveness = ToLiveness(version.getLiveness())};
  }
  return versions;
}

void WriteHashes(const std::vector<uint64_t>& hashes,
                 capnp::List<uint64_t>::Builder out) {
  for (unsigned i = 0; i < hashes.size(); ++i) {
    out.set(i, hashes[i]);
  }
}

std::vector<uint64_t> ReadHashes(capnp::List<uint64_t>::Reader in) {
  std::vector<uint64_t> hashes;
  for (const uint64_t hash : in) {
    hashes.push_back(hash);
  }
  return hashes;
}

void Write(const membership::UpstreamRecord& record,
           wire::Upstream::Builder out) {
  out.setId(record.id);
  out.setService(record.service);
  if (!record.version.empty()) {
    out.setVersion(record.version);
  }
  out.setSlots(static_cast<uint16_t>(record.slots));
  out.setLimit(static_cast<uint16_t>(record.limit));
  out.setLatencyMicros(ClampToUint32(record.latency.count()));
  out.setErrorPermille(static_cast<uint16_t>(record.error_share * kPermille));
  out.setFinished(record.finished);
  out.setNamedRate(record.named_rate);
  out.setRemainingMicros(ClampToUint32(record.remaining_work.count()));
  out.setFailurePermille(
      static_cast<uint16_t>(record.failure_probability * kPermille));
}

membership::UpstreamRecord Read(wire::Upstream::Reader in) {
  return {.id = ToString(in.getId()),
          .service = ToString(in.getService()),
          .version = ToString(in.getVersion()),
          .slots = in.getSlots(),
          .limit = in.getLimit(),
          .latency = Duration(in.getLatencyMicros()),
          .error_share = in.getErrorPermille() / kPermille,
          .finished = in.getFinished(),
          .failure_probability = in.getFailurePermille() / kPermille,
          .named_rate = in.getNamedRate(),
          .remaining_work = Duration(in.getRemainingMicros())};
}

void Write(const limits::PermitGrant& grant, wire::Grant::Builder out) {
  out.setGranted(static_cast<uint32_t>(grant.granted));
  out.setRetryAfterMicros(static_cast<uint64_t>(grant.retry_after.count()));
  out.setLifeMicros(static_cast<uint64_t>(grant.lifetime.count()));
  out.setFraction(grant.pooled_fraction);
  out.setPoolsNothing(grant.has_no_loans);
  out.setPoolSilent(grant.pool_host_unresponsive);
  out.setMark(grant.loan_sequence_number);
}

limits::PermitGrant Read(wire::Grant::Reader in) {
  return {
      .granted = static_cast<int>(in.getGranted()),
      .retry_after = Duration(static_cast<int64_t>(in.getRetryAfterMicros())),
      .lifetime = Duration(static_cast<int64_t>(in.getLifeMicros())),
      .pooled_fraction = in.getFraction(),
      .has_no_loans = in.getPoolsNothing(),
      .pool_host_unresponsive = in.getPoolSilent(),
      .loan_sequence_number = in.getMark()};
}

void Write(const limits::LoanOffer& offer, wire::Offer::Builder out) {
  // One bit for each shard.
  uint32_t shards = 0;
  for (const limits::ShardId shard : offer.shards) {
    shards |= 1U << static_cast<unsigned>(shard);
  }
  out.setMark(offer.loan_sequence_number);
  out.setShards(shards);
  Write(offer.grant, out.initLoan());
}

limits::LoanOffer Read(wire::Offer::Reader in) {
  limits::LoanOffer offer{.loan_sequence_number = in.getMark(),
                          .grant = Read(in.getLoan())};
  for (limits::ShardId shard = 0; shard < limits::kShardCount; ++shard) {
    if ((in.getShards() >> static_cast<unsigned>(shard) & 1U) != 0) {
      offer.shards.push_back(shard);
    }
  }
  return offer;
}

void Write(const std::vector<retry::CallCounts>& calls,
           capnp::List<wire::RepeatedCalls>::Builder out) {
  for (unsigned i = 0; i < calls.size(); ++i) {
    out[i].setCaller(calls[i].caller);
    out[i].setService(calls[i].service);
    out[i].setCount(calls[i].by_retries);
    out[i].setCalls(calls[i].calls);
  }
}

std::vector<retry::CallCounts> Read(
    capnp::List<wire::RepeatedCalls>::Reader in) {
  std::vector<retry::CallCounts> calls;
  for (const auto each : in) {
    calls.push_back({.caller = ToString(each.getCaller()),
                     .service = ToString(each.getService()),
                     .calls = each.getCalls(),
                     .by_retries = each.getCount()});
  }
  return calls;
}

void Write(const limits::LoanGrant& grant, wire::Loan::Builder out) {
  out.setFraction(grant.fraction);
  out.setLifeMicros(static_cast<uint64_t>(grant.lifetime.count()));
}

limits::LoanGrant Read(wire::Loan::Reader in) {
  return {.fraction = in.getFraction(),
          .lifetime = Duration(static_cast<int64_t>(in.getLifeMicros()))};
}

}  // namespace kingcupstair::rpc
