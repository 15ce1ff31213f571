#include "components/membership/incarnation.h"

namespace kingcupstair::membership {
namespace {

constexpr int kRandomBits = 16;

int64_t StartMillis(uint64_t incarnation) {
  return static_cast<int64_t>(incarnation >> kRandomBits);
}

}  // namespace

uint64_t MakeIncarnation(int64_t start_millis, uint64_t random) {
  return (static_cast<uint64_t>(start_millis) << kRandomBits) |
         (random & ((1U << kRandomBits) - 1));
}

Duration StartedBefore(uint64_t former, uint64_t later) {
  return std::chrono::milliseconds(StartMillis(later) - StartMillis(former));
}

}  // namespace kingcupstair::membership
