#include <atomic>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "review/standins-2/site.h"
#include "review/standins-2/spoiled_answers.h"
#include "review/standins-2/target.h"

namespace review {
namespace {

constexpr char kHostHeader[] = "shop.example";
constexpr char kKey[] = "key-of-the-tenant";
constexpr Millis kTrafficTime{12'000};
constexpr Millis kRequestInterval{40};
constexpr Millis kCallTime{5000};
constexpr int kDeadlineMs = 4000;
constexpr int kCallers = 8;

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
  std::atomic<int> foreign{0};
  std::atomic<int> others{0};
};

void CheckAnswer(const std::string& attempt_id,
                 const std::string& method,
                 const Answer& answer,
                 Totals& totals,
                 Record& record) {
  const bool success = answer.status >= 200 && answer.status < 300;
  if (!success) {
    ++totals.others;
    record.Add(method + " " + attempt_id + " answered " +
               std::to_string(answer.status));
    return;
  }
  const bool own = answer.Find("X-Response-Seal") == "s." + attempt_id &&
                   answer.body == "answer to " + attempt_id;
  ++(own ? totals.served : totals.foreign);
  if (!own) {
    record.Add("BROKEN " + method + " " + attempt_id + " answered " +
               std::to_string(answer.status) + ", X-Response-Seal '" +
               answer.Find("X-Response-Seal") + "', body '" + answer.body +
               "'");
  }
}

void SendRequests(uint16_t port, Totals& totals, Record& record) {
  const auto until = Clock::now() + kTrafficTime;
  for (int i = 0; Clock::now() < until; ++i) {
    const bool order = i % 2 == 1;
    const std::string id = NewAttemptId();
    const std::string method = order ? "POST" : "GET";
    ++totals.sent;
    const Answer answer =
        Call(port, method, order ? "/order/1" : "/read/1",
             CallerHeaders(kHostHeader, id, kKey, kDeadlineMs),
             order ? "one item" : "", kCallTime);
    CheckAnswer(id, method, answer, totals, record);
    Pause(kRequestInterval);
  }
}

void Play(const std::string& record_path, const std::string& logs) {
  Record record(record_path);
  Site site(
      {{.zone = "a", .service = "orders"}, {.zone = "b", .service = "orders"}},
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
  SpoiledAnswers spoiled(*targets[0], record);
  if (HasTrouble()) {
    spoiled.Begin();
  }
  Totals totals;
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, port = site.host(i % site.size()).callers] {
      SendRequests(port, totals, record);
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  record.Add("sent " + std::to_string(totals.sent) + ", own answers " +
             std::to_string(totals.served) + ", other answers " +
             std::to_string(totals.others) + ", foreign successes " +
             std::to_string(totals.foreign));
  record.Add("answers of the faulty target in the time of the fault " +
             std::to_string(spoiled.answers()) + ", spoiled " +
             std::to_string(spoiled.spoiled()));
  for (const Run& run : runs.All()) {
    record.Add("run " + run.attempt_id + " at " + run.target_id + " at " +
               std::to_string(run.at));
  }
  if (totals.served == 0) {
    site.Finish(kCouldNotRun);
  }
  site.Finish(totals.foreign > 0 ? kRuleBroken : kRuleHeld);
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
