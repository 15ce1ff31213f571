#include <atomic>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "review/standins-2/site.h"
#include "review/standins-2/target.h"

namespace review {
namespace {

constexpr char kHostHeader[] = "shop.example";
constexpr char kKey[] = "key-of-the-tenant";
/// An id with bytes that are not text: neither byte occurs in UTF-8.
constexpr char kUnreadableId[] = "i-\xff\xfe";
constexpr char kReadableId[] = "i-other";
constexpr size_t kCalledHosts = 2;
/// Ends of processes by themselves that the rule allows a machine.
constexpr int kAllowedEnds = 2;
constexpr size_t kMachinesToBreak = 2;
constexpr Millis kCallTime{5000};
constexpr Millis kPingTime{1000};
constexpr Millis kRequestInterval{40};
constexpr Millis kPauseAfterFailure{300};
constexpr Millis kCalmTime{3000};
constexpr Millis kTimeAfterPing{12'000};
constexpr Millis kRestartDelay{500};
constexpr Millis kPollInterval{20};
constexpr int kDeadlineMs = 4000;

std::string Configuration() {
  return R"({"version":7,"resources":[
{"resourceType":"routes","metadata":{"name":"r-read"},"spec":{"host":"shop.example","prefix":"/read/","routeType":"idempotent","timeout":"2000ms","targetLatency":"1200ms","priority":2,"service":"orders","maxAttempts":2,"anonymous":false}},
{"resourceType":"routes","metadata":{"name":"r-order"},"spec":{"host":"shop.example","prefix":"/order/","routeType":"non_idempotent","timeout":"2500ms","targetLatency":"1200ms","priority":1,"service":"orders","maxAttempts":2,"anonymous":false}},
{"resourceType":"services","metadata":{"name":"orders"},"spec":{"healthPath":"/health","maxConnections":390,"protocol":"h1","tls":false,"warmup":"3s","warmupPerS":200.0}},
{"resourceType":"tenants","metadata":{"name":"tenant-1"},"spec":{"apiKeys":["key-of-the-tenant"],"priority":1}},
{"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]})";
}

struct Totals {
  std::atomic<int> sent{0};
  std::atomic<int> served{0};
  std::atomic<int> without_answer{0};
};

void SendRequests(uint16_t port,
                  const std::atomic<bool>& done,
                  Totals& totals,
                  Record& record) {
  for (int i = 0; !done; ++i) {
    const bool order = i % 2 == 1;
    const std::string id = NewAttemptId();
    ++totals.sent;
    const Answer answer =
        Call(port, order ? "POST" : "GET", order ? "/order/1" : "/read/1",
             CallerHeaders(kHostHeader, id, kKey, kDeadlineMs),
             order ? "one item" : "", kCallTime);
    totals.served += answer.status == 200 ? 1 : 0;
    totals.without_answer += answer.status == 0 ? 1 : 0;
    if (answer.status != 200) {
      record.Add((order ? "POST " : "GET ") + id + " answered " +
                 std::to_string(answer.status));
      Pause(kPauseAfterFailure);
    }
    Pause(kRequestInterval);
  }
}

/// A ping of another writer, of a target that leaves. Only its id can't be
/// read.
int SendForeignPing(Target& template_target,
                    const Host& host,
                    const std::string& id) {
  return Call(host.control, "PUT", "/v1/instances/" + id,
              {{"Host", "control"}, {"Content-Type", "application/json"}},
              template_target.NextHeartbeat("draining"), kPingTime)
      .status;
}

/// Starts hosts that have ended again after a short delay, as the platform
/// does.
class Restarts {
 public:
  Restarts(Site& site, Record& record)
      : site(site),
        record(record),
        start_at(site.size(), Clock::time_point::max()),
        end_counts(site.size()) {}

  void Step() {
    for (size_t i = 0; i < this->site.size(); ++i) {
      if (const auto status = this->site.host(i).process->TakeEnd()) {
        ++this->end_counts[i];
        this->start_at[i] = Clock::now() + kRestartDelay;
        this->record.Add("host " + std::to_string(i) + " " + EndText(*status));
      }
      if (Clock::now() >= this->start_at[i]) {
        this->start_at[i] = Clock::time_point::max();
        this->site.host(i).process->Start();
        this->record.Add("host " + std::to_string(i) + " started again");
      }
    }
  }

  /// How often the process of each host has ended by itself.
  const std::vector<int>& ends() const { return this->end_counts; }

 private:
  Site& site;
  Record& record;
  std::vector<Clock::time_point> start_at;
  std::vector<int> end_counts;
};

void Play(const std::string& record_path, const std::string& logs) {
  Record record(record_path);
  Site site({{.zone = "a", .service = "orders"},
             {.zone = "b", .service = "orders"},
             {.zone = "c", .service = "orders"}},
            logs);
  Runs runs;
  std::vector<std::unique_ptr<Target>> targets;
  for (size_t i = 0; i < site.size(); ++i) {
    targets.push_back(std::make_unique<Target>(
        Target::Options{.id = "i-" + std::to_string(i),
                        .service = "orders",
                        .zone = site.host(i).options.zone,
                        .control_port = site.host(i).control},
        runs));
  }
  // Listens for nobody; gives the foreign pings an address of their own.
  Target foreign({.id = "foreign", .service = "orders"}, runs);
  if (!site.Start(Configuration())) {
    site.Finish(kCouldNotRun);
  }
  for (const auto& target : targets) {
    target->BeginHeartbeats();
  }
  if (!site.WaitUntilServing(kHostHeader, "/read/0", kKey)) {
    site.Finish(kCouldNotRun);
  }
  record.Add("traffic begins");
  std::atomic<bool> done{false};
  Totals totals;
  std::vector<std::thread> callers;
  for (size_t i = 0; i < site.size(); ++i) {
    callers.emplace_back([&, port = site.host(i).callers] {
      SendRequests(port, done, totals, record);
    });
  }
  Pause(kCalmTime);
  for (size_t i = 0; i < kCalledHosts; ++i) {
    const int status = SendForeignPing(
        foreign, site.host(i), HasTrouble() ? kUnreadableId : kReadableId);
    record.Add("foreign ping to host " + std::to_string(i) + " answered " +
               std::to_string(status));
  }
  Restarts restarts(site, record);
  const auto until = Clock::now() + kTimeAfterPing;
  while (Clock::now() < until) {
    restarts.Step();
    Pause(kPollInterval);
  }
  done = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  size_t machines = 0;
  for (size_t i = 0; i < site.size(); ++i) {
    const int ends = restarts.ends()[i];
    record.Add("host " + std::to_string(i) + " ended by itself " +
               std::to_string(ends) + " times");
    machines += ends > kAllowedEnds ? 1 : 0;
  }
  record.Add("sent " + std::to_string(totals.sent) + ", served " +
             std::to_string(totals.served) + ", ended without an answer " +
             std::to_string(totals.without_answer));
  for (const Run& run : runs.All()) {
    record.Add("run " + run.attempt_id + " at " + run.target_id + " at " +
               std::to_string(run.at));
  }
  if (totals.served == 0) {
    site.Finish(kCouldNotRun);
  }
  const bool broken = machines >= kMachinesToBreak;
  record.Add(broken ? "BROKEN processes of two machines ended by themselves "
                      "three times"
                    : "held");
  site.Finish(broken ? kRuleBroken : kRuleHeld);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: case RECORD LOGS\n";
    return review::kCouldNotRun;
  }
  review::Play(argv[1], argv[2]);
}
