#include "components/ingress/work_class.h"

#include <algorithm>
#include <array>

#include "components/base/hash.h"

namespace kingcupstair::ingress {
namespace {

constexpr std::array<std::string_view, 7> kMethods{
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

}  // namespace

uint64_t WorkClassOf(const config::RouteRule& route,
                     std::string_view service,
                     std::string_view method) {
  const bool known =
      std::find(kMethods.begin(), kMethods.end(), method) != kMethods.end();
  constexpr std::string_view kSeparator("\0", 1);
  const uint64_t hash =
      StableHash({service, kSeparator, route.host, kSeparator, route.prefix,
                  kSeparator, known ? method : std::string_view{}});
  return hash == 0 ? 1 : hash;
}

}  // namespace kingcupstair::ingress
