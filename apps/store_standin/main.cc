#include "apps/store_standin/store_service.h"
#include "components/fibers/worker_pool.h"
#include "components/http/server.h"
#include "components/settings/end_signals.h"
#include "components/settings/flag_set.h"

namespace kingcupstair {
namespace {

constexpr int kMaxEra = 100;

int Main(int argc, char** argv) {
  Endpoint listen;
  settings::FlagSet flags(
      "store-standin",
      "store-standin: a test stand-in for the platform's key-value store.");
  flags.Add({.name = "listen",
             .help = "ADDRESS:PORT to serve",
             .set = settings::SetEndpoint(listen),
             .required = true});
  int era = 0;
  flags.Add({.name = "era",
             .help = "first era of the store; 0 for a store without eras",
             .set = settings::SetInteger(era, 0, kMaxEra)});
  std::vector<std::string> words;
  if (const auto code = settings::ExitCodeOf(flags.Parse(argc, argv, words))) {
    return *code;
  }
  const settings::TerminationSignals end_signals;
  StoreService service(static_cast<uint64_t>(era));
  fibers::WorkerPool workers(1);
  http::Server server(workers, {.listen = listen},
                      [&service](const http::Request& request) {
                        return service.Handle(request);
                      });
  if (const auto status = server.Start(); !status.ok()) {
    return settings::ReportError("store-standin", status);
  }
  end_signals.Wait();
  settings::ExitProcess(settings::kExitOk);
}

}  // namespace
}  // namespace kingcupstair

int main(int argc, char** argv) {
  return kingcupstair::Main(argc, argv);
}
