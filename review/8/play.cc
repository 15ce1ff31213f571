#include <atomic>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "review/standins-2/site.h"
#include "review/standins-2/target.h"

namespace review {
namespace {

constexpr char kHostHeader[] = "shop.example";
constexpr char kLastingKey[] = "key-that-lasts";
constexpr char kWithdrawnKey[] = "key-that-is-withdrawn";
constexpr char kNewKey[] = "key-that-is-new";
constexpr char kZone[] = "a";
constexpr Millis kCallTime{5000};
constexpr Millis kInterval{50};
constexpr int kDeadlineMs = 4000;
/// Longer than `contact`, so that all machines are in touch.
constexpr Millis kCalmTime{4000};
/// The bounds `configApply` and `evac` of the site.
constexpr int64_t kConfigApplyMs = 2000;
constexpr int64_t kEvacuationMs = 5000;
constexpr int64_t kCheckTimeMs = 5000;

std::string Configuration(int version,
                          const std::string& second_key,
                          const std::string& idle_timeout) {
  return R"({"version":)" + std::to_string(version) + R"(,"resources":[
{"resourceType":"routes","metadata":{"name":"r-order"},"spec":{"host":"shop.example","prefix":"/order/","routeType":"non_idempotent","timeout":"2500ms","targetLatency":"1200ms","priority":1,"service":"orders","maxAttempts":2,"anonymous":false}},
{"resourceType":"services","metadata":{"name":"orders"},"spec":{"healthPath":"/health","maxConnections":390,"protocol":"h1","tls":false,"warmup":"3s","warmupPerS":200.0}},
{"resourceType":"tenants","metadata":{"name":"tenant-1"},"spec":{"apiKeys":[")" +
         std::string(kLastingKey) + R"(",")" + second_key +
         R"("],"priority":1}},
{"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":")" +
         idle_timeout + R"("}}]})";
}

/// Sends an order at each host. Returns their attempt ids.
std::vector<std::string> SendOrders(Site& site,
                                    const char* key,
                                    Record& record) {
  std::vector<std::string> ids;
  for (size_t i = 0; i < site.size(); ++i) {
    const std::string id = NewAttemptId();
    const Answer answer = Call(site.host(i).callers, "POST", "/order/1",
                               CallerHeaders(kHostHeader, id, key, kDeadlineMs),
                               "one item", kCallTime);
    record.Add("order " + id + " with " + key + " at host " +
               std::to_string(i) + " answered " +
               std::to_string(answer.status));
    ids.push_back(id);
  }
  return ids;
}

struct Counts {
  int sent = 0;
  int withdrawn_key_ran = 0;
  int new_key_ran = 0;
  int ran_in_zone = 0;
};

void CheckKeys(Site& site, const Runs& runs, Counts& counts, Record& record) {
  const int64_t begin = SinceStart();
  while (SinceStart() - begin < kCheckTimeMs) {
    for (const std::string& id : SendOrders(site, kWithdrawnKey, record)) {
      ++counts.sent;
      for (const Run& run : runs.Of(id)) {
        ++counts.withdrawn_key_ran;
        record.Add("BROKEN order " + id + " with the withdrawn key ran at " +
                   run.target_id + " at " + std::to_string(run.at));
      }
    }
    for (const std::string& id : SendOrders(site, kNewKey, record)) {
      counts.new_key_ran += runs.Of(id).empty() ? 0 : 1;
    }
    Pause(kInterval);
  }
}

void CheckZone(Site& site, const Runs& runs, Counts& counts, Record& record) {
  const int64_t begin = SinceStart();
  while (SinceStart() - begin < kCheckTimeMs) {
    for (const std::string& id : SendOrders(site, kLastingKey, record)) {
      for (const Run& run : runs.Of(id)) {
        const bool in_zone = run.target_id == "i-0";
        counts.ran_in_zone += in_zone ? 1 : 0;
        if (in_zone) {
          record.Add("order " + id + " ran in the evacuated zone at " +
                     std::to_string(run.at) + " (EVAC)");
        }
      }
    }
    Pause(kInterval);
  }
}

void Play(const std::string& record_path, const std::string& logs) {
  Record record(record_path);
  Site site({{.zone = kZone, .service = "orders"},
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
  if (!site.Start(Configuration(7, kWithdrawnKey, "15000ms"))) {
    site.Finish(kCouldNotRun);
  }
  for (const auto& target : targets) {
    target->BeginHeartbeats();
  }
  Pause(kCalmTime);
  for (const std::string& id : SendOrders(site, kWithdrawnKey, record)) {
    if (runs.Of(id).empty()) {
      site.Finish(kCouldNotRun);
    }
  }
  const std::string idle_timeout = HasTrouble() ? "600s" : "15000ms";
  site.store().Put("op/config", Configuration(8, kNewKey, idle_timeout));
  record.Add("version 8 is confirmed by the store, idleTimeout " +
             idle_timeout);
  Pause(Millis(kConfigApplyMs));
  Counts counts;
  CheckKeys(site, runs, counts, record);
  site.store().Put("op/evacuate/" + std::string(kZone), "{}");
  record.Add("the evacuation of zone a is confirmed by the store");
  Pause(Millis(kEvacuationMs));
  CheckZone(site, runs, counts, record);
  record.Add("later than " + std::to_string(kConfigApplyMs) +
             " ms after the confirmation: orders with the withdrawn key sent " +
             std::to_string(counts.sent) + ", ran " +
             std::to_string(counts.withdrawn_key_ran) +
             "; with the new key ran " + std::to_string(counts.new_key_ran) +
             "; later than " + std::to_string(kEvacuationMs) +
             " ms after the evacuation ran there " +
             std::to_string(counts.ran_in_zone));
  site.Finish(counts.withdrawn_key_ran > 0 ? kRuleBroken : kRuleHeld);
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
