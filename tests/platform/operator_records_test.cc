#include "platform/operator_records.h"

#include <CppUTest/TestHarness.h>

#include "components/base/hash.h"
#include "components/config/configuration.h"
#include "components/config/valid_rules.h"

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
  auto result = config::Configuration::Build(1, rules->text);
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

/// Returns the record with the first `from` replaced by `to`.
std::string RecordWith(const std::string& from, const std::string& to) {
  std::string record = kRecord;
  const size_t at = record.find(from);
  CHECK(at != std::string::npos);
  return record.replace(at, from.size(), to);
}

// One value that no rule could state kept a whole version out of force: keys
// that it withdrew went on working, and evacuations that followed were ignored.
TEST(OperatorRecords, NoValueKeepsTheRestOfAVersionOutOfForce) {
  const std::pair<const char*, const char*> changes[] = {
      {R"("idleTimeout":"15000ms")", R"("idleTimeout":"600s")"},
      {R"("idleTimeout":"15000ms")", R"("idleTimeout":"100000000s")"},
      {R"("idleTimeout":"15000ms")", R"("idleTimeout":15)"},
      {R"("headerTimeout":"3000ms")", R"("headerTimeout":"301s")"},
      {R"("maxBodyBytes":1000)", R"("maxBodyBytes":1073741824)"},
      {R"("maxBodyBytes":1000)", R"("maxBodyBytes":1e300)"},
      {R"("maxBodyBytes":1000)", R"("maxBodyBytes":-1)"},
      {R"("maxHeaderBytes":16384)", R"("maxHeaderBytes":0)"},
      {R"("timeout":"2500ms")", R"("timeout":"3600s")"},
      {R"("targetLatency":"1.2s")", R"("targetLatency":"301s")"},
      {R"("priority":1)", R"("priority":-1)"},
      {R"("priority":1)", R"("priority":1000)"},
      {R"("priority":1)", R"("priority":"1")"},
      {R"("priority":1)", R"("priority":[])"},
      {R"("maxAttempts":2)", R"("maxAttempts":1000)"},
      {R"("anonymous":false)", R"("anonymous":"no")"},
      {R"("weight":90)", R"("weight":9000000)"},
      {R"("weight":90)", R"("weight":"90")"},
      {R"("weight":90)", R"("weight":null)"},
      {R"("weight":90)", R"("weight":-90)"},
      {R"("warmupPerS":27.0)", R"("warmupPerS":2e6)"},
      {R"("ratePerS":45)", R"("ratePerS":2e6)"},
      {R"("ratePerS":45)", R"("ratePerS":"45")"},
      {R"("ratePerS":45)", R"("ratePerS":{})"},
      {R"("burst":30)", R"("burst":2e6)"},
      {R"("apiKeys":[],)", R"("apiKeys":["key",7],)"},
      {R"("name":"staff")", R"("name":"the # staff \"of\" lote")"},
      {R"("name":"staff")", R"("name":"growers")"},
      {R"("name":"staff")", R"("name":"a\nb")"},
      {R"("name":"staff")", R"("name":"")"},
      {R"("metadata":{"name":"staff"})", R"("metadata":7)"},
      {R"("prefix":"/status/")", R"("prefix":"status")"},
      {R"("prefix":"/status/")", R"("prefix":"/a b/")"},
      {R"("service":"humedad")", R"("service":"unknown service")"},
      {R"({"name":"humedad"})", R"({"name":"lote"})"},
      {R"("spec":{}})", R"("spec":7})"},
      {R"("spec":{}})", R"("spec":{}},7,{"resourceType":"routes"},)"
                        R"({"resourceType":"hosts","metadata":{},"spec":{}})"},
  };
  for (const auto& [from, to] : changes) {
    const auto rules =
        TranslateRecords({Record("op/config", RecordWith(from, to)),
                          Record("op/evacuate/aqp-2", "{}")});
    CHECK(rules.ok());
    const config::ValidRules valid = config::KeepValidRules(rules->text);
    auto built = config::Configuration::Build(1, valid.text);
    const auto& config = std::get<config::Configuration>(built);
    CHECK(config.IsZoneOutOfService("aqp-2"));
    CHECK(config.FindByKeyDigest(Sha256Hex("key")) != nullptr);
    CHECK(config.FindRoute("site.example", "POST", "/orders/7") != nullptr);
  }
}

TEST(OperatorRecords, AValueThatNoRuleCanStateBecomesTheNearest) {
  const auto rules = TranslateRecords(
      {Record("op/config",
              RecordWith(R"("timeout":"2500ms")", R"("timeout":"3600s")"))});
  CHECK(rules.ok());
  LONGS_EQUAL(1, rules->adjustments.size());
  STRCMP_EQUAL("routes r-1: timeout of 3600000ms becomes 300000ms",
               rules->adjustments[0].c_str());
  const auto config = BuildConfiguration(
      {Record("op/config",
              RecordWith(R"("timeout":"2500ms")", R"("timeout":"3600s")"))});
  CHECK(config.FindRoute("site.example", "POST", "/orders/7")->deadline ==
        std::chrono::seconds(300));
}

TEST(OperatorRecords, ValuesOfConnectionsAreTakenAsTheyAre) {
  const auto config = BuildConfiguration(
      {Record("op/config", RecordWith(R"("maxBodyBytes":1000,"headerTimeout")",
                                      R"("maxBodyBytes":67108864,"x")"))});
  LONGS_EQUAL(67'108'864, config.callers().body_bytes);
  const auto idle =
      BuildConfiguration({Record("op/config", RecordWith("15000ms", "600s"))});
  CHECK(idle.callers().idle_timeout == std::chrono::seconds(600));
}

TEST(OperatorRecords, ANameMayHaveSpacesAndMarks) {
  const auto config = BuildConfiguration(
      {Record("op/config", RecordWith(R"({"name":"growers"})",
                                      R"({"name":"the # \"g\" \\ x"})"))});
  STRCMP_EQUAL("the # \"g\" \\ x",
               config.FindByKeyDigest(Sha256Hex("key"))->name.c_str());
}

// The rules of entries that stay from one version to the next are kept.
TEST(OperatorRecords, AVersionHasTheSameRulesWhateverCameBefore) {
  const std::string route = R"({"resourceType":"routes","metadata":{"name":"r"},
    "spec":{"host":"a.example","prefix":"/a/","service":"lote"}})";
  const std::string other_route = R"({"resourceType":"routes","metadata":{},
    "spec":{"host":"a.example","prefix":"/a/","service":"humedad"}})";
  const std::string growers = R"({"resourceType":"tenants",
    "metadata":{"name":"growers"},"spec":{"apiKeys":["one","two"]}})";
  const std::string packers = R"({"resourceType":"tenants",
    "metadata":{"name":"packers"},"spec":{"apiKeys":["two",3]}})";
  const std::string lote = R"({"resourceType":"services",
    "metadata":{"name":"lote"},"spec":{"warmupPerS":-1}})";
  const auto list = [](const std::vector<std::string>& entries) {
    std::string text = "{\"resources\":[";
    for (const std::string& entry : entries) {
      text += (text.back() == '[' ? "" : ",") + entry;
    }
    return text + "]}";
  };
  RecordTranslator translator;
  for (const std::string& value :
       {list({route, growers, packers, lote}), list({other_route, route}),
        list({packers, growers, growers}), list({}), list({"5", "{}", lote}),
        list({route, "nonsense"}), list({route, R"({"spec":})"}),
        list({lote, lote, route, packers, growers})}) {
    const auto rules = translator.Translate({Record("op/config", value)});
    const auto fresh = TranslateRecords({Record("op/config", value)});
    CHECK(rules.ok() == fresh.ok());
    CHECK(!rules.ok() || *rules == *fresh);
  }
}

TEST(OperatorRecords, TheContentVersionIsTheOutermostNumberOfThatName) {
  const auto version = [](const std::string& value) {
    return ReadContentVersion({Record("op/evacuate/z", "{\"version\":1}"),
                               Record("op/config", value)});
  };
  LONGS_EQUAL(7, version(R"({"version":7,"resources":[{"version":8}]})"));
  LONGS_EQUAL(7,
              version(R"({"resources":[{"version":8},[1,{}]],"version":7})"));
  LONGS_EQUAL(7, version(R"({"a":{"version":8},"b":"version","version":7})"));
  LONGS_EQUAL(0, version(R"({"version":"7"})"));
  LONGS_EQUAL(0, version(R"({"version":{"version":7}})"));
  LONGS_EQUAL(0, version(R"([{"version":7}])"));
  LONGS_EQUAL(0, version("not JSON"));
  LONGS_EQUAL(0, ReadContentVersion({}));
}

TEST(OperatorRecords, MissingOrUnreadableConfigurationIsAnError) {
  CHECK_FALSE(TranslateRecords({}).ok());
  CHECK_FALSE(TranslateRecords({Record("op/config", "not JSON")}).ok());
  CHECK_FALSE(TranslateRecords({Record("op/config", "{\"version\":1}")}).ok());
}

}  // namespace
}  // namespace kingcupstair::platform
