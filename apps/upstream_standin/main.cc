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
constexpr Duration kDrainPoll{std::chrono::milliseconds(20)};
constexpr Duration kDrainNotice{std::chrono::milliseconds(700)};

struct UpstreamSettings {
  Endpoint listen;
  Endpoint daemon;
  std::string id;
  std::string service;
  int slots = 4;
  int cold_requests = 0;
  Duration work{std::chrono::milliseconds(5)};
  std::string run_log;
  Duration linger{};
};

settings::FlagSet MakeFlags(UpstreamSettings& target) {
  settings::FlagSet flags("upstream-standin",
                          "upstream-standin: a small stand-in for an "
                          "upstream, well or with faults.");
  flags.Add({.name = "listen",
             .help = "ADDRESS:PORT to serve",
             .set = settings::SetEndpoint(target.listen),
             .required = true});
  flags.Add({.name = "daemon",
             .help = "ADDRESS:PORT of this host's admin port, to announce to",
             .set = settings::SetEndpoint(target.daemon),
             .required = true});
  flags.Add({.name = "id",
             .help = "name of this upstream",
             .set = settings::SetText(target.id),
             .required = true});
  flags.Add({.name = "service",
             .help = "service that it belongs to",
             .set = settings::SetText(target.service),
             .required = true});
  flags.Add({.name = "slots",
             .help = "requests at once when warm",
             .set = settings::SetInteger(target.slots, 1, 1000)});
  flags.Add({.name = "cold-requests",
             .help = "answers until it is warm",
             .set = settings::SetInteger(target.cold_requests, 0, 100'000)});
  flags.Add({.name = "work-ms",
             .help = "milliseconds that a request takes",
             .set = settings::SetMillis(target.work, 0, 60'000)});
  flags.Add({.name = "linger-ms",
             .help = "milliseconds for which it still serves after it has "
                     "said that it leaves",
             .set = settings::SetMillis(target.linger, 0, 60'000)});
  flags.Add({.name = "run-log",
             .help = "file to which a line is added for each run",
             .set = settings::SetText(target.run_log)});
  return flags;
}

void AnnounceUntil(const UpstreamSettings& settings,
                   const std::string& incarnation,
                   const std::atomic<bool>& draining) {
  while (true) {
    const guard::Announcement announcement{.id = settings.id,
                                           .service = settings.service,
                                           .endpoint = settings.listen,
                                           .incarnation = incarnation,
                                           .slots = settings.slots,
                                           .draining = draining};
    http::Exchange(
        {.server = settings.daemon,
         .request = {.method = "POST",
                     .target = "/announce",
                     .body = guard::EncodeAnnouncement(announcement)}});
    fibers::SleepFor(draining ? kDrainPoll : kAnnounceInterval);
  }
}

int Main(int argc, char** argv) {
  UpstreamSettings settings;
  settings::FlagSet flags = MakeFlags(settings);
  std::vector<std::string> words;
  if (const auto code = settings::ExitCodeOf(flags.Parse(argc, argv, words))) {
    return *code;
  }
  const settings::EndSignals end_signals;
  UpstreamService service({.id = settings.id,
                           .slots = settings.slots,
                           .work = settings.work,
                           .cold_requests = settings.cold_requests,
                           .run_log = settings.run_log});
  fibers::WorkerPool workers(1);
  http::Server server(workers, {.listen = settings.listen},
                      [&service](const http::Request& request) {
                        return service.Handle(request);
                      });
  if (const auto status = server.Start(); !status.ok()) {
    return settings::ReportError("upstream-standin", status);
  }
  std::atomic<bool> draining{false};
  workers.Spawn([&] { AnnounceUntil(settings, RandomId(), draining); });
  end_signals.Wait();
  draining = true;
  std::this_thread::sleep_for(kDrainNotice + settings.linger);
  while (server.InFlight() > 0) {
    std::this_thread::sleep_for(kDrainPoll);
  }
  settings::EndProcess(settings::kExitOk);
}

}  // namespace
}  // namespace kingcupstair

int main(int argc, char** argv) {
  return kingcupstair::Main(argc, argv);
}
