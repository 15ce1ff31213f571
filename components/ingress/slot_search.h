#ifndef COMPONENTS_INGRESS_SLOT_SEARCH_H_
#define COMPONENTS_INGRESS_SLOT_SEARCH_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "components/base/time.h"
#include "components/ingress/choice.h"
#include "components/once/outcome.h"
#include "components/rpc/messages.h"

namespace kingcupstair::ingress {

/// The next thing to do to find a slot.
struct SlotStep {
  enum class Kind {
    kAskIdle,     ///< Choose one, and ask only if it is no busier than usual.
    kTakeLeast,   ///< Ask `choice`, the least busy of those.
    kAskFree,     ///< Choose one and ask for a slot that is free now.
    kWait,        ///< Wait at `choice`, the least loaded of those asked.
    kLastResort,  ///< Ask `choice` although it looks unwell.
    kGiveUp,
  };

  Kind kind = Kind::kGiveUp;
  Choice choice;
  /// Ask in any availability zone, and not in the own one first.
  bool any_zone = false;
};

/// Decides how one request looks for a slot: at upstreams no busier than usual
/// first, then at the least busy of those, then at any with a free slot, the
/// own availability zone's before others, then in the shortest queue seen, then
/// at upstreams that look unwell. Answers the load pattern of many ingresses
/// with few requests each: none of them knows how busy upstreams are now, but
/// each guard knows it exactly and costs one round trip; and an upstream that
/// hangs shows first by being busier than others.
class SlotSearch {
 public:
  struct Options {
    /// Upstreams asked whether they are idle, asked for a slot in all, and
    /// asked in the own zone first.
    int max_asked_idle = 3;
    int max_asked = 6;
    int max_asked_own_zone = 3;
    /// The search may end in a queue.
    bool may_wait = true;
    /// The search may end at an upstream that looks unwell.
    bool may_use_unwell = true;
  };

  explicit SlotSearch(Options options);

  SlotStep Next() const;

  /// No further upstream could be chosen.
  void OnNoChoice() { this->exhausted = true; }

  /// An upstream gave no slot.
  void OnRefused(const SlotStep& step,
                 const Choice& choice,
                 const rpc::SlotAnswer& answer);

  const std::set<std::string>& asked_upstreams() const {
    return this->upstreams;
  }

  /// Why the last one gave none.
  const once::NotRun& last_refusal() const { return this->refusal; }

 private:
  struct Busy {
    Choice choice;
    double load = 0;
  };

  static Choice LeastOf(const std::vector<Busy>& all);

  Options options;
  std::set<std::string> upstreams;
  std::vector<Busy> busier;
  std::vector<Busy> busy;
  std::vector<Choice> unwell;
  int asked = 0;
  bool ended = false;
  bool exhausted = false;
  once::NotRun refusal{.reason = once::RefusalReason::kUpstreamGone};
};

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_SLOT_SEARCH_H_
