#include "components/site/site_interface.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "components/store/keys.h"

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

constexpr std::pair<RolloutStatus::State, const char*> kRolloutStates[] = {
    {RolloutStatus::State::kActive, "active"},
    {RolloutStatus::State::kCompleted, "completed"},
    {RolloutStatus::State::kRolledBack, "rolled_back"}};

/// Returns the name of the state and the version, with a space in between.
std::string EncodeRolloutStatus(const RolloutStatus& status) {
  for (const auto& [state, name] : kRolloutStates) {
    if (state == status.state) {
      return absl::StrCat(name, " ", status.version);
    }
  }
  return "";
}

std::optional<RolloutStatus> DecodeRolloutStatus(const std::string& text) {
  const size_t name_end = std::min(text.find(' '), text.size());
  for (const auto& [state, name] : kRolloutStates) {
    if (text.substr(0, name_end) == name && name_end < text.size()) {
      return RolloutStatus{.state = state,
                           .version = text.substr(name_end + 1)};
    }
  }
  return std::nullopt;
}

}  // namespace

SiteInterface DefaultInterface() {
  return {.rollout_status = {.key_prefix = store::kRolloutPrefix,
                             .encode = EncodeRolloutStatus,
                             .decode = DecodeRolloutStatus},
          .read_upstream_call = ParseAnnouncement};
}

}  // namespace kingcupstair::site
