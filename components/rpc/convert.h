#ifndef COMPONENTS_RPC_CONVERT_H_
#define COMPONENTS_RPC_CONVERT_H_

#include <cstddef>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "components/limits/rate_pool.h"
#include "components/membership/directory.h"
#include "components/once/run_request.h"
#include "components/retry/call_counts.h"
#include "components/rpc/messages.h"
#include "components/rpc/peer.capnp.h"

namespace kingcupstair::rpc {

// Conversions between the Cap'n Proto structures of peer.capnp and the value
// types of the other components. Each `Write` fills a builder whose lists have
// the size of the value's; each `Read` returns a copy. Durations have the unit
// that the name of the wire field gives.

inline constexpr size_t kAnySize = std::numeric_limits<size_t>::max();

void Write(const GossipMessage& message, wire::Gossip::Builder out);
GossipMessage Read(wire::Gossip::Reader in);

void Write(const std::vector<membership::HostUpdate>& updates,
           capnp::List<wire::HostUpdate>::Builder out);
std::vector<membership::HostUpdate> Read(
    capnp::List<wire::HostUpdate>::Reader in);

void Write(const std::map<std::string, membership::RecordVersion>& versions,
           capnp::List<wire::Version>::Builder out);
std::map<std::string, membership::RecordVersion> Read(
    capnp::List<wire::Version>::Reader in);

void WriteHashes(const std::vector<uint64_t>& hashes,
                 capnp::List<uint64_t>::Builder out);
std::vector<uint64_t> ReadHashes(capnp::List<uint64_t>::Reader in);

void Write(const membership::UpstreamRecord& record,
           wire::Upstream::Builder out);
membership::UpstreamRecord Read(wire::Upstream::Reader in);

void Write(const once::SlotRequest& request, wire::SlotRequest::Builder out);
once::SlotRequest Read(wire::SlotRequest::Reader in);

void Write(const SlotAnswer& answer, wire::SlotAnswer::Builder out);
SlotAnswer Read(wire::SlotAnswer::Reader in);

void Write(const once::RunRequest& request, wire::Run::Builder out);
once::RunRequest Read(wire::Run::Reader in);

/// Leaves out a response body of more than `max_body_bytes`.
void Write(const once::Outcome& outcome,
           wire::Outcome::Builder out,
           size_t max_body_bytes = kAnySize);
/// Returns the size of the body that was left out of `in`; 0 if none was.
size_t LeftOutBytes(wire::Outcome::Reader in);
once::Outcome Read(wire::Outcome::Reader in);

void Write(const ResolveAnswer& answer,
           wire::Resolution::Builder out,
           size_t max_body_bytes = kAnySize);
ResolveAnswer Read(wire::Resolution::Reader in);

void Write(const limits::LoanOffer& offer, wire::Offer::Builder out);
limits::LoanOffer Read(wire::Offer::Reader in);
void Write(const limits::PermitGrant& grant, wire::Grant::Builder out);
limits::PermitGrant Read(wire::Grant::Reader in);

void Write(const std::vector<retry::CallCounts>& calls,
           capnp::List<wire::RepeatedCalls>::Builder out);
std::vector<retry::CallCounts> Read(
    capnp::List<wire::RepeatedCalls>::Reader in);

void Write(const limits::LoanGrant& grant, wire::Loan::Builder out);
limits::LoanGrant Read(wire::Loan::Reader in);

}  // namespace kingcupstair::rpc

#endif  // COMPONENTS_RPC_CONVERT_H_
