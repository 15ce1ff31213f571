#include "components/ingress/work_class.h"

#include <CppUTest/TestHarness.h>

namespace kingcupstair::ingress {
namespace {

TEST_GROUP(WorkClass){};

TEST(WorkClass, DependsOnServiceHostPrefixAndMethodOnly) {
  const config::RouteRule route{.method = "ANY", .prefix = "/a", .host = "h"};
  config::RouteRule same = route;
  same.priority = 3;
  config::RouteRule other_host = route;
  other_host.host = "";
  other_host.prefix = "h/a";
  const uint64_t get = WorkClassOf(route, "s", "GET");
  CHECK(get != 0);
  CHECK(get == WorkClassOf(same, "s", "GET"));
  CHECK(get != WorkClassOf(route, "t", "GET"));
  CHECK(get != WorkClassOf(route, "s", "POST"));
  CHECK(get != WorkClassOf(other_host, "s", "GET"));
}

// A caller that makes up methods must not fill the table of classes.
TEST(WorkClass, UnknownMethodsShareAClass) {
  const config::RouteRule route{.method = "ANY", .prefix = "/a"};
  CHECK(WorkClassOf(route, "s", "A1") == WorkClassOf(route, "s", "A2"));
}

}  // namespace
}  // namespace kingcupstair::ingress
