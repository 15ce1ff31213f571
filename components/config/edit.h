#ifndef COMPONENTS_CONFIG_EDIT_H_
#define COMPONENTS_CONFIG_EDIT_H_

#include <string>
#include <string_view>

namespace kingcupstair::config {

/// What an "out" rule takes out of service.
enum class OutKind { kZone, kUpstream };

/// `text` with a rule that takes `name` out; unchanged when it stands already.
std::string WithOut(std::string_view text,
                    OutKind kind,
                    std::string_view name,
                    std::string_view asked_by);

/// `text` without the rules that take `name` out.
std::string WithBackIn(std::string_view text,
                       OutKind kind,
                       std::string_view name);

/// The lines that differ between two texts, removed ones marked '-' and added
/// ones '+', each in file order.
std::string DescribeDifference(std::string_view before, std::string_view after);

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_EDIT_H_
