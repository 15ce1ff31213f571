// A target leaves and its departure is confirmed. Then all processes of the
// system are killed, and a heartbeat from before the departure arrives late.

#include <csignal>
#include <iostream>
#include <set>

#include "review/standins/case.h"
#include "review/standins/site.h"

namespace kingcupstair::review {
namespace {

constexpr double kRequestsPerSecond = 30;
/// Bounds of the site, in seconds.
constexpr double kContact = 3;
constexpr double kDrain = 2;
/// Times in seconds after the departure was confirmed.
constexpr double kKillAt = 0.5;
constexpr double kStartAt = 1.5;
constexpr double kHeartbeatAt = 3.3;
constexpr double kServesOn = 6;

Verdict Play(const CaseOptions& options) {
  const bool trouble = options.trouble;
  Site site({.record = options.record, .logs = options.logs});
  Record& record = site.record();
  if (!site.Start()) {
    return ReportUnusable(record, "the machines did not get ready");
  }
  site.StartLoad(kRequestsPerSecond, {kFirstKey, kSecondKey});
  site.SleepUntil(record.Now() + 3);
  Target& target = *site.machines().front()->target;
  target.StopHeartbeats();
  const std::string late = target.MakeHeartbeat("in_service");
  record.Write("heartbeat of " + target.options().id + " is held up");
  const int left = target.Leave();
  const double confirmed_at = record.Now();
  record.Write("departure of " + target.options().id + " is answered " +
               std::to_string(left));
  if (left / 100 != 2) {
    return ReportUnusable(record, "the departure was not confirmed");
  }
  site.SleepUntil(confirmed_at + kKillAt);
  if (trouble) {
    record.Write("all processes are killed");
    for (const auto& machine : site.machines()) {
      machine->process->Signal(SIGKILL);
    }
    site.SleepUntil(confirmed_at + kStartAt);
    for (size_t i = 0; i < site.machines().size(); ++i) {
      site.StartProcess(i);
    }
    record.Write("all processes have started again");
  }
  const double in_touch_at =
      trouble ? record.Now() + kContact : confirmed_at + kDrain;
  site.SleepUntil(confirmed_at + kHeartbeatAt);
  const int status = target.Deliver(late);
  record.Write("the late heartbeat is answered " + std::to_string(status));
  site.SleepUntil(confirmed_at + kServesOn);
  target.End();
  record.Write("end of " + target.options().id);
  site.SleepUntil(confirmed_at + kServesOn + 1);
  site.StopLoad();

  std::set<std::string> late_attempts;
  for (const Sent& sent : site.AllSent()) {
    if (sent.at > in_touch_at) {
      late_attempts.insert(sent.attempt);
    }
  }
  int reached = 0;
  for (const Run& run : site.runs().All()) {
    reached += run.target == target.options().id &&
                       late_attempts.count(run.attempt) > 0
                   ? 1
                   : 0;
  }
  const std::string result =
      std::to_string(reached) + " requests that were sent later than " +
      std::to_string(in_touch_at - confirmed_at) +
      " s after the confirmation, when all machines were in touch, reached " +
      target.options().id + " (" + std::to_string(kDrain) + " s allowed)";
  record.Write(result);
  std::cout << result << "\n";
  return reached == 0 ? Verdict::kHeld : Verdict::kBroken;
}

}  // namespace
}  // namespace kingcupstair::review

int main(int argc, char** argv) {
  return kingcupstair::review::PlayCase(argc, argv, kingcupstair::review::Play);
}
