#include "components/guard/upstream_notice.h"

#include <cmath>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace kingcupstair::guard {
namespace {

constexpr char kIsLeaving[] = "1";

std::string_view FindNamed(const http::Headers& headers,
                           const std::string& name) {
  return name.empty() ? std::string_view() : http::FindHeader(headers, name);
}

}  // namespace

absl::StatusOr<UpstreamNotice> ReadUpstreamNotice(
    const HeaderNames& header_names,
    const http::Headers& headers) {
  UpstreamNotice notice{.leaving = FindNamed(headers, header_names.leaving) ==
                                   kIsLeaving};
  const std::string limit(FindNamed(headers, header_names.rate_limit));
  if (limit.empty()) {
    return notice;
  }
  double rate = 0;
  if (!absl::SimpleAtod(limit, &rate) || !std::isfinite(rate) || rate < 0) {
    return absl::InvalidArgumentError(absl::StrCat(
        header_names.rate_limit, " is not a number of requests a second"));
  }
  notice.rate_limit = rate;
  return notice;
}

}  // namespace kingcupstair::guard
