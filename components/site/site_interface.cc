#include "components/site/site_interface.h"

namespace kingcupstair::site {
namespace {

std::optional<absl::StatusOr<UpstreamCall>> ParseAnnouncement(
    const http::Request& request) {
  if (request.method != "POST" || request.target != "/announce") {
    return std::nullopt;
  }
  auto announcement = guard::DecodeAnnouncement(request.body.text());
  if (!announcement.ok()) {
    return announcement.status();
  }
  return absl::StatusOr<UpstreamCall>(*std::move(announcement));
}

}  // namespace

SiteInterface DefaultInterface() {
  return {.read_upstream_call = ParseAnnouncement};
}

}  // namespace kingcupstair::site
