#include "tests/limits/join_simulation.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include "components/limits/join_fence.h"
#include "tests/support/times.h"

namespace kingcupstair {
namespace {

// The delays of control::ShareLoop after a version conflict.
constexpr int64_t kMinDelayMillis = 10;
constexpr int64_t kMaxDelayMillis = 150;

class JoinSimulation {
 public:
  explicit JoinSimulation(const JoinOptions& options)
      : options(options), fences(static_cast<size_t>(options.hosts)) {}

  JoinResult Run() {
    std::uniform_int_distribution<int64_t> start(
        0, this->options.start_spread.count());
    Instant last_start;
    for (int host = 0; host < this->options.hosts; ++host) {
      const Instant at = At(0) + Duration(start(this->random));
      last_start = std::max(last_start, at);
      this->events.emplace(at, [this, host] { this->Read(host); });
    }
    while (!this->events.empty()) {
      const auto first = this->events.begin();
      this->now = first->first;
      const auto event = std::move(first->second);
      this->events.erase(first);
      event();
    }
    return {.store_calls = this->calls,
            .last_share = this->last_joined - last_start};
  }

 private:
  void After(Duration delay, std::function<void()> event) {
    this->events.emplace(this->now + delay, std::move(event));
  }

  void Read(int host) {
    ++this->calls;
    this->After(this->options.call_time / 2, [this, host] {
      this->After(
          this->options.call_time / 2,
          [this, host, read = this->version] { this->HandleRead(host, read); });
    });
  }

  void HandleRead(int host, uint64_t read) {
    const bool fenced =
        this->fences[static_cast<size_t>(host)].RecordRead({.version = read});
    if (fenced && this->options.uses_fence) {
      this->last_joined = this->now;
      return;
    }
    ++this->calls;
    this->After(this->options.call_time / 2, [this, host, read] {
      const bool written = this->version == read;
      this->version += written ? 1 : 0;
      this->After(this->options.call_time / 2,
                  [this, host, written] { this->HandleWrite(host, written); });
    });
  }

  void HandleWrite(int host, bool written) {
    if (written) {
      this->last_joined = this->now;
      return;
    }
    std::uniform_int_distribution<int64_t> delay(kMinDelayMillis,
                                                 kMaxDelayMillis);
    this->After(Millis(delay(this->random)),
                [this, host] { this->Read(host); });
  }

  JoinOptions options;
  std::mt19937_64 random{7};
  Instant now;
  std::multimap<Instant, std::function<void()>> events;
  std::vector<limits::JoinFence> fences;
  uint64_t version = 1;
  int calls = 0;
  Instant last_joined;
};

}  // namespace

JoinResult SimulateJoin(const JoinOptions& options) {
  return JoinSimulation(options).Run();
}

}  // namespace kingcupstair
