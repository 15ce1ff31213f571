#ifndef COMPONENTS_CONFIG_PARSE_H_
#define COMPONENTS_CONFIG_PARSE_H_

#include <string_view>
#include <variant>
#include <vector>

#include "components/config/rule_error.h"
#include "components/config/rules.h"

namespace kingcupstair::config {

/// A rule with its line number and the person who requested the rule.
struct ParsedRule {
  Rule rule;
  int line = 0;
  std::string asked_by;

  bool operator==(const ParsedRule&) const = default;
};

/// All rules of a text, or all errors found in the text.
using ParseResult =
    std::variant<std::vector<ParsedRule>, std::vector<RuleError>>;

/// Parses the operators' rule file: one rule a line, each ending in
/// "# asked by: NAME". Skips blank lines and lines that are only a comment.
/// Returns no rules if any line has an error.
ParseResult ParseRules(std::string_view text);

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_PARSE_H_
