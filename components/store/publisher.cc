#include "components/store/publisher.h"

#include <set>

#include "components/base/hash.h"
#include "components/config/chunks.h"
#include "components/fibers/worker_pool.h"
#include "components/store/keys.h"

namespace kingcupstair::store {
namespace {

constexpr int kTries = 5;
constexpr Duration kPause{std::chrono::milliseconds(200)};

template <typename Action>
auto Retry(Action action) -> decltype(action()) {
  for (int i = 1; i < kTries; ++i) {
    auto result = action();
    if (result.ok()) {
      return result;
    }
    fibers::SleepFor(kPause);
  }
  return action();
}

absl::StatusOr<StoredConfiguration> ReadOnce(const Client& client) {
  const auto entry = client.Get(kHeadKey);
  if (!entry.ok()) {
    return entry.status();
  }
  StoredConfiguration stored{.head_version = entry->version};
  if (entry->version == 0) {
    return stored;
  }
  const auto head = config::DecodeHead(entry->value);
  if (!head.ok()) {
    return head.status();
  }
  stored.head = *head;
  for (const std::string& id : stored.head.chunks) {
    const auto chunk = client.Get(ChunkKey(id));
    if (!chunk.ok()) {
      return chunk.status();
    }
    if (config::ChunkId(chunk->value) != id) {
      return absl::UnavailableError("a chunk was replaced while being read");
    }
    stored.text += chunk->value;
  }
  return stored;
}

absl::Status WriteNewChunks(const Client& client,
                            const std::vector<config::Chunk>& chunks,
                            const config::Head& base) {
  const std::set<std::string> there(base.chunks.begin(), base.chunks.end());
  for (const config::Chunk& chunk : chunks) {
    if (there.contains(chunk.id)) {
      continue;
    }
    const absl::Status status =
        Retry([&] { return client.Overwrite(ChunkKey(chunk.id), chunk.text); });
    if (!status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

// Chunks of the base are kept for hosts that are still reading it; those that
// only the revision before it named are dropped by the next change.
void DropUnused(const Client& client,
                const config::Head& base,
                const config::Head& head) {
  std::set<std::string> used(head.chunks.begin(), head.chunks.end());
  used.insert(base.chunks.begin(), base.chunks.end());
  for (const std::string& id : base.superseded) {
    if (!used.contains(id)) {
      client.Delete(ChunkKey(id)).IgnoreError();
    }
  }
}

std::vector<std::string> Superseded(const config::Head& base,
                                    const config::Head& head) {
  const std::set<std::string> used(head.chunks.begin(), head.chunks.end());
  std::vector<std::string> superseded;
  for (const std::string& id : base.chunks) {
    if (!used.contains(id)) {
      superseded.push_back(id);
    }
  }
  return superseded;
}

}  // namespace

absl::StatusOr<StoredConfiguration> ReadConfiguration(const Client& client) {
  return Retry([&] { return ReadOnce(client); });
}

// The compare-and-swap may take effect although its answer is lost. The write
// id in the head tells: if ours stands there the write took effect, and if the
// base still stands there it is safe to write the same again, because a second
// effect would meet another version.
absl::StatusOr<PublishResult> Publish(const Client& client,
                                      const StoredConfiguration& base,
                                      const Change& change) {
  const auto chunks = config::SplitIntoChunks(change.text);
  config::Head head{.revision = base.head.revision + 1,
                    .write_id = RandomId(),
                    .author = change.author,
                    .summary = change.summary};
  for (const config::Chunk& chunk : chunks) {
    head.chunks.push_back(chunk.id);
  }
  head.superseded = Superseded(base.head, head);
  if (const auto status = WriteNewChunks(client, chunks, base.head);
      !status.ok()) {
    return status;
  }
  absl::Status last;
  for (int i = 0; i < kTries; ++i) {
    const auto put =
        client.Put(kHeadKey, config::EncodeHead(head), base.head_version);
    if (put.ok() && *put == PutResult::kWritten) {
      DropUnused(client, base.head, head);
      return PublishResult{Published{.revision = head.revision}};
    }
    const auto now = ReadConfiguration(client);
    if (!now.ok()) {
      last = now.status();
      continue;
    }
    if (now->head.write_id == head.write_id) {
      return PublishResult{Published{.revision = head.revision}};
    }
    if (now->head_version != base.head_version) {
      return PublishResult{LostRace{.winner = *now}};
    }
    last = put.status();
  }
  return last.ok() ? absl::UnavailableError("the store kept refusing") : last;
}

}  // namespace kingcupstair::store
