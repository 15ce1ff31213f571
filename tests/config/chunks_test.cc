#include "components/config/chunks.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace kingcupstair::config {
namespace {

constexpr int kLines = 3000;

std::vector<std::string> Lines() {
  std::vector<std::string> lines;
  for (int i = 0; i < kLines; ++i) {
    const std::string number = std::to_string(i);
    lines.push_back("route ANY /orders" + number + "/ host h" + number +
                    ".example service lote once keyed deadline 6000ms "
                    "objective 4000ms priority 1 attempts 2 # asked by: A\n");
  }
  return lines;
}

std::string Join(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) {
    text += line;
  }
  return text;
}

/// Returns the bytes of the chunks of `after` that `before` lacks.
size_t NewBytes(const std::string& before, const std::string& after) {
  std::set<std::string> known;
  for (const Chunk& chunk : SplitIntoChunks(before)) {
    known.insert(chunk.id);
  }
  size_t bytes = 0;
  for (const Chunk& chunk : SplitIntoChunks(after)) {
    bytes += known.contains(chunk.id) ? 0 : chunk.text.size();
  }
  return bytes;
}

TEST_GROUP(Chunks){};

TEST(Chunks, TogetherTheyAreTheText) {
  const std::string text = Join(Lines());
  std::string joined;
  for (const Chunk& chunk : SplitIntoChunks(text)) {
    joined += chunk.text;
  }
  CHECK(joined == text);
}

// Hosts with links of 10 Mbit/s fetched 131 KB from others for a change of one
// line. 64 KiB take such a link 52 ms.
TEST(Chunks, AChangeOfOneLineChangesFewBytes) {
  const std::vector<std::string> lines = Lines();
  const std::string before = Join(lines);
  size_t most = 0;
  for (size_t i = 0; i < lines.size(); i += 7) {
    std::vector<std::string> changed = lines;
    changed[i] = "route ANY /changed/ service lote open # asked by: A\n";
    std::vector<std::string> added = lines;
    added.insert(added.begin() + static_cast<std::ptrdiff_t>(i), changed[i]);
    most = std::max(
        {most, NewBytes(before, Join(changed)), NewBytes(before, Join(added))});
  }
  CHECK(most <= size_t{64} * 1024);
}

}  // namespace
}  // namespace kingcupstair::config
