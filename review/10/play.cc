#include <atomic>
#include <iostream>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "review/standins-2/site.h"
#include "review/standins-2/target.h"

namespace review {
namespace {

constexpr char kHostHeader[] = "shop.example";
constexpr char kKey[] = "key-of-the-tenant";
constexpr Millis kCallTime{5000};
constexpr Millis kRequestInterval{30};
constexpr int kDeadlineMs = 4000;
constexpr int kCallersPerHost = 6;
constexpr Millis kWork{300};
constexpr Millis kCalmTime{3000};
/// The target is down for this long.
constexpr Millis kDownTime{700};
/// From the target's start until it leaves.
constexpr Millis kTimeUntilLeave{500};
/// How late the first ping after the start arrives.
constexpr Millis kPingDelay{1500};
/// The bound `drain` of the site.
constexpr int64_t kDrainMs = 2000;
/// How long the target goes on serving after the confirmation: `drain` and a
/// little longer.
constexpr Millis kServesOn{3000};

std::string Configuration() {
  return R"({"version":7,"resources":[
{"resourceType":"routes","metadata":{"name":"r-read"},"spec":{"host":"shop.example","prefix":"/read/","routeType":"idempotent","timeout":"2000ms","targetLatency":"1200ms","priority":2,"service":"orders","maxAttempts":2,"anonymous":false}},
{"resourceType":"routes","metadata":{"name":"r-order"},"spec":{"host":"shop.example","prefix":"/order/","routeType":"non_idempotent","timeout":"2500ms","targetLatency":"1200ms","priority":1,"service":"orders","maxAttempts":2,"anonymous":false}},
{"resourceType":"services","metadata":{"name":"orders"},"spec":{"healthPath":"/health","maxConnections":390,"protocol":"h1","tls":false,"warmup":"3s","warmupPerS":27.0}},
{"resourceType":"tenants","metadata":{"name":"tenant-1"},"spec":{"apiKeys":["key-of-the-tenant"],"priority":1}},
{"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]})";
}

struct Totals {
  std::atomic<int> sent{0};
  std::atomic<int> served{0};
  std::mutex mutex;
  /// Attempt ids of orders that were not served.
  std::set<std::string> lost_orders;
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
    if (answer.status != 200) {
      const std::lock_guard lock(totals.mutex);
      if (order) {
        totals.lost_orders.insert(id);
      }
      record.Add((order ? "POST " : "GET ") + id + " answered " +
                 std::to_string(answer.status));
    }
    Pause(kRequestInterval);
  }
}

/// The target starts again under its id, sends a ping and leaves soon after.
/// Returns the time of the confirmation, or 0 if there was none.
int64_t StartAndLeave(Target& target, Record& record) {
  const std::string ping = target.NextHeartbeat("in_service");
  std::thread late;
  if (HasTrouble()) {
    late = std::thread([&target, &record, ping] {
      Pause(kPingDelay);
      record.Add("the ping, sent " + std::to_string(kPingDelay.count()) +
                 " ms ago, arrives and is answered " +
                 std::to_string(target.SendHeartbeat(ping)));
    });
  } else {
    record.Add("the ping is answered " +
               std::to_string(target.SendHeartbeat(ping)));
  }
  Pause(kTimeUntilLeave);
  const int status = target.SendDelete();
  const int64_t confirmed_at = SinceStart();
  record.Add("the target's DELETE is answered " + std::to_string(status));
  Pause(kServesOn);
  if (late.joinable()) {
    late.join();
  }
  return status == 200 ? confirmed_at : 0;
}

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
                        .work = kWork,
                        .control_port = site.host(i).control},
        runs));
  }
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
  for (size_t i = 0; i < site.size() * kCallersPerHost; ++i) {
    callers.emplace_back([&, port = site.host(i % site.size()).callers] {
      SendRequests(port, done, totals, record);
    });
  }
  Pause(kCalmTime);
  const uint16_t port = targets[0]->port();
  targets[0]->Stop();
  record.Add("target i-0 is down");
  Pause(kDownTime);
  Runs later_runs;
  auto again = std::make_unique<Target>(
      Target::Options{.id = "i-0",
                      .service = "orders",
                      .work = kWork,
                      .control_port = site.host(0).control,
                      .port = port},
      later_runs);
  if (again->port() != port) {
    site.Finish(kCouldNotRun);
  }
  record.Add("target i-0 starts again, at the same address");
  const int64_t confirmed_at = StartAndLeave(*again, record);
  again->Stop();
  record.Add("target i-0 ends");
  done = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  int late_runs = 0;
  int lost_runs = 0;
  for (const Run& run : later_runs.All()) {
    const bool late = run.at > confirmed_at + kDrainMs;
    late_runs += late ? 1 : 0;
    lost_runs += late && totals.lost_orders.contains(run.attempt_id) ? 1 : 0;
    record.Add((late ? "BROKEN run " : "run ") + run.attempt_id +
               " at i-0 after its restart at " + std::to_string(run.at));
  }
  for (const Run& run : runs.All()) {
    record.Add("run " + run.attempt_id + " at " + run.target_id + " at " +
               std::to_string(run.at));
  }
  record.Add(
      "sent " + std::to_string(totals.sent) + ", served " +
      std::to_string(totals.served) + ", confirmed at " +
      std::to_string(confirmed_at) + ", arrived later than " +
      std::to_string(kDrainMs) + " ms after that " + std::to_string(late_runs) +
      ", orders among them without success " + std::to_string(lost_runs));
  if (totals.served == 0 || confirmed_at == 0) {
    site.Finish(kCouldNotRun);
  }
  site.Finish(late_runs > 0 ? kRuleBroken : kRuleHeld);
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
