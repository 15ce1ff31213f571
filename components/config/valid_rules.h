#ifndef COMPONENTS_CONFIG_VALID_RULES_H_
#define COMPONENTS_CONFIG_VALID_RULES_H_

#include <string>
#include <vector>

#include "components/config/rule_error.h"

namespace kingcupstair::config {

/// A text of rules from which a configuration can be built, and the errors of
/// the rules that were left out for it.
struct ValidRules {
  std::string text;
  std::vector<RuleError> left_out;

  bool operator==(const ValidRules&) const = default;
};

/// Leaves out of `text` the rules that are invalid or conflict with an earlier
/// one.
ValidRules KeepValidRules(std::string text);

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_VALID_RULES_H_
