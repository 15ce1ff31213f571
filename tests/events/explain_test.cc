#include "components/events/explain.h"

#include <CppUTest/TestHarness.h>

namespace kingcupstair::events {
namespace {

std::string LogLine(const std::string& time,
                    const std::string& message,
                    const std::string& fields) {
  return R"({"timestamp":")" + time + R"(","level":"INFO","message":")" +
         message + R"(","context_map":{)" + fields + "}}\n";
}

TEST_GROUP(Explain){};

TEST(Explain, FindsTheLinesOfARequestInTheLogsOfSeveralHosts) {
  const HostLog ingress{
      .source = "a",
      .text = LogLine("10:00:00,001", "an attempt begins",
                      R"("request_id":"r1","attempt":"x")") +
              LogLine("10:00:00,002", "an attempt begins",
                      R"("request_id":"r2","attempt":"y")") +
              LogLine("10:00:02,001", "a request was not served",
                      R"("request_id":"r1","reason":"no answer")") +
              "not JSON\n"};
  const HostLog guard{.source = "b",
                      .text = LogLine("10:00:01,000", "a run ended",
                                      R"("attempt":"x","outcome":"unknown")") +
                              LogLine("10:00:01,000", "a run ended",
                                      R"("attempt":"y","outcome":"ran")")};
  const auto lines = ExplainRequest("r1", {ingress, guard});
  LONGS_EQUAL(3, lines.size());
  STRCMP_EQUAL("10:00:00,001 a an attempt begins attempt=x request_id=r1",
               lines[0].c_str());
  STRCMP_EQUAL("10:00:01,000 b a run ended attempt=x outcome=unknown",
               lines[1].c_str());
  STRCMP_EQUAL(
      "10:00:02,001 a a request was not served reason=no answer "
      "request_id=r1",
      lines[2].c_str());
}

TEST(Explain, AnUnknownRequestHasNoLines) {
  CHECK(ExplainRequest("r3", {{.source = "a", .text = "{}\n"}}).empty());
}

}  // namespace
}  // namespace kingcupstair::events
