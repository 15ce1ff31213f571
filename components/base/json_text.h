#ifndef COMPONENTS_BASE_JSON_TEXT_H_
#define COMPONENTS_BASE_JSON_TEXT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace kingcupstair {

/// Returns the text of `json`. Bytes that are not UTF-8 are replaced.
inline std::string JsonText(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace kingcupstair

#endif  // COMPONENTS_BASE_JSON_TEXT_H_
