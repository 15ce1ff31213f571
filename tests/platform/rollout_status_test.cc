#include "platform/rollout_status.h"

#include <CppUTest/TestHarness.h>

#include "platform/json.h"

namespace kingcupstair::platform {
namespace {

using State = site::RolloutStatus::State;

TEST_GROUP(RolloutStatus){};

// Operators' tools read these names.
TEST(RolloutStatus, EachStateIsWrittenByItsName) {
  const site::RolloutStatusFormat form = RolloutStatusForm();
  for (const auto& [state, name] :
       {std::pair(State::kActive, "active"),
        std::pair(State::kCompleted, "completed"),
        std::pair(State::kRolledBack, "rolled_back")}) {
    const site::RolloutStatus status{.state = state, .version = "v2"};
    const std::string text = form.encode(status);
    const auto object = ParseObject(text);
    STRCMP_EQUAL(name, TextAt(*object, "state").c_str());
    STRCMP_EQUAL("v2", TextAt(*object, "targetVersion").c_str());
    CHECK(form.decode(text) == status);
  }
}

// A host that took such a text for a verdict, or for none, would be wrong.
TEST(RolloutStatus, AnotherTextIsNoState) {
  const site::RolloutStatusFormat form = RolloutStatusForm();
  for (const char* text : {"", "[]", "{}", R"({"state":"unknown"})"}) {
    CHECK_FALSE(form.decode(text).has_value());
  }
}

}  // namespace
}  // namespace kingcupstair::platform
