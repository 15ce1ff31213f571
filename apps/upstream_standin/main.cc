#include <atomic>
#include <thread>

#include "apps/upstream_standin/upstream_service.h"
#include "components/base/hash.h"
#include "components/fibers/worker_pool.h"
#include "components/guard/announcement.h"
#include "components/http/client.h"
#include "components/http/server.h"
#include "components/settings/end_signals.h"
#include "components/settings/flag_set.h"

namespace kingcupstair {
namespace {

constexpr Duration kAnnounceInterval{std::chrono::milliseconds(500)};
constexpr Duration kDrainPollInterval{std::chrono::milliseconds(20)};
/// Longer than kAnnounceInterval, so that the draining upstream announces
/// itself at least once more before the process ends.
constexpr Duration kDrainNoticeTime{std::chrono::milliseconds(700)};
/// Longest request body that the upstream takes.
constexpr int64_t kMaxBodyBytes = 64 * 1024 * 1024;

struct UpstreamSettings {
  Endpoint listen;
  Endpoint daemon;
  std::string id;
  std::string service;
  std::string version;
  int slots = 4;
  int cold_requests = 0;
  Duration work{std::chrono::milliseconds(5)};
  std::string run_log;
  Duration linger{};
};

settings::FlagSet MakeFlags(UpstreamSettings& target) {
  settings::FlagSet flags("upstream-standin",
                          "upstream-standin: a test upstream, healthy or with "
                          "faults that are set through /faults.");
  flags.Add({.name = "listen",
             .help = "ADDRESS:PORT to serve",
             .set = settings::SetEndpoint(target.listen),
             .required = true});
  flags.Add({.name = "daemon",
             .help = "ADDRESS:PORT of this host's admin port, to which "
                     "the upstream announces itself",
             .set = settings::SetEndpoint(target.daemon),
             .required = true});
  flags.Add({.name = "id",
             .help = "name of this upstream",
             .set = settings::SetText(target.id),
             .required = true});
  flags.Add({.name = "service",
             .help = "service to which this upstream belongs",
             .set = settings::SetText(target.service),
             .required = true});
  flags.Add({.name = "program-version",
             .help = "version that this upstream announces",
             .set = settings::SetText(target.version)});
  flags.Add({.name = "slots",
             .help = "requests that the upstream can run at once when warm",
             .set = settings::SetInteger(target.slots, 1, 1000)});
  flags.Add({.name = "cold-requests",
             .help = "answers after a start until the upstream is warm",
             .set = settings::SetInteger(target.cold_requests, 0, 100'000)});
  flags.Add({.name = "work-ms",
             .help = "duration of a request in milliseconds",
             .set = settings::SetMillis(target.work, 0, 60'000)});
  flags.Add({.name = "linger-ms",
             .help = "milliseconds for which the upstream still serves "
                     "after it has announced that it drains",
             .set = settings::SetMillis(target.linger, 0, 60'000)});
  flags.Add({.name = "run-log",
             .help = "file to which a line is appended for each run",
             .set = settings::SetText(target.run_log)});
  return flags;
}

void AnnounceLoop(const UpstreamSettings& settings,
                  const std::string& incarnation,
                  const std::atomic<bool>& draining) {
  while (true) {
    const guard::Announcement announcement{.id = settings.id,
                                           .service = settings.service,
                                           .version = settings.version,
                                           .endpoint = settings.listen,
                                           .incarnation = incarnation,
                                           .slots = settings.slots,
                                           .draining = draining};
    http::Exchange(
        {.server = settings.daemon,
         .request = {.method = "POST",
                     .target = "/announce",
                     .body = guard::EncodeAnnouncement(announcement)}});
    fibers::SleepFor(draining ? kDrainPollInterval : kAnnounceInterval);
  }
}

int Main(int argc, char** argv) {
  UpstreamSettings settings;
  settings::FlagSet flags = MakeFlags(settings);
  std::vector<std::string> words;
  if (const auto code = settings::ExitCodeOf(flags.Parse(argc, argv, words))) {
    return *code;
  }
  const settings::TerminationSignals end_signals;
  UpstreamService service({.id = settings.id,
                           .slots = settings.slots,
                           .work = settings.work,
                           .cold_requests = settings.cold_requests,
                           .run_log = settings.run_log});
  fibers::WorkerPool workers(1);
  http::Server server(
      workers,
      {.listen = settings.listen,
       .limits =
           [] { return http::ServerLimits{.body_bytes = kMaxBodyBytes}; }},
      [&service](const http::Request& request) {
        return service.Handle(request);
      });
  if (const auto status = server.Start(); !status.ok()) {
    return settings::ReportError("upstream-standin", status);
  }
  std::atomic<bool> draining{false};
  workers.Spawn([&] { AnnounceLoop(settings, RandomId(), draining); });
  end_signals.Wait();
  draining = true;
  std::this_thread::sleep_for(kDrainNoticeTime + settings.linger);
  while (server.InFlight() > 0) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  settings::ExitProcess(settings::kExitOk);
}

}  // namespace
}  // namespace kingcupstair

int main(int argc, char** argv) {
  return kingcupstair::Main(argc, argv);
}
