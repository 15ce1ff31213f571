#include "tests/limits/share_restore_model.h"

#include <algorithm>
#include <array>
#include <compare>
#include <functional>
#include <set>
#include <vector>

namespace kingcupstair::limits {
namespace {

constexpr size_t kHosts = 2;
constexpr int kWhole = 4;

using Parts = std::array<int, kHosts>;

/// The share table with its version in the store.
struct Table {
  Parts parts{};
  int version = 0;

  auto operator<=>(const Table&) const = default;
};

struct Host {
  int share = 0;
  /// The least share since before the copy was made.
  int least = 0;
  /// The process knows its share from its own life.
  bool joined = true;
  /// The version of the table at the first read of a process that has not
  /// joined yet; 0 before that read.
  int first_read = 0;
  bool knows_restore = false;
  /// A transfer that was lowered here and not yet written.
  bool transferring = false;
  /// The answer to a write was lost, so it may still reach the store. The share
  /// stays lowered until the table has been written once more.
  bool unconfirmed = false;
  /// This process, or a former one, sent such a write since the copy was made.
  /// A restore undoes the write that confirmed it.
  bool sent_unconfirmed = false;
  Table base;
  bool base_is_new = false;

  auto operator<=>(const Host&) const = default;
};

/// A write that is still on its way to the store.
struct DelayedWrite {
  bool pending = false;
  int expected = 0;
  Parts parts{};

  auto operator<=>(const DelayedWrite&) const = default;
};

struct State {
  Table table;
  bool copied = false;
  Table copy;
  bool restored = false;
  /// The table of the new era, once a host has written it.
  bool has_new_table = false;
  Table new_table;
  std::array<Host, kHosts> hosts;
  DelayedWrite delayed;

  auto operator<=>(const State&) const = default;
};

State FirstState() {
  State state{.table = {.parts = {2, 2}, .version = 1}};
  for (Host& host : state.hosts) {
    host = {.share = 2, .least = 2};
  }
  return state;
}

class Steps {
 public:
  Steps(const RestoreRules& rules, const State& state)
      : rules(rules), state(state) {}

  std::vector<State> All() {
    for (size_t i = 0; i < kHosts; ++i) {
      this->Read(i);
      this->LowerForTransfer(i);
      this->WriteTransfer(i);
      this->WriteAgain(i);
      this->WriteNewTable(i);
      this->Restart(i);
      this->HearOfRestore(i);
    }
    this->Copy();
    this->Restore();
    this->DeliverDelayedWrite();
    return std::move(this->next);
  }

 private:
  bool IsSettled() const {
    return !this->state.restored ||
           std::all_of(this->state.hosts.begin(), this->state.hosts.end(),
                       [](const Host& host) { return host.knows_restore; });
  }

  bool MustWait() const {
    return this->rules.waits && this->state.restored && !this->IsSettled();
  }

  void Add(const std::function<void(State&)>& change) {
    State changed = this->state;
    change(changed);
    this->next.push_back(changed);
  }

  static void SetShare(Host& host, int share) {
    host.share = share;
    host.least = std::min(host.least, share);
  }

  /// Returns whether host `i` works with the table of the new era.
  bool UsesNewTable(size_t i) const {
    return this->state.restored && this->rules.era_tables &&
           this->state.hosts[i].knows_restore;
  }

  const Table& TableOf(const State& state, size_t i) const {
    return this->UsesNewTable(i) ? state.new_table : state.table;
  }

  Table& TableOf(State& state, size_t i) const {
    return this->UsesNewTable(i) ? state.new_table : state.table;
  }

  // A host that does not know of the restore by now learns of it from the
  // store's answer.
  void Read(size_t i) {
    const Host& host = this->state.hosts[i];
    if (host.transferring || host.unconfirmed ||
        (this->state.restored && !host.knows_restore) ||
        (this->UsesNewTable(i) && !this->state.has_new_table)) {
      return;
    }
    const int entry = this->TableOf(this->state, i).parts[i];
    if (this->MustWait() && (!host.joined || entry > host.share)) {
      return;
    }
    if (!host.joined) {
      this->Join(i);
      return;
    }
    this->Add([&](State& changed) { SetShare(changed.hosts[i], entry); });
  }

  // A later version than that of the first read fences writes of the former
  // process. The host writes the table itself if nobody else has.
  void Join(size_t i) {
    const Host& host = this->state.hosts[i];
    const Table& table = this->TableOf(this->state, i);
    if (host.first_read == 0) {
      this->Add(
          [&](State& changed) { changed.hosts[i].first_read = table.version; });
      return;
    }
    const bool needs_write = table.version == host.first_read;
    this->Add([&](State& changed) {
      this->TableOf(changed, i).version += needs_write ? 1 : 0;
      SetShare(changed.hosts[i], table.parts[i]);
      changed.hosts[i].joined = true;
      changed.hosts[i].first_read = 0;
    });
    if (!this->rules.joins_by_later_version && needs_write) {
      this->Add([&](State& changed) {
        SetShare(changed.hosts[i], table.parts[i]);
        changed.hosts[i].joined = true;
        changed.hosts[i].first_read = 0;
      });
    }
  }

  void WriteNewTable(size_t i) {
    if (this->UsesNewTable(i) && !this->state.has_new_table &&
        !this->MustWait()) {
      this->Add([&](State& changed) {
        changed.has_new_table = true;
        changed.new_table = {.parts = changed.table.parts, .version = 1};
      });
    }
  }

  void LowerForTransfer(size_t i) {
    const Host& host = this->state.hosts[i];
    if (!host.joined || host.transferring || host.unconfirmed ||
        this->MustWait() || (this->state.restored && !host.knows_restore) ||
        (this->UsesNewTable(i) && !this->state.has_new_table) ||
        host.share != this->TableOf(this->state, i).parts[i] ||
        host.share == 0) {
      return;
    }
    this->Add([&](State& changed) {
      changed.hosts[i].base = this->TableOf(changed, i);
      changed.hosts[i].base_is_new = this->UsesNewTable(i);
      changed.hosts[i].transferring = true;
      SetShare(changed.hosts[i], host.share - 1);
    });
  }

  void WriteTransfer(size_t i) {
    const Host& host = this->state.hosts[i];
    if (!host.transferring) {
      return;
    }
    if (this->state.restored && host.knows_restore && this->rules.waits &&
        !host.base_is_new) {
      this->Add([&](State& changed) { changed.hosts[i].transferring = false; });
      return;
    }
    Parts parts = host.base.parts;
    --parts[i];
    ++parts[(i + 1) % kHosts];
    this->Add([&](State& changed) {
      changed.hosts[i].transferring = false;
      TryWrite(host.base_is_new ? changed.new_table : changed.table,
               host.base.version, parts);
    });
    if (!this->state.delayed.pending && !host.base_is_new) {
      this->Add([&](State& changed) {
        changed.hosts[i].transferring = false;
        changed.hosts[i].unconfirmed = true;
        changed.hosts[i].sent_unconfirmed = true;
        changed.delayed = {
            .pending = true, .expected = host.base.version, .parts = parts};
      });
    }
  }

  void WriteAgain(size_t i) {
    const Host& host = this->state.hosts[i];
    if (host.unconfirmed && !this->MustWait() &&
        (!this->state.restored || host.knows_restore)) {
      this->Add([&](State& changed) {
        ++this->TableOf(changed, i).version;
        changed.hosts[i].unconfirmed = false;
      });
    }
  }

  static void TryWrite(Table& table, int expected, const Parts& parts) {
    if (table.version == expected) {
      table = {.parts = parts, .version = expected + 1};
    }
  }

  void DeliverDelayedWrite() {
    if (this->state.delayed.pending) {
      this->Add([&](State& changed) {
        TryWrite(changed.table, changed.delayed.expected,
                 changed.delayed.parts);
        changed.delayed = {};
      });
    }
  }

  // Loans of the former process have run out before the new one takes a share.
  void Restart(size_t i) {
    this->Add([&](State& changed) {
      changed.hosts[i] = {.joined = false,
                          .knows_restore = changed.hosts[i].knows_restore,
                          .sent_unconfirmed = true};
    });
  }

  void HearOfRestore(size_t i) {
    const Host& host = this->state.hosts[i];
    if (!this->state.restored || host.knows_restore) {
      return;
    }
    this->Add([&](State& changed) {
      Host& heard = changed.hosts[i];
      heard.knows_restore = true;
      // Versions of different eras can't be compared.
      heard.first_read = 0;
      if (this->rules.falls_back) {
        heard.share = std::min(heard.share, changed.table.parts[i]);
        heard.share = heard.sent_unconfirmed
                          ? std::min(heard.share, heard.least)
                          : heard.share;
        heard.unconfirmed =
            heard.sent_unconfirmed && heard.joined && !this->rules.era_tables;
      }
    });
  }

  void Copy() {
    if (!this->state.copied) {
      this->Add([&](State& changed) {
        changed.copied = true;
        changed.copy = changed.table;
        for (Host& host : changed.hosts) {
          host.least = host.share;
        }
      });
    }
  }

  void Restore() {
    if (this->state.copied && !this->state.restored) {
      this->Add([&](State& changed) {
        changed.restored = true;
        changed.table = changed.copy;
      });
    }
  }

  RestoreRules rules;
  const State& state;
  std::vector<State> next;
};

bool ExceedsWhole(const State& state) {
  int sum = 0;
  for (const Host& host : state.hosts) {
    sum += host.share;
  }
  return sum > kWhole;
}

}  // namespace

ExplorationResult ExploreShareRestore(const RestoreRules& rules, int depth) {
  ExplorationResult result;
  std::set<State> seen{FirstState()};
  std::vector<State> frontier{FirstState()};
  for (int step = 0; step < depth && !result.exceeds_whole; ++step) {
    std::vector<State> reached;
    for (const State& state : frontier) {
      for (State& each : Steps(rules, state).All()) {
        if (seen.insert(each).second) {
          result.exceeds_whole = result.exceeds_whole || ExceedsWhole(each);
          reached.push_back(std::move(each));
        }
      }
    }
    frontier = std::move(reached);
  }
  result.states = seen.size();
  return result;
}

}  // namespace kingcupstair::limits
