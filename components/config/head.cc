#include "components/config/head.h"

#include <nlohmann/json.hpp>

#include "components/base/json_text.h"

namespace kingcupstair::config {

std::string EncodeHead(const Head& head) {
  return JsonText({{"revision", head.revision},
                   {"write_id", head.write_id},
                   {"author", head.author},
                   {"summary", head.summary},
                   {"chunks", head.chunks},
                   {"superseded", head.superseded}});
}

absl::StatusOr<Head> DecodeHead(std::string_view text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) {
    return absl::DataLossError("the configuration head is not a JSON object");
  }
  try {
    return Head{
        .revision = json.at("revision").get<uint64_t>(),
        .write_id = json.at("write_id").get<std::string>(),
        .author = json.at("author").get<std::string>(),
        .summary = json.at("summary").get<std::string>(),
        .chunks = json.at("chunks").get<std::vector<std::string>>(),
        .superseded = json.at("superseded").get<std::vector<std::string>>()};
  } catch (const nlohmann::json::exception& error) {
    return absl::DataLossError(error.what());
  }
}

}  // namespace kingcupstair::config
