#ifndef COMPONENTS_ONCE_RUN_REQUEST_H_
#define COMPONENTS_ONCE_RUN_REQUEST_H_

#include <cstdint>
#include <string>

#include "components/base/time.h"
#include "components/http/message.h"
#include "components/once/crash_ledger.h"

namespace kingcupstair::once {

/// Placeholder for the organisation of a request that needs no key.
inline constexpr char kNoOrganisation[] = "-";

/// No limit on the requests in flight at an upstream.
inline constexpr int kUnlimitedInFlight = 65'535;

/// Request for a slot of an upstream, which is reserved for the attempt that
/// follows.
struct SlotRequest {
  /// Request id of the attempt that will use the slot.
  std::string request_id;
  /// Incarnation of the host that the request is meant for.
  uint64_t incarnation = 0;
  std::string organisation;
  std::string upstream;
  /// 0 is the highest priority.
  int priority = 1;
  /// The request is part of another request that occupies a slot elsewhere.
  bool internal = false;
  /// The request is non-retryable: it can't be sent to another upstream later,
  /// so an unhealthy or suspected upstream refuses the slot. Requests without
  /// this flag serve as trial requests for such an upstream.
  bool non_retryable = true;
  /// No healthy upstream had a slot, so an unhealthy one is accepted.
  bool accept_unhealthy = false;
  /// Latency objective: time within which a response has full value.
  Duration objective{};
  /// The slot is refused if more requests than this are in flight at the
  /// upstream.
  int max_in_flight = kUnlimitedInFlight;
  /// Limit on new requests a second that the upstream named in the last
  /// response that this ingress passed on; 0 for none.
  double named_rate = 0;
  /// Requests with the same number need about the same time to run; 0 if not
  /// known.
  uint64_t work_class = 0;
  /// Size of the request's body.
  uint64_t body_bytes = 0;
  /// Timeout of the wait for a slot. Zero accepts only a slot that is free now.
  Duration max_wait{};
  /// Remaining time until the request's deadline.
  Duration remaining_time{};

  bool operator==(const SlotRequest&) const = default;
};

/// One attempt to run a request on a chosen upstream.
struct RunRequest {
  /// Unique to this attempt.
  std::string request_id;
  /// Incarnation of the host that the attempt is meant for. Any other
  /// incarnation refuses the attempt.
  uint64_t incarnation = 0;
  std::string organisation;
  std::string upstream;
  Fingerprint fingerprint = 0;
  bool idempotent = false;
  /// The caller's Idempotency-Key made unique by organisation; may be empty.
  std::string dedupe_key;
  /// Remaining time until the request's deadline.
  Duration remaining_time{};
  /// Latency objective: time within which a response has full value.
  Duration objective{};
  /// Service of the upstream that runs beside the ingress which received the
  /// request; may be empty.
  std::string caller_service;
  /// Probability that this run repeats an earlier one: 1 for a retry or hedge,
  /// and for the first attempt of a call that of the run which made the call.
  double repeat_probability = 0;
  /// As in SlotRequest.
  uint64_t work_class = 0;
  http::Request request;

  bool operator==(const RunRequest&) const = default;
};

}  // namespace kingcupstair::once

#endif  // COMPONENTS_ONCE_RUN_REQUEST_H_
