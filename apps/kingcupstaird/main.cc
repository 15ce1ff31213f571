#include "absl/strings/str_cat.h"
#include "apps/kingcupstaird/daemon.h"
#include "components/logging/log.h"
#include "components/settings/end_signals.h"
#include "platform/interface.h"

namespace kingcupstair {
namespace {

absl::StatusOr<site::SiteInterface> SiteInterfaceNamed(
    const std::string& name) {
  if (name == "own") {
    return site::DefaultInterface();
  }
  if (name == "platform") {
    return platform::PlatformInterface();
  }
  return absl::InvalidArgumentError(
      "--site-interface must be own or platform, not '" + name + "'");
}

int Main(int argc, char** argv) {
  DaemonSettings settings;
  if (const auto code =
          settings::ExitCodeOf(ReadSettings(argc, argv, settings))) {
    return *code;
  }
  logging::Init("kingcupstaird");
  const settings::TerminationSignals end_signals;
  auto interface = SiteInterfaceNamed(settings.site_interface);
  if (!interface.ok()) {
    settings::ExitProcess(
        settings::ReportError("kingcupstaird", interface.status()));
  }
  if (interface->read_bounds && !settings.site_bounds.empty()) {
    const auto bounds = interface->read_bounds(settings.site_bounds);
    if (!bounds.ok()) {
      settings::ExitProcess(
          settings::ReportError("kingcupstaird", bounds.status()));
    }
    ApplyBounds(*bounds, settings);
  }
  Daemon daemon(settings, *std::move(interface));
  if (const auto status = daemon.Start(); !status.ok()) {
    settings::ExitProcess(settings::ReportError("kingcupstaird", status));
  }
  logging::Write(
      logging::Level::kInfo, "serving",
      {{.name = "peer", .value = ToText(settings.peer_listen)},
       {.name = "zone", .value = settings.zone},
       {.name = "stop_grace_ms",
        .value = absl::StrCat(ToMillisRoundedUp(settings.stop.grace))},
       {.name = "retry_slack", .value = absl::StrCat(settings.retries.slack)},
       {.name = "warm_slack",
        .value = absl::StrCat(settings.warm_up.warm_slack)}});
  end_signals.Wait([] {
    logging::Write(logging::Level::kInfo,
                   "SIGHUP ignored: settings are read only at startup");
  });
  daemon.Leave();
  logging::Write(logging::Level::kInfo, "left");
  logging::Flush();
  settings::ExitProcess(settings::kExitOk);
}

}  // namespace
}  // namespace kingcupstair

int main(int argc, char** argv) {
  return kingcupstair::Main(argc, argv);
}
