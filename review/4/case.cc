// A target leaves while its heartbeats are late, and one of these arrives after
// its departure was confirmed.

#include <iostream>
#include <set>

#include "review/standins/case.h"
#include "review/standins/site.h"

namespace kingcupstair::review {
namespace {

constexpr double kRequestsPerSecond = 30;
/// Bound of the site, in seconds.
constexpr double kDrain = 2;
/// Heartbeats in a row that are late.
constexpr int kHeldUp = 5;
/// When the first late heartbeat arrives, and how long the target serves, in
/// seconds after its departure was confirmed. The others follow each second.
constexpr double kFirstLate = 0.5;
constexpr double kServesOn = 5;

Verdict Play(const CaseOptions& options) {
  const bool trouble = options.trouble;
  Site site({.record = options.record, .logs = options.logs});
  Record& record = site.record();
  if (!site.Start()) {
    return ReportUnusable(record, "the machines did not get ready");
  }
  site.StartLoad(kRequestsPerSecond, {kFirstKey, kSecondKey});
  const double start = record.Now();
  Target& target = *site.machines().front()->target;

  // From here on the heartbeats are late, where there is trouble.
  site.SleepUntil(start + 3);
  target.StopHeartbeats();
  std::vector<std::string> late;
  for (int i = 0; i < kHeldUp; ++i) {
    const std::string heartbeat = target.MakeHeartbeat("in_service");
    record.Write("heartbeat of " + target.options().id +
                 (trouble ? " is held up" : " is sent"));
    if (trouble) {
      late.push_back(heartbeat);
    } else {
      target.Deliver(heartbeat);
    }
    site.SleepUntil(start + 3 + 1.5 * (i + 1));
  }
  const int left = target.Leave();
  const double confirmed_at = record.Now();
  record.Write("departure of " + target.options().id + " is answered " +
               std::to_string(left));
  if (left / 100 != 2) {
    return ReportUnusable(record, "the departure was not confirmed");
  }
  for (size_t i = 0; i < late.size(); ++i) {
    site.SleepUntil(confirmed_at + kFirstLate + static_cast<double>(i));
    const int status = target.Deliver(late[i]);
    record.Write("a late heartbeat is answered " + std::to_string(status));
  }
  const double bound = confirmed_at + kDrain;
  site.SleepUntil(confirmed_at + kServesOn);
  target.End();
  record.Write("end of " + target.options().id);
  site.SleepUntil(confirmed_at + kServesOn + 1);
  site.StopLoad();

  std::set<std::string> late_attempts;
  for (const Run& run : site.runs().All()) {
    if (run.target == target.options().id && run.at > bound) {
      late_attempts.insert(run.attempt);
    }
  }
  int lost = 0;
  for (const Sent& sent : site.AllSent()) {
    lost += sent.status != 200 && late_attempts.count(sent.attempt) > 0 ? 1 : 0;
  }
  const std::string result =
      std::to_string(late_attempts.size()) + " requests reached " +
      target.options().id + " later than " +
      std::to_string(bound - confirmed_at) + " s after the confirmation (" +
      std::to_string(kDrain) + " s allowed); " + std::to_string(lost) +
      " of them got no success";
  record.Write(result);
  std::cout << result << "\n";
  return late_attempts.empty() ? Verdict::kHeld : Verdict::kBroken;
}

}  // namespace
}  // namespace kingcupstair::review

int main(int argc, char** argv) {
  return kingcupstair::review::PlayCase(argc, argv, kingcupstair::review::Play);
}
