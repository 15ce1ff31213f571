#include "components/membership/stop_schedule.h"

#include <algorithm>

#include "components/http/last_request_time.h"

namespace kingcupstair::membership {
namespace {

/// Time to write the last responses, at most this long and this part of the
/// grace.
constexpr Duration kMaxResponseTime{std::chrono::milliseconds(500)};
constexpr int kResponseTimeDivisor = 8;
/// Part of the response time that is left as a reserve when the process ends.
constexpr int kExitReserveDivisor = 2;

Duration ResponseTime(const StopSchedule::Options& options) {
  return std::min(kMaxResponseTime, options.grace / kResponseTimeDivisor);
}

}  // namespace

StopSchedule MakeStopSchedule(const StopSchedule::Options& options,
                              Instant now) {
  const Instant accept_until =
      now + std::min(options.accept_time, options.grace / 2);
  const Instant killed_at = now + options.grace;
  const Duration response_time = ResponseTime(options);
  const Instant respond_by = killed_at - response_time;
  return {.accept_until = accept_until,
          .refuse_from =
              accept_until +
              std::min(http::kLastRequestTime, (respond_by - accept_until) / 2),
          .respond_by = respond_by,
          .exit_by = killed_at - response_time / kExitReserveDivisor};
}

}  // namespace kingcupstair::membership
