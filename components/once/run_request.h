#ifndef COMPONENTS_ONCE_RUN_REQUEST_H_
#define COMPONENTS_ONCE_RUN_REQUEST_H_

#include <cstdint>
#include <string>

#include "components/base/time.h"
#include "components/http/message.h"
#include "components/once/crash_ledger.h"

namespace kingcupstair::once {

/// Stands for the organisation of a request that needs no key.
inline constexpr char kNoOrganisation[] = "-";

/// No bound on what is out at an upstream.
inline constexpr int kAnyInFlight = 65'535;

/// Asks for a slot of an upstream, which is held for the request that follows.
struct SlotRequest {
  /// That of the attempt that will use the slot.
  std::string request_id;
  uint64_t incarnation = 0;
  std::string organisation;
  std::string upstream;
  /// 0 is the most urgent.
  int priority = 1;
  /// It is part of a request that holds a slot elsewhere.
  bool internal = false;
  /// It can't be sent elsewhere later, so it keeps away from an upstream that
  /// may be hanging; others are the trial of such an upstream.
  bool careful = true;
  /// No upstream that looks well had a slot, so one that does not will do.
  bool last_resort = false;
  Duration objective{};
  /// Only if no more than this many requests are out at the upstream.
  int most_in_flight = kAnyInFlight;
  /// Longest wait for a slot; zero asks for one that is free now.
  Duration max_wait{};
  Duration time_left{};

  bool operator==(const SlotRequest&) const = default;
};

/// One attempt to run a request on a chosen upstream.
struct RunRequest {
  /// Unique to this attempt.
  std::string request_id;
  /// Life of the host it is meant for; another life refuses it.
  uint64_t incarnation = 0;
  std::string organisation;
  std::string upstream;
  Fingerprint fingerprint = 0;
  bool idempotent = false;
  /// The caller's Idempotency-Key made unique by organisation; may be empty.
  std::string dedupe_key;
  Duration time_left{};
  /// The time within which an answer is as useful as it can be.
  Duration objective{};
  /// The service beside which the request entered the fleet; may be empty.
  std::string caller_service;
  http::Request request;

  bool operator==(const RunRequest&) const = default;
};

}  // namespace kingcupstair::once

#endif  // COMPONENTS_ONCE_RUN_REQUEST_H_
