#include "components/config/revision.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace kingcupstair::config {
namespace {

constexpr unsigned kNumberBits = 32;
constexpr unsigned kEraBits = 8;
constexpr unsigned kContentVersionBits = 24;

uint64_t Limited(uint64_t value, unsigned bits) {
  return std::min(value, (uint64_t{1} << bits) - 1);
}

uint64_t LowBits(uint64_t value, unsigned bits) {
  return value & ((uint64_t{1} << bits) - 1);
}

}  // namespace

uint64_t Pack(const Revision& revision) {
  return Limited(revision.content_version, kContentVersionBits)
             << (kEraBits + kNumberBits) |
         Limited(revision.era, kEraBits) << kNumberBits |
         Limited(revision.number, kNumberBits);
}

Revision Unpack(uint64_t packed) {
  return {.content_version = packed >> (kEraBits + kNumberBits),
          .era = LowBits(packed >> kNumberBits, kEraBits),
          .number = LowBits(packed, kNumberBits)};
}

std::string RevisionText(uint64_t packed) {
  const Revision revision = Unpack(packed);
  std::string text = absl::StrCat(revision.number);
  if (revision.era > 0) {
    text = absl::StrCat(revision.era, ".", text);
  }
  return revision.content_version > 0
             ? absl::StrCat(revision.content_version, "/", text)
             : text;
}

}  // namespace kingcupstair::config
