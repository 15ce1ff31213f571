#include "components/guard/announcement.h"

#include <nlohmann/json.hpp>

namespace kingcupstair::guard {

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
    return Announcement{
        .id = json.at("id").get<std::string>(),
        .service = json.at("service").get<std::string>(),
        .version = json.value("version", ""),
        .endpoint = *endpoint,
        .incarnation = json.at("incarnation").get<std::string>(),
        .slots = json.value("slots", 0),
        .draining = json.value("draining", false)};
  } catch (const nlohmann::json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

std::string EncodeAnnouncement(const Announcement& announcement) {
  return nlohmann::json{{"id", announcement.id},
                        {"service", announcement.service},
                        {"version", announcement.version},
                        {"endpoint", ToText(announcement.endpoint)},
                        {"incarnation", announcement.incarnation},
                        {"slots", announcement.slots},
                        {"draining", announcement.draining}}
      .dump();
}

}  // namespace kingcupstair::guard
