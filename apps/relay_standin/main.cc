#include "apps/relay_standin/relay.h"
#include "components/fibers/worker_pool.h"
#include "components/http/server.h"
#include "components/settings/end_signals.h"
#include "components/settings/flag_set.h"

namespace kingcupstair {
namespace {

int Main(int argc, char** argv) {
  Relay::Options options;
  Endpoint control;
  settings::FlagSet flags(
      "relay-standin",
      "relay-standin: a TCP relay that can drop, delay or refuse traffic, for "
      "tests of network faults.");
  flags.Add({.name = "listen",
             .help = "ADDRESS:PORT on which to accept connections",
             .set = settings::SetEndpoint(options.listen),
             .required = true});
  flags.Add({.name = "server",
             .help = "ADDRESS:PORT to which to relay them",
             .set = settings::SetEndpoint(options.server),
             .required = true});
  flags.Add({.name = "control",
             .help = "ADDRESS:PORT of the control interface, /faults",
             .set = settings::SetEndpoint(control),
             .required = true});
  std::vector<std::string> words;
  if (const auto code = settings::ExitCodeOf(flags.Parse(argc, argv, words))) {
    return *code;
  }
  const settings::TerminationSignals end_signals;
  Relay relay(options);
  fibers::WorkerPool workers(1);
  http::Server server(workers, {.listen = control},
                      [&relay](const http::Request& request) {
                        return relay.HandleControl(request);
                      });
  if (const auto status = server.Start(); !status.ok()) {
    return settings::ReportError("relay-standin", status);
  }
  workers.Spawn([&relay] { relay.Run(); });
  end_signals.Wait();
  settings::ExitProcess(settings::kExitOk);
}

}  // namespace
}  // namespace kingcupstair

int main(int argc, char** argv) {
  return kingcupstair::Main(argc, argv);
}
