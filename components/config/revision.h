#ifndef COMPONENTS_CONFIG_REVISION_H_
#define COMPONENTS_CONFIG_REVISION_H_

#include <compare>
#include <cstdint>
#include <string>

namespace kingcupstair::config {

/// Position of a configuration in the order of all configurations of a fleet.
/// The store may be restored from an older copy: then its revisions are given
/// out a second time, and its era rises. So revisions are compared only within
/// an era, and eras only between configurations of the same content version.
///
/// Packed into one number, which hosts compare. A fleet without eras and
/// content versions has the store's revisions as packed numbers.
struct Revision {
  /// Version that the operators gave the content; 0 if they give none. Content
  /// with a higher version is newer in any era.
  uint64_t content_version = 0;
  /// Number of times that the store was restored.
  uint64_t era = 0;
  /// The store's revision within the era, or that of the published head.
  uint64_t number = 0;

  auto operator<=>(const Revision&) const = default;
};

/// Returns the packed form, which has the same order. Fields beyond their
/// width are packed as the largest value: 24 bits of content version, 8 of era
/// and 32 of number.
uint64_t Pack(const Revision& revision);

Revision Unpack(uint64_t packed);

/// Returns the packed revision as text: the number, preceded by the era and the
/// content version where there are any, as in "7/2.513".
std::string RevisionText(uint64_t packed);

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_REVISION_H_
