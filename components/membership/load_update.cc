#include "components/membership/load_update.h"

namespace kingcupstair::membership {
namespace {

/// Up to this bandwidth, load updates stay in the availability zone. A fleet of
/// a hundred hosts otherwise sends 1.5 MB/s of loads, half of it between zones.
constexpr double kMaxNarrowLinkMbps = 200;

}  // namespace

LoadScope LoadScopeFor(double link_mbps) {
  return link_mbps > 0 && link_mbps <= kMaxNarrowLinkMbps ? LoadScope::kZone
                                                          : LoadScope::kFleet;
}

std::vector<UpstreamLoad> LoadsOf(const HostRecord& record) {
  std::vector<UpstreamLoad> loads;
  for (const UpstreamRecord& upstream : record.upstreams) {
    loads.push_back({.limit = upstream.limit,
                     .latency = upstream.latency,
                     .error_share = upstream.error_share,
                     .finished = upstream.finished,
                     .failure_probability = upstream.failure_probability,
                     .named_rate = upstream.named_rate,
                     .remaining_work = upstream.remaining_work});
  }
  return loads;
}

bool ApplyLoads(const LoadUpdate& update, HostRecord& record) {
  if (update.incarnation != record.incarnation ||
      update.version != record.version ||
      update.sequence <= record.load_sequence ||
      update.loads.size() != record.upstreams.size()) {
    return false;
  }
  record.load_sequence = update.sequence;
  for (size_t i = 0; i < update.loads.size(); ++i) {
    const UpstreamLoad& load = update.loads[i];
    UpstreamRecord& upstream = record.upstreams[i];
    upstream.limit = load.limit;
    upstream.latency = load.latency;
    upstream.error_share = load.error_share;
    upstream.finished = load.finished;
    upstream.failure_probability = load.failure_probability;
    upstream.named_rate = load.named_rate;
    upstream.remaining_work = load.remaining_work;
  }
  return true;
}

}  // namespace kingcupstair::membership
