#ifndef COMPONENTS_CONFIG_RULE_ERROR_H_
#define COMPONENTS_CONFIG_RULE_ERROR_H_

#include <string>

namespace kingcupstair::config {

/// An error in one line of the operators' rule file. Lines and columns count
/// from 1.
struct RuleError {
  int line = 0;
  int column = 0;
  std::string reason;

  bool operator==(const RuleError&) const = default;
};

/// Returns the error as "line L, column C: reason".
std::string ToText(const RuleError& error);

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_RULE_ERROR_H_
