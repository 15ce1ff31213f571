#ifndef COMPONENTS_MEMBERSHIP_STOP_SCHEDULE_H_
#define COMPONENTS_MEMBERSHIP_STOP_SCHEDULE_H_

#include "components/base/time.h"

namespace kingcupstair::membership {

/// Times by which a host that is told to stop does what it has to do before it
/// is killed. A default schedule is that of a host that was not told to stop.
struct StopSchedule {
  /// How long a host may take, set by whoever stops it.
  struct Options {
    /// Time from the signal to stop until the process is killed.
    Duration grace{std::chrono::seconds(30)};
    /// How long new connections are accepted after the signal. Half of the
    /// grace at most.
    Duration accept_time{std::chrono::seconds(2)};

    bool operator==(const Options&) const = default;
  };

  /// Until then, new connections are accepted.
  Instant accept_until = Instant::max();
  /// From then on, requests are refused.
  Instant refuse_from = Instant::max();
  /// At this time, each request still in progress gets the response that can be
  /// given without its result.
  Instant respond_by = Instant::max();
  /// By then, the process ends.
  Instant exit_by = Instant::max();

  bool operator==(const StopSchedule&) const = default;
};

/// Returns the schedule of a host that is told to stop at `now`.
StopSchedule MakeStopSchedule(const StopSchedule::Options& options,
                              Instant now);

}  // namespace kingcupstair::membership

#endif  // COMPONENTS_MEMBERSHIP_STOP_SCHEDULE_H_
