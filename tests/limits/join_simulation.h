#ifndef TESTS_LIMITS_JOIN_SIMULATION_H_
#define TESTS_LIMITS_JOIN_SIMULATION_H_

#include "components/base/time.h"

namespace kingcupstair {

struct JoinOptions {
  int hosts = 74;
  /// All processes start at random times within this span.
  Duration start_spread{std::chrono::milliseconds(300)};
  /// Time of a call to the store. It takes effect after half of that.
  Duration call_time{std::chrono::milliseconds(8)};
  /// Accepts a write of another host in place of the host's own, as
  /// limits::JoinFence does. Otherwise each host writes the table.
  bool uses_fence = true;
};

struct JoinResult {
  /// Reads and writes of all hosts until all have joined.
  int store_calls = 0;
  /// From the last start until the last host has its share.
  Duration last_share{};
};

/// Simulates how hosts that have entries in the share table and start together
/// join it, on a virtual clock: the steps of control::ShareLoop::Join.
JoinResult SimulateJoin(const JoinOptions& options);

}  // namespace kingcupstair

#endif  // TESTS_LIMITS_JOIN_SIMULATION_H_
