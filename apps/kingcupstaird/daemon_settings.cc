#include "apps/kingcupstaird/daemon_settings.h"

#include <iostream>

namespace kingcupstair {
namespace {

constexpr size_t kShortestFleetKey = 16;
constexpr int kMaxThreads = 64;
constexpr int64_t kLongestLeaveMillis = 60'000;

settings::Setter SetFleetKey(std::string& target) {
  return [&target](const std::string& text) -> absl::Status {
    if (text.size() < kShortestFleetKey) {
      return absl::InvalidArgumentError("expected at least 16 characters");
    }
    target = text;
    return absl::OkStatus();
  };
}

settings::FlagSet MakeFlags(DaemonSettings& settings) {
  settings::FlagSet flags(
      "kingcupstaird",
      "kingcupstaird: takes callers' requests and guards this host's "
      "upstreams.");
  flags.Add({.name = "listen",
             .help = "ADDRESS:PORT for callers",
             .set = settings::SetEndpoint(settings.listen),
             .required = true});
  flags.Add({.name = "peer-listen",
             .help = "ADDRESS:PORT for other hosts",
             .set = settings::SetEndpoint(settings.peer_listen),
             .required = true});
  flags.Add({.name = "peer-address",
             .help = "ADDRESS:PORT at which other hosts reach this one, if "
                     "not peer-listen; names this host",
             .set = settings::SetEndpoint(settings.peer_address)});
  flags.Add({.name = "admin-listen",
             .help = "ADDRESS:PORT for upstreams here and operators' tools",
             .set = settings::SetEndpoint(settings.admin_listen),
             .required = true});
  flags.Add({.name = "store",
             .help = "ADDRESS:PORT of the platform's key-value store",
             .set = settings::SetEndpoint(settings.store),
             .required = true});
  flags.Add({.name = "zone",
             .help = "availability zone of this host",
             .set = settings::SetText(settings.zone),
             .required = true});
  flags.Add({.name = "region",
             .help = "region of this host",
             .set = settings::SetText(settings.region)});
  flags.Add({.name = "fleet-key",
             .help = "secret shared by all hosts, at least 16 characters; "
                     "better set in the environment",
             .set = SetFleetKey(settings.fleet_key),
             .required = true});
  flags.Add({.name = "seeds",
             .help = "ADDRESS:PORT,... of peers to ask first",
             .set = settings::SetEndpoints(settings.seeds)});
  flags.Add({.name = "threads",
             .help = "threads for requests, 1 to 64",
             .set = settings::SetInteger(settings.threads, 1, kMaxThreads)});
  flags.Add({.name = "ready-listen",
             .help = "ADDRESS:PORT at which it is asked whether this host "
                     "takes callers, if not admin-listen",
             .set = settings::SetEndpoint(settings.ready_listen)});
  flags.Add({.name = "metrics-listen",
             .help = "ADDRESS:PORT at which counters are read, if not "
                     "admin-listen",
             .set = settings::SetEndpoint(settings.metrics_listen)});
  flags.Add({.name = "site-interface",
             .help = "how callers, upstreams, the store and operators are "
                     "talked with: own or platform",
             .set = settings::SetText(settings.site_interface)});
  flags.Add({.name = "caller-service",
             .help = "service of the upstream on this host, told to other "
                     "upstreams",
             .set = settings::SetText(settings.caller_service)});
  flags.Add({.name = "retry-ratio",
             .help = "retries of all hosts for each request, 0 to 1",
             .set = settings::SetFraction(settings.retries.ratio)});
  flags.Add({.name = "retry-slack",
             .help = "retries of all hosts together beyond that",
             .set = settings::SetNumber(settings.retries.slack)});
  flags.Add({.name = "rate-tolerance",
             .help = "fraction of rates and bursts tolerated on top, 0 to 1",
             .set = settings::SetFraction(settings.rate_tolerance)});
  flags.Add({.name = "rate-slack",
             .help = "requests tolerated on top of each burst",
             .set = settings::SetNumber(settings.rate_slack)});
  flags.Add({.name = "watchers-per-zone",
             .help = "hosts of each availability zone that watch the store",
             .set = settings::SetInteger(settings.watchers_per_zone, 1, 100)});
  flags.Add({.name = "leave-ms",
             .help = "milliseconds for which a leaving host still takes "
                     "requests, at most 60000",
             .set = settings::SetMillis(settings.leave_time, 0,
                                        kLongestLeaveMillis)});
  return flags;
}

}  // namespace

settings::ParseOutcome ReadSettings(int argc,
                                    char** argv,
                                    DaemonSettings& settings) {
  settings::FlagSet flags = MakeFlags(settings);
  std::vector<std::string> words;
  const auto outcome = flags.Parse(argc, argv, words);
  if (outcome == settings::ParseOutcome::kRun && !words.empty()) {
    std::cerr << "kingcupstaird: '" << words.front() << "' is no setting\n";
    return settings::ParseOutcome::kExitUsage;
  }
  if (settings.peer_address.port == 0) {
    settings.peer_address = settings.peer_listen;
  }
  return outcome;
}

}  // namespace kingcupstair
