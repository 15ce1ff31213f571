#ifndef COMPONENTS_CONFIG_EDIT_H_
#define COMPONENTS_CONFIG_EDIT_H_

#include <string>
#include <string_view>

namespace kingcupstair::config {

/// The kind of object that a rule takes out of service.
enum class OutRuleKind { kZone, kUpstream };

/// Returns `text` with an appended rule that takes `name` out of service.
/// Returns `text` unchanged if it already has such a rule. `asked_by` names the
/// person who requested the rule.
std::string AddOutRule(std::string_view text,
                       OutRuleKind kind,
                       std::string_view name,
                       std::string_view asked_by);

/// Returns `text` without the rules that take `name` out of service.
std::string RemoveOutRules(std::string_view text,
                           OutRuleKind kind,
                           std::string_view name);

/// Returns the lines that differ between two texts: first the removed lines,
/// each prefixed by '-', then the added lines, each prefixed by '+'. Both
/// groups are in file order.
std::string DescribeDifference(std::string_view before, std::string_view after);

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_EDIT_H_
