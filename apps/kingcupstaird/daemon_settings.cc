#include "apps/kingcupstaird/daemon_settings.h"

#include <iostream>

namespace kingcupstair {
namespace {

constexpr size_t kMinFleetKeyLength = 16;
constexpr int kMaxThreads = 64;
constexpr int kMaxConnections = 1'000'000;
constexpr int kMaxMemoryMb = 1'000'000;
constexpr int64_t kMaxLeaveMillis = 60'000;
constexpr int64_t kMinStopGraceMillis = 100;
constexpr int64_t kMaxStopGraceMillis = 600'000;
/// Used fraction of the rate that the site tolerates at a cold upstream. The
/// rest is a reserve for requests that a host short of processor time sends
/// closer together than it started them.
constexpr double kUsedColdRate = 0.9;

settings::Setter SetFleetKey(std::string& target) {
  return [&target](const std::string& text) -> absl::Status {
    if (text.size() < kMinFleetKeyLength) {
      return absl::InvalidArgumentError("expected at least 16 characters");
    }
    target = text;
    return absl::OkStatus();
  };
}

settings::Setter SetAdmission(bool& by_work) {
  return [&by_work](const std::string& text) -> absl::Status {
    if (text != "work" && text != "latency") {
      return absl::InvalidArgumentError("expected work or latency");
    }
    by_work = text == "work";
    return absl::OkStatus();
  };
}

settings::Setter SetPlacement(bool& by_work) {
  return [&by_work](const std::string& text) -> absl::Status {
    if (text != "work" && text != "random") {
      return absl::InvalidArgumentError("expected work or random");
    }
    by_work = text == "work";
    return absl::OkStatus();
  };
}

settings::FlagSet MakeFlags(DaemonSettings& settings) {
  settings::FlagSet flags(
      "kingcupstaird",
      "kingcupstaird: forwards callers' requests to upstreams and controls "
      "admission to this host's upstreams.");
  flags.Add({.name = "listen",
             .help = "ADDRESS:PORT on which callers are served",
             .set = settings::SetEndpoint(settings.listen),
             .required = true});
  flags.Add({.name = "peer-listen",
             .help = "ADDRESS:PORT on which other hosts are served",
             .set = settings::SetEndpoint(settings.peer_listen),
             .required = true});
  flags.Add({.name = "peer-address",
             .help = "ADDRESS:PORT at which other hosts reach this one, and "
                     "the name of this host in the fleet; default: "
                     "peer-listen",
             .set = settings::SetEndpoint(settings.peer_address)});
  flags.Add({.name = "admin-listen",
             .help = "ADDRESS:PORT for the upstreams on this host and "
                     "operators' tools",
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
             .help = "ADDRESS:PORT,... of the peers to contact first",
             .set = settings::SetEndpoints(settings.seeds)});
  flags.Add({.name = "threads",
             .help = "worker threads for requests, 1 to 64",
             .set = settings::SetInteger(settings.threads, 1, kMaxThreads)});
  flags.Add({.name = "memory-mb",
             .help = "memory of the process in millions of bytes, which "
                     "bounds requests and responses; 0: not known, no bound",
             .set = settings::SetInteger(settings.memory_mb, 0, kMaxMemoryMb)});
  flags.Add({.name = "max-connections",
             .help = "connections of callers at most; 0: the limit on "
                     "descriptors less a reserve",
             .set = settings::SetInteger(settings.max_connections, 0,
                                         kMaxConnections)});
  flags.Add({.name = "ready-listen",
             .help = "ADDRESS:PORT at which a load balancer checks whether "
                     "this host is ready for callers; default: on "
                     "admin-listen",
             .set = settings::SetEndpoint(settings.ready_listen)});
  flags.Add({.name = "metrics-listen",
             .help = "ADDRESS:PORT at which metrics are read; default: on "
                     "admin-listen",
             .set = settings::SetEndpoint(settings.metrics_listen)});
  flags.Add({.name = "site-interface",
             .help = "interface to callers, upstreams, the store and "
                     "operators: own or platform",
             .set = settings::SetText(settings.site_interface)});
  flags.Add({.name = "site-bounds",
             .help = "bounds of the site in the form of its interface; they "
                     "replace retry-ratio, retry-slack and stop-grace-ms",
             .set = settings::SetText(settings.site_bounds)});
  flags.Add({.name = "caller-service",
             .help = "service of the upstream on this host; sent to "
                     "upstreams with each request",
             .set = settings::SetText(settings.caller_service)});
  flags.Add({.name = "placement",
             .help =
                 "how upstreams are chosen: work (by the time in which they "
                 "are expected to be done) or random",
             .set = SetPlacement(settings.place_by_work)});
  flags.Add({.name = "retry-ratio",
             .help = "retry budget of all hosts together: retries for each "
                     "request, 0 to 1",
             .set = settings::SetFraction(settings.retries.ratio)});
  flags.Add({.name = "retry-slack",
             .help = "retries of all hosts together on top of retry-ratio",
             .set = settings::SetNumber(settings.retries.slack)});
  flags.Add({.name = "rate-tolerance",
             .help = "fraction by which an organisation may exceed its rate "
                     "and burst, 0 to 1",
             .set = settings::SetFraction(settings.rate_tolerance)});
  flags.Add({.name = "rate-slack",
             .help = "requests by which an organisation may exceed its burst",
             .set = settings::SetNumber(settings.rate_slack)});
  flags.Add({.name = "link-mbps",
             .help = "bandwidth of this host's network link in Mbit/s; 0: not "
                     "known",
             .set = settings::SetNumber(settings.link_mbps)});
  flags.Add({.name = "admission",
             .help = "how upstreams admit requests: latency (by the average "
                     "latency) or work (by the expected work of each request)",
             .set = SetAdmission(settings.admission_by_work)});
  flags.Add({.name = "leave-ms",
             .help = "milliseconds for which a leaving host still accepts "
                     "requests, 0 to 60000; half of stop-grace-ms at most",
             .set = settings::SetMillis(settings.stop.accept_time, 0,
                                        kMaxLeaveMillis)});
  flags.Add(
      {.name = "stop-grace-ms",
       .help = "milliseconds from SIGTERM until the platform kills the "
               "process, 100 to 600000",
       .set = settings::SetMillis(settings.stop.grace, kMinStopGraceMillis,
                                  kMaxStopGraceMillis)});
  return flags;
}

}  // namespace

void ApplyBounds(const site::SiteBounds& bounds, DaemonSettings& settings) {
  retry::RetryBudget::Options& retries = settings.retries;
  retries.ratio = bounds.retry_ratio.value_or(retries.ratio);
  retries.slack = bounds.retry_slack.value_or(retries.slack);
  retries.window = bounds.retry_window.value_or(retries.window);
  settings.stop.grace = bounds.stop_grace.value_or(settings.stop.grace);
  settings.expose_share = bounds.expose_share.value_or(settings.expose_share);
  admission::RateLimitedWarmUp& warm_up = settings.warm_up;
  if (bounds.cold_rate_factor.has_value()) {
    warm_up.warm_factor = kUsedColdRate * *bounds.cold_rate_factor;
  }
  if (bounds.cold_rate_slack.has_value()) {
    warm_up.warm_slack = kUsedColdRate * *bounds.cold_rate_slack;
  }
}

settings::ParseOutcome ReadSettings(int argc,
                                    char** argv,
                                    DaemonSettings& settings) {
  settings::FlagSet flags = MakeFlags(settings);
  std::vector<std::string> arguments;
  const auto outcome = flags.Parse(argc, argv, arguments);
  if (outcome == settings::ParseOutcome::kRun && !arguments.empty()) {
    std::cerr << "kingcupstaird: unexpected argument '" << arguments.front()
              << "'; settings are flags or environment variables\n";
    return settings::ParseOutcome::kExitUsage;
  }
  if (settings.peer_address.port == 0) {
    settings.peer_address = settings.peer_listen;
  }
  return outcome;
}

}  // namespace kingcupstair
