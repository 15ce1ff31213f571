#ifndef COMPONENTS_ONCE_RUMOR_SELECTION_H_
#define COMPONENTS_ONCE_RUMOR_SELECTION_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace kingcupstair::once {

/// Returns what to tell a peer of a list that may be longer than a message has
/// `room` for: the newest entries in half of the room, and the others in turn
/// from one `round` to the next.
template <typename Entry>
std::vector<Entry> SelectRumors(const std::vector<Entry>& newest_first,
                                size_t room,
                                uint64_t round) {
  if (newest_first.size() <= room) {
    return newest_first;
  }
  const size_t newest = room / 2;
  const size_t others = newest_first.size() - newest;
  std::vector<Entry> selected(
      newest_first.begin(),
      newest_first.begin() + static_cast<std::ptrdiff_t>(newest));
  for (size_t i = 0; i < room - newest; ++i) {
    selected.push_back(
        newest_first[newest + (round * (room - newest) + i) % others]);
  }
  return selected;
}

}  // namespace kingcupstair::once

#endif  // COMPONENTS_ONCE_RUMOR_SELECTION_H_
