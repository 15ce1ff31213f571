#include "components/events/event.h"

#include <nlohmann/json.hpp>

#include "components/base/json_text.h"

namespace kingcupstair::events {

std::string EncodeEvent(const Event& event) {
  return JsonText({{"at_ms", event.at_ms},
                   {"host", event.host},
                   {"sequence", event.sequence},
                   {"kind", event.kind},
                   {"organisation", event.organisation},
                   {"upstream", event.upstream},
                   {"zone", event.zone},
                   {"revision", event.revision},
                   {"detail", event.detail},
                   {"count", event.count}});
}

absl::StatusOr<Event> DecodeEvent(std::string_view line) {
  const auto json = nlohmann::json::parse(line, nullptr, false);
  if (!json.is_object()) {
    return absl::DataLossError("cannot decode event: not a JSON object");
  }
  try {
    return Event{.at_ms = json.at("at_ms").get<int64_t>(),
                 .host = json.at("host").get<std::string>(),
                 .sequence = json.at("sequence").get<uint64_t>(),
                 .kind = json.at("kind").get<std::string>(),
                 .organisation = json.at("organisation").get<std::string>(),
                 .upstream = json.at("upstream").get<std::string>(),
                 .zone = json.at("zone").get<std::string>(),
                 .revision = json.at("revision").get<uint64_t>(),
                 .detail = json.at("detail").get<std::string>(),
                 .count = json.at("count").get<uint64_t>()};
  } catch (const nlohmann::json::exception& error) {
    return absl::DataLossError(error.what());
  }
}

}  // namespace kingcupstair::events
