#ifndef COMPONENTS_RPC_TRAFFIC_COUNTERS_H_
#define COMPONENTS_RPC_TRAFFIC_COUNTERS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

#include "components/metrics/counters.h"

namespace kingcupstair::rpc {

/// What a message between hosts is about.
enum class TrafficPurpose {
  kRun,            ///< Runs with their bodies, and queries for their outcome.
  kSlot,           ///< Slot requests.
  kPermits,        ///< Permits and retry tokens.
  kLoans,          ///< Loans of shares and their returns.
  kGossip,         ///< Probes, without the host records that they carry.
  kRecords,        ///< Host records and comparisons of their versions.
  kConfiguration,  ///< Head and chunks of the configuration.
  kDepartures,     ///< What a starting host asks its witnesses.
};
inline constexpr size_t kTrafficPurposes = 8;

/// Where the other host of a connection is, seen from this host.
enum class ZoneRelation { kUnknown, kOwnZone, kOtherZone, kOtherRegion };
inline constexpr size_t kZoneRelations = 4;

/// Counts the bytes that this host sends to other hosts, as
/// kingcupstair_peer_bytes_total by purpose and zone relation. The bytes are
/// those of the messages, without the headers of the RPC library. Safe to use
/// from several threads.
class TrafficCounters {
 public:
  /// Returns where `host` is; kUnknown while that is not known.
  using RelationOf = std::function<ZoneRelation(const std::string& host)>;

  TrafficCounters(metrics::Counters& counters, RelationOf relation_of);

  void Add(TrafficPurpose purpose, ZoneRelation relation, uint64_t bytes);

  ZoneRelation RelationTo(const std::string& host) const {
    return this->relation_of(host);
  }

 private:
  RelationOf relation_of;
  std::array<std::array<std::atomic<uint64_t>*, kZoneRelations>,
             kTrafficPurposes>
      bytes{};
};

/// Counts the bytes sent over connections with one host. Remembers where the
/// host is, so that counting is one addition. Not safe to use from several
/// threads. Counts nothing without counters.
class HostTraffic {
 public:
  HostTraffic(TrafficCounters* counters, std::string host)
      : counters(counters), host(std::move(host)) {}

  void Add(TrafficPurpose purpose, uint64_t bytes);

  /// Counts a message of the RPC library, a builder or a reader.
  template <typename Message>
  void AddMessage(TrafficPurpose purpose, const Message& message) {
    if (this->counters != nullptr) {
      this->Add(purpose, SizeOf(message));
    }
  }

  /// Counts a message whose part `records` is about host records.
  template <typename Message, typename Records>
  void AddGossip(const Message& message, const Records& records) {
    if (this->counters != nullptr) {
      const uint64_t record_bytes = SizeOf(records.asReader());
      this->Add(TrafficPurpose::kRecords, record_bytes);
      this->Add(TrafficPurpose::kGossip, SizeOf(message) - record_bytes);
    }
  }

 private:
  template <typename Message>
  static uint64_t SizeOf(const Message& message) {
    constexpr uint64_t kBytesPerWord = 8;
    return message.totalSize().wordCount * kBytesPerWord;
  }

  TrafficCounters* counters;
  std::string host;
  ZoneRelation relation = ZoneRelation::kUnknown;
};

}  // namespace kingcupstair::rpc

#endif  // COMPONENTS_RPC_TRAFFIC_COUNTERS_H_
