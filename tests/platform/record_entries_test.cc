#include "platform/record_entries.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace kingcupstair::platform {
namespace {

TEST_GROUP(RecordEntries){};

TEST(RecordEntries, ObjectsInListsOfTheOutermostObjectAreSplitOff) {
  const std::string text =
      R"({"version":7,"resources":[{"a":[{"b":1}]}, 5,{"c":{}}],"x":{"y":[{}]}})";
  const RecordEntries split = SplitRecord(text);
  LONGS_EQUAL(2, split.entries.size());
  CHECK(split.entries[0] == R"({"a":[{"b":1}]})");
  CHECK(split.entries[1] == R"({"c":{}})");
  STRCMP_EQUAL(R"({"version":7,"resources":[{"entry":0}, 5,{"entry":1}],)"
               R"("x":{"y":[{}]}})",
               split.rest.c_str());
}

TEST(RecordEntries, MarksInStringsSeparateNothing) {
  const std::string text = R"({"r":[{"a":"}\"]{\\"},{"b":"]}"}],"c":"[{"})";
  const RecordEntries split = SplitRecord(text);
  LONGS_EQUAL(2, split.entries.size());
  CHECK(split.entries[0] == R"({"a":"}\"]{\\"})");
  STRCMP_EQUAL(R"({"r":[{"entry":0},{"entry":1}],"c":"[{"})",
               split.rest.c_str());
}

TEST(RecordEntries, ATextThatIsNotBalancedIsNotSplit) {
  for (const std::string text :
       {"", "x", "{", "}", "{[}]", R"({"r":[{"a":1}])", R"({"r":[{"a":1}]]})",
        R"({"r":[{"a":"1}]})", R"({"r":[{"a":"\)"}) {
    const RecordEntries split = SplitRecord(text);
    LONGS_EQUAL(0, split.entries.size());
    STRCMP_EQUAL(text.c_str(), split.rest.c_str());
  }
}

}  // namespace
}  // namespace kingcupstair::platform
