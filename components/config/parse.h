#ifndef COMPONENTS_CONFIG_PARSE_H_
#define COMPONENTS_CONFIG_PARSE_H_

#include <string_view>
#include <variant>
#include <vector>

#include "components/config/rule_error.h"
#include "components/config/rules.h"

namespace kingcupstair::config {

/// A rule with the place and the person it came from.
struct PlacedRule {
  Rule rule;
  int line = 0;
  std::string asked_by;

  bool operator==(const PlacedRule&) const = default;
};

/// All rules of a text, or every fault found in it.
using ParseResult =
    std::variant<std::vector<PlacedRule>, std::vector<RuleError>>;

/// Reads the operators' file: one rule a line, each ending in
/// "# asked by: NAME". Blank lines and lines that are only a comment are
/// passed over. A text with any fault is refused whole.
ParseResult ParseRules(std::string_view text);

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_PARSE_H_
