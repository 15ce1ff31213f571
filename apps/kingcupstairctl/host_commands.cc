#include "apps/kingcupstairctl/host_commands.h"

#include <iostream>
#include <nlohmann/json.hpp>
#include <set>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "components/config/revision.h"
#include "components/http/client.h"
#include "components/limits/share_table.h"
#include "components/settings/flag_set.h"
#include "components/store/shares.h"

namespace kingcupstair {
namespace {

constexpr Duration kHostTimeout{std::chrono::seconds(2)};
constexpr int kOk = 200;

/// A page of one host's admin port. `text` is empty if the host did not return
/// the page.
struct Page {
  Endpoint host;
  bool reached = false;
  std::string text;
};

Page Fetch(const Endpoint& host, const std::string& target) {
  const http::Result result =
      http::Exchange({.server = host,
                      .request = {.method = "GET", .target = target},
                      .timeout = kHostTimeout});
  const bool reached = result.ok() && result.response.status == kOk;
  return {.host = host,
          .reached = reached,
          .text = reached ? result.response.body.text() : ""};
}

std::set<Endpoint> HostsFromStore(const CommandLine& line) {
  std::set<Endpoint> hosts;
  const auto stored =
      store::ReadShareTable(store::Client({.server = line.store}));
  if (!stored.ok() || stored->IsAbsent()) {
    std::cerr << "cannot read the hosts from the store; set --hosts\n";
    return hosts;
  }
  for (const auto& [name, share] : stored->table.hosts()) {
    const auto endpoint = ParseEndpoint(share.admin);
    if (endpoint.ok()) {
      hosts.insert(*endpoint);
    }
  }
  return hosts;
}

std::vector<Page> FetchAll(const CommandLine& line, const std::string& target) {
  std::set<Endpoint> hosts(line.hosts.begin(), line.hosts.end());
  if (hosts.empty()) {
    hosts = HostsFromStore(line);
  }
  std::vector<Page> pages;
  for (const Endpoint& host : hosts) {
    pages.push_back(Fetch(host, target));
  }
  return pages;
}

/// Prints the hosts that did not return their page. Returns the exit code,
/// which is a failure only if no host returned its page.
int ReportUnreached(const std::vector<Page>& pages) {
  int unreached_count = 0;
  for (const Page& page : pages) {
    if (!page.reached) {
      std::cout << "not reached: " << ToText(page.host) << "\n";
      ++unreached_count;
    }
  }
  const bool all_unreached = unreached_count == static_cast<int>(pages.size());
  return all_unreached ? settings::kExitFailed : settings::kExitOk;
}

std::vector<events::Event> ReadEvents(const std::string& text) {
  std::vector<events::Event> read;
  for (const absl::string_view line : absl::StrSplit(text, '\n')) {
    const auto event =
        events::DecodeEvent(std::string_view(line.data(), line.size()));
    if (event.ok()) {
      read.push_back(*event);
    }
  }
  return read;
}

void PrintPlacement(const nlohmann::json& service) {
  std::cout << "  service " << service.value("service", "") << ", placement "
            << service.value("placement", "") << "\n";
  for (const auto& upstream : service["upstreams"]) {
    std::cout << "    " << upstream.value("id", "") << " zone "
              << upstream.value("zone", "") << " "
              << upstream.value("state", "");
    if (upstream.contains("wait_us")) {
      std::cout << " wait_us " << upstream.value("wait_us", int64_t{0})
                << " age_ms " << upstream.value("age_ms", int64_t{0})
                << " sent_since " << upstream.value("sent_since", 0);
    }
    std::cout << "\n";
  }
  if (service.contains("refused")) {
    const auto& refused = service["refused"];
    std::cout << "    refused: " << refused.value("reason", "")
              << ", retry after ms "
              << refused.value("retry_after_ms", int64_t{0})
              << ", reports up to ms old "
              << refused.value("report_age_ms", int64_t{0}) << "\n";
    return;
  }
  const auto& choice = service["choice"];
  std::cout << "    choice: " << choice.value("upstream", "") << ", "
            << choice.value("reason", "")
            << (choice.value("other_zone", false) ? ", other zone" : "")
            << (choice.value("expects_wait", false) ? ", in its queue" : "")
            << "\n";
}

}  // namespace

int ShowPlacement(const CommandLine& line, const std::string& path) {
  const std::vector<Page> pages =
      FetchAll(line, absl::StrCat("/place?path=", path, "&method=", line.method,
                                  "&organisation=", line.filter.organisation,
                                  "&body-bytes=", line.body_bytes));
  for (const Page& page : pages) {
    const auto placement = nlohmann::json::parse(page.text, nullptr, false);
    if (!page.reached || !placement.is_object()) {
      continue;
    }
    if (line.json) {
      std::cout << placement.dump() << "\n";
      continue;
    }
    std::cout << placement.value("host", "") << " zone "
              << placement.value("zone", "") << "\n";
    if (placement.contains("refused")) {
      std::cout << "  refused: " << placement.value("refused", "") << "\n";
    }
    for (const auto& service :
         placement.value("services", nlohmann::json::array())) {
      PrintPlacement(service);
    }
  }
  return ReportUnreached(pages);
}

int ShowStatus(const CommandLine& line) {
  const std::vector<Page> pages = FetchAll(line, "/status");
  for (const Page& page : pages) {
    const auto status = nlohmann::json::parse(page.text, nullptr, false);
    if (!page.reached || !status.is_object()) {
      continue;
    }
    std::cout << status.value("host", "") << " zone "
              << status.value("zone", "") << " revision "
              << config::RevisionText(status.value("revision", uint64_t{0}))
              << (status.value("isolated", false) ? " ISOLATED" : "")
              << (status.value("leaving", false) ? " leaving" : "") << " share "
              << status.value("share", 0.0) << "\n";
    for (const auto& upstream : status["upstreams"]) {
      std::cout << "  " << upstream.value("id", "") << " limit "
                << upstream.value("limit", 0) << " latency_us "
                << upstream.value("latency_us", 0) << " errors "
                << upstream.value("error_share", 0.0) << "\n";
    }
  }
  return ReportUnreached(pages);
}

int ShowTimeline(const CommandLine& line) {
  const std::vector<Page> pages = FetchAll(line, "/events");
  std::vector<std::vector<events::Event>> hosts;
  for (const Page& page : pages) {
    hosts.push_back(ReadEvents(page.text));
  }
  for (const auto& event : events::MergeTimeline(hosts, line.filter)) {
    std::cout << ToText(event) << "\n";
  }
  return ReportUnreached(pages);
}

}  // namespace kingcupstair
