#include <unistd.h>

#include <future>
#include <iostream>

#include "absl/time/time.h"
#include "apps/kingcupstairctl/commands.h"
#include "components/fibers/worker_pool.h"
#include "components/settings/flag_set.h"

namespace kingcupstair {
namespace {

settings::Setter SetTime(int64_t& target) {
  return [&target](const std::string& text) -> absl::Status {
    absl::Time time;
    std::string error;
    if (!absl::ParseTime(absl::RFC3339_full, text, &time, &error)) {
      return absl::InvalidArgumentError(
          "expected a time such as 2026-01-31T10:00:00Z");
    }
    target = absl::ToUnixMillis(time);
    return absl::OkStatus();
  };
}

constexpr int kMaxBodyBytes = 1'000'000'000;

settings::Setter SetFormat(bool& json) {
  return [&json](const std::string& text) -> absl::Status {
    if (text != "text" && text != "json") {
      return absl::InvalidArgumentError("expected text or json");
    }
    json = text == "json";
    return absl::OkStatus();
  };
}

settings::FlagSet MakeFlags(CommandLine& line) {
  settings::FlagSet flags(
      "kingcupstairctl",
      "kingcupstairctl: operator tool of the fleet.\n\n" + CommandsHelp());
  flags.Add({.name = "store",
             .help = "ADDRESS:PORT of the platform's key-value store",
             .set = settings::SetEndpoint(line.store)});
  flags.Add({.name = "hosts",
             .help = "ADDRESS:PORT,... of the hosts' admin ports; default: "
                     "the hosts in the store",
             .set = settings::SetEndpoints(line.hosts)});
  flags.Add({.name = "author",
             .help = "who makes the change; written into rules and revisions",
             .set = settings::SetText(line.author)});
  flags.Add({.name = "method",
             .help = "place: method of the request; default: GET",
             .set = settings::SetText(line.method)});
  flags.Add({.name = "body-bytes",
             .help = "place: size of the body of the request",
             .set = settings::SetInteger(line.body_bytes, 0, kMaxBodyBytes)});
  flags.Add({.name = "format",
             .help = "place: text or json",
             .set = SetFormat(line.json)});
  flags.Add({.name = "organisation",
             .help = "timeline: events of this organisation only; place: of "
                     "the request",
             .set = settings::SetText(line.filter.organisation)});
  flags.Add({.name = "upstream",
             .help = "timeline: events of this upstream only",
             .set = settings::SetText(line.filter.upstream)});
  flags.Add({.name = "kind",
             .help = "timeline: events of this kind only",
             .set = settings::SetText(line.filter.kind)});
  flags.Add({.name = "from",
             .help = "timeline: events from this time on, such as "
                     "2026-01-31T10:00:00Z",
             .set = SetTime(line.filter.from_ms)});
  flags.Add({.name = "until",
             .help = "timeline: events up to this time",
             .set = SetTime(line.filter.until_ms)});
  return flags;
}

bool NeedsStore(const CommandLine& line) {
  const std::string command = line.words.empty() ? "" : line.words[0];
  const bool reads_hosts =
      command == "status" || command == "timeline" || command == "place";
  return command != "check" && command != "explain" &&
         !(reads_hosts && !line.hosts.empty());
}

int Main(int argc, char** argv) {
  CommandLine line;
  const char* user = getlogin();
  line.author = user == nullptr ? "unknown" : user;
  settings::FlagSet flags = MakeFlags(line);
  if (const auto code =
          settings::ExitCodeOf(flags.Parse(argc, argv, line.words))) {
    return *code;
  }
  if (NeedsStore(line) && line.store.port == 0) {
    std::cerr << "kingcupstairctl: --store or KINGCUPSTAIR_STORE must be set\n";
    return settings::kExitUsage;
  }
  fibers::WorkerPool workers(1);
  std::promise<int> exit_code;
  workers.Spawn([&] { exit_code.set_value(RunCommand(line)); });
  const int code = exit_code.get_future().get();
  workers.Stop();
  return code;
}

}  // namespace
}  // namespace kingcupstair

int main(int argc, char** argv) {
  return kingcupstair::Main(argc, argv);
}
