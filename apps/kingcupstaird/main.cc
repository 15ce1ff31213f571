#include "apps/kingcupstaird/daemon.h"
#include "components/logging/log.h"
#include "components/settings/end_signals.h"

namespace kingcupstair {
namespace {

int Main(int argc, char** argv) {
  DaemonSettings settings;
  if (const auto code =
          settings::ExitCodeOf(ReadSettings(argc, argv, settings))) {
    return *code;
  }
  logging::Init("kingcupstaird");
  const settings::EndSignals end_signals;
  Daemon daemon(settings);
  if (const auto status = daemon.Start(); !status.ok()) {
    settings::EndProcess(settings::ReportError("kingcupstaird", status));
  }
  logging::Write(logging::Level::kInfo, "serving",
                 {{.name = "peer", .value = ToText(settings.peer_listen)},
                  {.name = "zone", .value = settings.zone}});
  end_signals.Wait();
  daemon.Leave();
  logging::Write(logging::Level::kInfo, "left");
  settings::EndProcess(settings::kExitOk);
}

}  // namespace
}  // namespace kingcupstair

int main(int argc, char** argv) {
  return kingcupstair::Main(argc, argv);
}
