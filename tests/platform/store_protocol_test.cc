#include "platform/store_protocol.h"

#include <CppUTest/TestHarness.h>

#include <nlohmann/json.hpp>

namespace kingcupstair::platform {
namespace {

http::Response MakeResponse(int status, const std::string& body) {
  return {.status = status, .body = body};
}

TEST_GROUP(StoreProtocol) {
  store::Protocol protocol = StoreProtocol();
};

TEST(StoreProtocol, AConditionalWriteCarriesTheExpectedVersion) {
  const auto request = this->protocol.put(
      {.key = "kingcupstair/shares", .value = "node-1", .expected = 4});
  STRCMP_EQUAL("/v1/kv-txn", request.target.c_str());
  const auto body = nlohmann::json::parse(request.body.text());
  LONGS_EQUAL(4, body.at("expect").at(0).at("rev").get<int>());
  STRCMP_EQUAL("bm9kZS0x",
               body.at("puts").at(0).at("value").get<std::string>().c_str());
}

TEST(StoreProtocol, KeysAreEscapedInQueries) {
  STRCMP_EQUAL("/v1/kv-key?key=my%2fa%26b",
               this->protocol.get("my/a&b").target.c_str());
  STRCMP_EQUAL(
      "/v1/kv-range?prefix=op%2f&after=op%2fx&staleOk=1",
      this->protocol
          .list({.prefix = "op/", .after = "op/x", .may_be_stale = true})
          .target.c_str());
}

TEST(StoreProtocol, AnItemIsParsedWithItsVersion) {
  const auto entry = this->protocol.read_entry(MakeResponse(
      200, R"({"key":"k","value":"bm9kZS0x","rev":412,"lease":0})"));
  STRCMP_EQUAL("node-1", entry->value.c_str());
  LONGS_EQUAL(412, entry->version);
  LONGS_EQUAL(0, this->protocol.read_entry(MakeResponse(404, ""))->version);
  CHECK_FALSE(this->protocol.read_entry(MakeResponse(503, "")).ok());
  CHECK_FALSE(
      this->protocol.read_entry(MakeResponse(200, R"({"value":"*"})")).ok());
}

TEST(StoreProtocol, WriteResultsDistinguishConflictAndEndedLease) {
  CHECK(*this->protocol.read_put(MakeResponse(200, "{}")) ==
        store::PutResult::kWritten);
  CHECK(*this->protocol.read_put(MakeResponse(412, "{}")) ==
        store::PutResult::kConflict);
  CHECK(*this->protocol.read_put(MakeResponse(404, "{}")) ==
        store::PutResult::kLeaseExpired);
  CHECK_FALSE(this->protocol.read_put(MakeResponse(429, "")).ok());
}

TEST(StoreProtocol, AWatchReportsWritesDeletionsAndLostHistory) {
  const auto changes = this->protocol.read_changes(MakeResponse(
      200, R"({"events":[{"key":"a","value":"bm9kZS0x","rev":5},)"
           R"({"key":"b","rev":6,"tombstone":true}],"currentRev":6})"));
  LONGS_EQUAL(2, changes->entries.size());
  LONGS_EQUAL(5, changes->entries[0].entry.version);
  LONGS_EQUAL(0, changes->entries[1].entry.version);
  LONGS_EQUAL(6, changes->revision);
  CHECK(this->protocol.read_changes(MakeResponse(410, ""))->history_lost);
  CHECK_FALSE(this->protocol.read_changes(MakeResponse(200, "{}")).ok());
}

}  // namespace
}  // namespace kingcupstair::platform
