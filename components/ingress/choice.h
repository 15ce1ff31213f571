#ifndef COMPONENTS_INGRESS_CHOICE_H_
#define COMPONENTS_INGRESS_CHOICE_H_

#include <cstdint>
#include <string>

namespace kingcupstair::ingress {

/// Where a chosen upstream is.
struct Choice {
  std::string upstream;
  std::string host;
  /// The life of the host that the choice is meant for.
  uint64_t incarnation = 0;

  bool operator==(const Choice&) const = default;
};

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_CHOICE_H_
