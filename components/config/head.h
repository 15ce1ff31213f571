#ifndef COMPONENTS_CONFIG_HEAD_H_
#define COMPONENTS_CONFIG_HEAD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace kingcupstair::config {

/// The record in the store that names the configuration in force.
struct Head {
  uint64_t revision = 0;
  /// Chosen anew for each attempt to write; tells a write whose answer was
  /// lost from one that never took effect.
  std::string write_id;
  /// Who applied the revision, and what it changed in a few words.
  std::string author;
  std::string summary;
  /// Ids of the chunks, in the order in which they make up the text.
  std::vector<std::string> chunks;
  /// Chunks of the revision before that this one no longer names.
  std::vector<std::string> superseded;

  bool operator==(const Head&) const = default;
};

std::string EncodeHead(const Head& head);
absl::StatusOr<Head> DecodeHead(std::string_view text);

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_HEAD_H_
