#include "platform/site_bounds.h"

#include <CppUTest/TestHarness.h>

namespace kingcupstair::platform {
namespace {

TEST_GROUP(SiteBounds){};

TEST(SiteBounds, KnownBoundsAreReadAndOthersIgnored) {
  const auto bounds = ReadSiteBounds(
      "seedLag=3s,grace=6s,strictRevoke=false,retryBudgetRatio=0.1,retryWindow="
      "10s,"
      "budgetSlack=630,coldOver=1.5,coldSlack=10,exposeShare=0.2,new=1=2,"
      "empty");
  CHECK(bounds.ok());
  CHECK(*bounds == (site::SiteBounds{.retry_ratio = 0.1,
                                     .retry_slack = 630,
                                     .retry_window = std::chrono::seconds(10),
                                     .stop_grace = std::chrono::seconds(6),
                                     .cold_rate_factor = 1.5,
                                     .cold_rate_slack = 10,
                                     .expose_share = 0.2}));
}

// The daemon's command line has the bounds as a table. Read as a list, none of
// them was known, and the fleet kept to bounds of its own.
TEST(SiteBounds, ATableIsReadLikeAList) {
  const auto bounds = ReadSiteBounds(
      R"({"seedLag":"3s","grace":"6s","strictRevoke":false,"retryBudgetRatio":0.1,)"
      R"("retryWindow":"10s","budgetSlack":630,"coldOver":1.5,"coldSlack":10})");
  CHECK(bounds.ok());
  CHECK(*bounds == (site::SiteBounds{.retry_ratio = 0.1,
                                     .retry_slack = 630,
                                     .retry_window = std::chrono::seconds(10),
                                     .stop_grace = std::chrono::seconds(6),
                                     .cold_rate_factor = 1.5,
                                     .cold_rate_slack = 10}));
}

TEST(SiteBounds, WithoutKnownBoundsNoneAreSet) {
  CHECK(*ReadSiteBounds("") == site::SiteBounds{});
}

TEST(SiteBounds, AnInvalidValueOfAKnownBoundIsAnError) {
  for (const char* text :
       {"budgetSlack=many", "retryBudgetRatio=-1", "retryWindow=10",
        "coldOver=fast", "coldSlack=-1", "grace=0s", "grace=6", "{",
        R"({"retryWindow":10})"}) {
    CHECK_FALSE(ReadSiteBounds(text).ok());
  }
}

}  // namespace
}  // namespace kingcupstair::platform
