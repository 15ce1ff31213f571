#ifndef COMPONENTS_CONFIG_HEAD_H_
#define COMPONENTS_CONFIG_HEAD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace kingcupstair::config {

/// The record in the store that names the published configuration by the ids of
/// its chunks.
struct Head {
  uint64_t revision = 0;
  /// Random id of one publication. Shows whether a write whose response was
  /// lost has taken effect.
  std::string write_id;
  /// Who published the revision.
  std::string author;
  /// Short description of the change.
  std::string summary;
  /// Ids of the chunks, in the order in which they make up the text.
  std::vector<std::string> chunks;
  /// Ids of the chunks of the previous revision that this revision does not
  /// use.
  std::vector<std::string> superseded;

  bool operator==(const Head&) const = default;
};

/// Returns the head in its stored form, a JSON object.
std::string EncodeHead(const Head& head);

/// Parses the stored form of a head. Returns DataLoss if a field is missing or
/// has the wrong type.
absl::StatusOr<Head> DecodeHead(std::string_view text);

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_HEAD_H_
