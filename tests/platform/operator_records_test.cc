#include "platform/operator_records.h"

#include <CppUTest/TestHarness.h>

#include "components/base/hash.h"
#include "components/config/configuration.h"

namespace kingcupstair::platform {
namespace {

constexpr char kRecord[] = R"({"version":7,"resources":[
  {"resourceType":"routes","metadata":{"name":"r-1"},"spec":{
    "host":"Site.example","prefix":"/orders/","routeType":"non_idempotent",
    "timeout":"2500ms","targetLatency":"1.2s","priority":1,"service":"lote",
    "maxAttempts":2,"anonymous":false}},
  {"resourceType":"routes","metadata":{"name":"r-2"},"spec":{
    "host":"site.example","prefix":"/status/","routeType":"idempotent",
    "timeout":"2s","targetLatency":"1200ms","priority":2,"maxAttempts":2,
    "trafficSplit":[{"service":"lote","weight":90},
                    {"service":"humedad","weight":10}],"anonymous":true}},
  {"resourceType":"services","metadata":{"name":"lote"},"spec":{
    "healthPath":"/health","maxConnections":390,"warmup":"3s",
    "warmupPerS":27.0}},
  {"resourceType":"services","metadata":{"name":"humedad"},"spec":{}},
  {"resourceType":"tenants","metadata":{"name":"growers"},"spec":{
    "apiKeys":["key"],"priority":0,"ratePerS":45,"burst":30}},
  {"resourceType":"tenants","metadata":{"name":"staff"},"spec":{
    "apiKeys":[],"ratePerS":0}},
  {"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,
    "maxBodyBytes":1000,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]})";

store::KeyedEntry Record(const std::string& key, const std::string& value) {
  return {.key = key, .entry = {.value = value, .version = 1}};
}

config::Configuration BuildConfiguration(
    const std::vector<store::KeyedEntry>& records) {
  const auto rules = TranslateRecords(records);
  CHECK(rules.ok());
  auto result = config::Configuration::Build(1, *rules);
  CHECK(std::holds_alternative<config::Configuration>(result));
  return std::get<config::Configuration>(std::move(result));
}

TEST_GROUP(OperatorRecords){};

TEST(OperatorRecords, RoutesKeepTheSettingsOfTheRecord) {
  const auto config = BuildConfiguration({Record("op/config", kRecord)});
  const auto* order = config.FindRoute("site.example", "POST", "/orders/7");
  CHECK(order != nullptr);
  CHECK(order->idempotency == config::Idempotency::kNonIdempotent);
  CHECK(order->access == config::Access::kKeyed);
  CHECK(order->deadline == std::chrono::milliseconds(2500));
  CHECK(order->objective == std::chrono::milliseconds(1200));
  LONGS_EQUAL(2, order->attempts);
  const auto* status = config.FindRoute("site.example", "GET", "/status/7");
  CHECK(status->access == config::Access::kOpen);
  LONGS_EQUAL(2, status->services.size());
  DOUBLES_EQUAL(90, status->services[0].weight, 0.01);
}

TEST(OperatorRecords, DownloadsMayBeRepeatedAndUnknownKindsMayNot) {
  for (const auto& [kind, idempotency] :
       {std::pair("download", config::Idempotency::kIdempotent),
        std::pair("new-kind", config::Idempotency::kNonIdempotent)}) {
    std::string record = kRecord;
    const std::string known = "\"idempotent\"";
    record.replace(record.find(known), known.size(),
                   "\"" + std::string(kind) + "\"");
    const auto config = BuildConfiguration({Record("op/config", record)});
    CHECK(config.FindRoute("site.example", "GET", "/status/7")->idempotency ==
          idempotency);
  }
}

TEST(OperatorRecords, APathWithoutTheTrailingSlashOfAPrefixDoesNotMatch) {
  const auto config = BuildConfiguration({Record("op/config", kRecord)});
  CHECK(config.FindRoute("site.example", "GET", "/status") == nullptr);
  CHECK(config.FindRoute("other.example", "GET", "/status/7") == nullptr);
}

TEST(OperatorRecords, ARateOfZeroMeansUnlimited) {
  const auto config = BuildConfiguration({Record("op/config", kRecord)});
  CHECK(config.FindOrganisation("staff")->unlimited);
  const auto* growers = config.FindByKeyDigest(Sha256Hex("key"));
  CHECK_FALSE(growers->unlimited);
  DOUBLES_EQUAL(45, growers->rate, 0.01);
  LONGS_EQUAL(0, *growers->priority);
}

TEST(OperatorRecords, AnEvacuatedZoneIsOut) {
  const auto config = BuildConfiguration(
      {Record("op/config", kRecord), Record("op/evacuate/aqp-2", "{}")});
  CHECK(config.IsZoneOutOfService("aqp-2"));
  CHECK_FALSE(config.IsZoneOutOfService("aqp-1"));
}

// A faulty version gets its full share of requests if its order is not read.
TEST(OperatorRecords, AnOrderOfARollout) {
  const auto config = BuildConfiguration(
      {Record("op/config", kRecord),
       Record("op/rollout/lote", R"({"service":"lote","targetVersion":"v2.1",)"
                                 R"("duration":"15s"})")});
  LONGS_EQUAL(1, config.rollouts().size());
  const config::RolloutRule& rule = config.rollouts().at("lote");
  STRCMP_EQUAL("v2.1", rule.version.c_str());
  CHECK(rule.within == std::chrono::seconds(15));
  // No rule states a time longer than five minutes.
  const auto longer = BuildConfiguration(
      {Record("op/config", kRecord),
       Record("op/rollout/lote",
              R"({"targetVersion":"v2.1","duration":"3600s"})")});
  CHECK(longer.rollouts().at("lote").within == std::chrono::minutes(5));
}

// One such record would otherwise keep every change of the rules out.
TEST(OperatorRecords, AnUnreadableOrderOfARolloutLeavesTheRulesValid) {
  for (const char* order :
       {"not JSON", "{}", R"({"targetVersion":""})", R"({"targetVersion":2})",
        R"({"targetVersion":"v2 # x"})"}) {
    const auto config = BuildConfiguration(
        {Record("op/config", kRecord), Record("op/rollout/lote", order)});
    CHECK(config.rollouts().empty());
  }
}

TEST(OperatorRecords, MissingOrUnreadableConfigurationIsAnError) {
  CHECK_FALSE(TranslateRecords({}).ok());
  CHECK_FALSE(TranslateRecords({Record("op/config", "not JSON")}).ok());
  CHECK_FALSE(TranslateRecords({Record("op/config", "{\"version\":1}")}).ok());
}

}  // namespace
}  // namespace kingcupstair::platform
