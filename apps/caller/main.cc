#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

#include "absl/strings/str_cat.h"
#include "apps/caller/load_plan.h"
#include "apps/caller/load_report.h"
#include "components/fibers/worker_pool.h"
#include "components/settings/end_signals.h"
#include "components/settings/flag_set.h"

namespace kingcupstair {
namespace {

constexpr int kThreads = 2;
constexpr int kMaxRate = 200'000;
constexpr int64_t kMaxMillis = 600'000;
constexpr std::chrono::milliseconds kEndPollInterval{5};

settings::FlagSet MakeFlags(LoadPlan& plan, int& fresh) {
  settings::FlagSet flags("kingcupstair-caller",
                          "kingcupstair-caller: sends requests at a fixed "
                          "rate and reports their outcomes and latencies.");
  flags.Add({.name = "hosts",
             .help = "ADDRESS:PORT,... of the hosts to send to, in turn",
             .set = settings::SetEndpoints(plan.hosts),
             .required = true});
  flags.Add({.name = "method",
             .help = "method of the requests",
             .set = settings::SetText(plan.method)});
  flags.Add({.name = "target",
             .help = "path of the requests",
             .set = settings::SetText(plan.target)});
  flags.Add({.name = "key",
             .help = "API key of the organisation",
             .set = settings::SetText(plan.key)});
  flags.Add({.name = "rate",
             .help = "requests a second",
             .set = settings::SetInteger(plan.rate, 1, kMaxRate)});
  flags.Add({.name = "length-ms",
             .help = "milliseconds for which to send requests",
             .set = settings::SetMillis(plan.length, 1, kMaxMillis)});
  flags.Add({.name = "timeout-ms",
             .help = "milliseconds to wait for the answer to a request",
             .set = settings::SetMillis(plan.timeout, 1, kMaxMillis)});
  flags.Add({.name = "order-prefix",
             .help = "prefix of the X-Order that names each request",
             .set = settings::SetText(plan.order_prefix)});
  flags.Add({.name = "outcomes-file",
             .help = "file to write a line to for each request",
             .set = settings::SetText(plan.outcomes_file)});
  flags.Add({.name = "fresh-connections",
             .help = "1 to open a new connection for each request, else 0",
             .set = settings::SetInteger(fresh, 0, 1)});
  return flags;
}

/// Sends each request of a plan when it is due and collects the results.
class LoadRun {
 public:
  explicit LoadRun(const LoadPlan& plan) : plan(plan) {
    if (!plan.outcomes_file.empty()) {
      this->outcomes.open(plan.outcomes_file);
    }
  }

  /// Returns the report when all requests have ended.
  std::string Run() {
    fibers::WorkerPool workers(kThreads);
    const int total =
        static_cast<int>(plan.rate * ToSeconds(this->plan.length));
    this->unfinished = total;
    const Instant start = MonotonicNow();
    for (int i = 0; i < total; ++i) {
      const Instant due =
          start + Duration(int64_t{1'000'000} * i / this->plan.rate);
      std::this_thread::sleep_until(due);
      workers.Spawn([this, i] { this->SendOne(i); });
    }
    while (this->unfinished > 0) {
      std::this_thread::sleep_for(kEndPollInterval);
    }
    workers.Stop();
    return this->report.Text();
  }

 private:
  void SendOne(int number) {
    const std::string order =
        absl::StrCat(this->plan.order_prefix, "-", number);
    http::Call call{
        .server =
            this->plan
                .hosts[static_cast<size_t>(number) % this->plan.hosts.size()],
        .request = {.method = this->plan.method,
                    .target = this->plan.target,
                    .headers = {{.name = "X-Order", .value = order}}},
        .timeout = this->plan.timeout,
        .reuse_connection = !this->plan.fresh_connections};
    if (!this->plan.key.empty()) {
      call.request.headers.push_back(
          {.name = "Authorization", .value = "Bearer " + this->plan.key});
    }
    const int64_t request_start_ms = WallClockMillis();
    const Instant request_start = MonotonicNow();
    const http::Result result = http::Exchange(call);
    const Duration latency = MonotonicNow() - request_start;
    {
      const std::lock_guard lock(this->mutex);
      this->report.Add(order, result, latency);
      this->WriteOutcome(request_start_ms, order, result);
    }
    --this->unfinished;
  }

  void WriteOutcome(int64_t request_start_ms,
                    const std::string& order,
                    const http::Result& result) {
    if (!this->outcomes.is_open()) {
      return;
    }
    const std::string outcome(
        http::FindHeader(result.response.headers, "Kingcupstair-Outcome"));
    this->outcomes << request_start_ms << " " << order << " "
                   << (result.ok() ? result.response.status : 0) << " "
                   << (outcome.empty() ? "cut" : outcome) << "\n";
  }

  LoadPlan plan;
  std::ofstream outcomes;
  std::mutex mutex;
  LoadReport report;
  std::atomic<int> unfinished{0};
};

int Main(int argc, char** argv) {
  LoadPlan plan;
  int fresh = 0;
  settings::FlagSet flags = MakeFlags(plan, fresh);
  std::vector<std::string> words;
  if (const auto code = settings::ExitCodeOf(flags.Parse(argc, argv, words))) {
    return *code;
  }
  plan.fresh_connections = fresh == 1;
  std::cout << LoadRun(plan).Run() << "\n";
  return settings::kExitOk;
}

}  // namespace
}  // namespace kingcupstair

int main(int argc, char** argv) {
  return kingcupstair::Main(argc, argv);
}
