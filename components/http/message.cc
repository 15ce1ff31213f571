#include "components/http/message.h"

#include <algorithm>

#include "absl/strings/match.h"

namespace kingcupstair::http {
namespace {

bool SameName(std::string_view left, std::string_view right) {
  return absl::EqualsIgnoreCase(absl::string_view(left.data(), left.size()),
                                absl::string_view(right.data(), right.size()));
}

}  // namespace

std::string_view FindHeader(const Headers& headers, std::string_view name) {
  for (const Header& header : headers) {
    if (SameName(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

Headers WithoutHeaders(const Headers& headers,
                       const std::vector<std::string_view>& names) {
  Headers kept;
  for (const Header& header : headers) {
    const bool dropped = std::any_of(
        names.begin(), names.end(),
        [&](std::string_view name) { return SameName(header.name, name); });
    if (!dropped) {
      kept.push_back(header);
    }
  }
  return kept;
}

Response JsonResponse(int status, std::string body) {
  return {.status = status,
          .headers = {{.name = "Content-Type", .value = "application/json"}},
          .body = std::move(body)};
}

}  // namespace kingcupstair::http
