#include "components/guard/announcement.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "components/base/json_text.h"

namespace kingcupstair::guard {
namespace {

constexpr size_t kMaxNameBytes = 200;

bool HasLengthOfName(std::string_view text) {
  return text.size() <= kMaxNameBytes;
}

bool IsVisible(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

}  // namespace

bool IsUpstreamId(std::string_view id) {
  return !id.empty() && HasLengthOfName(id) && IsVisible(id) &&
         id.find_first_of("/?#") == std::string_view::npos;
}

bool IsIncarnation(std::string_view text) {
  return HasLengthOfName(text) && IsVisible(text);
}

absl::Status CheckNames(const Announcement& announcement) {
  if (!IsUpstreamId(announcement.id)) {
    return absl::InvalidArgumentError(
        absl::StrCat("the id of an upstream has from 1 to ", kMaxNameBytes,
                     " visible ASCII characters without '/', '?' and '#'"));
  }
  if (!IsIncarnation(announcement.incarnation)) {
    return absl::InvalidArgumentError(
        absl::StrCat("an incarnation has at most ", kMaxNameBytes,
                     " visible ASCII characters"));
  }
  if (!HasLengthOfName(announcement.service) ||
      !HasLengthOfName(announcement.version)) {
    return absl::InvalidArgumentError(
        absl::StrCat("the names of a service and of a version have at most ",
                     kMaxNameBytes, " bytes"));
  }
  return absl::OkStatus();
}

absl::StatusOr<Announcement> DecodeAnnouncement(std::string_view text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) {
    return absl::InvalidArgumentError("an announcement is a JSON object");
  }
  try {
    const auto endpoint = ParseEndpoint(json.at("endpoint").get<std::string>());
    if (!endpoint.ok()) {
      return endpoint.status();
    }
    Announcement announcement{
        .id = json.at("id").get<std::string>(),
        .service = json.at("service").get<std::string>(),
        .version = json.value("version", ""),
        .endpoint = *endpoint,
        .incarnation = json.at("incarnation").get<std::string>(),
        .slots = json.value("slots", 0),
        .draining = json.value("draining", false)};
    if (const auto status = CheckNames(announcement); !status.ok()) {
      return status;
    }
    return announcement;
  } catch (const nlohmann::json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

std::string EncodeAnnouncement(const Announcement& announcement) {
  return JsonText({{"id", announcement.id},
                   {"service", announcement.service},
                   {"version", announcement.version},
                   {"endpoint", ToText(announcement.endpoint)},
                   {"incarnation", announcement.incarnation},
                   {"slots", announcement.slots},
                   {"draining", announcement.draining}});
}

}  // namespace kingcupstair::guard
