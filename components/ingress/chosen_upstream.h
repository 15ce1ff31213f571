#ifndef COMPONENTS_INGRESS_CHOSEN_UPSTREAM_H_
#define COMPONENTS_INGRESS_CHOSEN_UPSTREAM_H_

#include <cstdint>
#include <string>

namespace kingcupstair::ingress {

/// An upstream chosen for an attempt, and the host that it runs on.
struct ChosenUpstream {
  std::string upstream;
  std::string host;
  /// Incarnation of the host that the attempt is meant for; the host refuses
  /// the attempt in any other incarnation.
  uint64_t incarnation = 0;
  /// The host is in another availability zone than this one.
  bool in_other_zone = false;

  bool operator==(const ChosenUpstream&) const = default;
};

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_CHOSEN_UPSTREAM_H_
