#include "components/guard/upstream_notice.h"

#include <CppUTest/TestHarness.h>

namespace kingcupstair::guard {
namespace {

TEST_GROUP(UpstreamNotice) {
  HeaderNames names{.rate_limit = "Limit", .leaving = "Leaving"};

  absl::StatusOr<UpstreamNotice> Read(const char* limit) const {
    return ReadUpstreamNotice(this->names, {{.name = "limit", .value = limit}});
  }
};

TEST(UpstreamNotice, ReadsLimitAndLeaving) {
  CHECK(*this->Read("2.2") == UpstreamNotice{.rate_limit = 2.2});
  CHECK(*this->Read("0") == UpstreamNotice{.rate_limit = 0.0});
  CHECK(*ReadUpstreamNotice(this->names, {{.name = "Leaving", .value = "1"}}) ==
        UpstreamNotice{.leaving = true});
  CHECK(*ReadUpstreamNotice(this->names, {}) == UpstreamNotice{});
}

TEST(UpstreamNotice, ALimitThatIsNoNumberOfRequestsIsAnError) {
  for (const char* limit : {"-1", "nan", "inf", "1 a second", "1e999"}) {
    CHECK_FALSE(this->Read(limit).ok());
  }
}

TEST(UpstreamNotice, ASiteWithoutTheFieldsHasNoNotices) {
  CHECK(*ReadUpstreamNotice({.rate_limit = "", .leaving = ""},
                            {{.name = "", .value = "1"}}) == UpstreamNotice{});
}

}  // namespace
}  // namespace kingcupstair::guard
