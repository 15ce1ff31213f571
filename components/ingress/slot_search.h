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
    kAskFree,     ///< Choose an upstream and ask for a slot that is free now.
    kWait,        ///< Wait at `choice`, the least loaded of those asked.
    kLastResort,  ///< Ask `choice` although it looks unwell.
    kGiveUp,
  };

  Kind kind = Kind::kGiveUp;
  Choice choice;
  /// Ask in any availability zone, and not in the own one first.
  bool any_zone = false;
};

/// Decides how one request looks for a slot: free ones at a few upstreams first,
/// the own availability zone's before others, then a place in the shortest
/// queue seen, then upstreams that look unwell. Answers the load pattern of
/// many ingresses with few requests each: none of them knows how loaded
/// upstreams are now, but each guard knows it exactly and costs one round trip.
class SlotSearch {
 public:
  struct Options {
    /// Upstreams asked for a free slot in all, and first in the own zone.
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
  void OnRefused(const Choice& choice, const rpc::SlotAnswer& answer);

  const std::set<std::string>& asked() const { return this->upstreams; }

  /// Why the last one gave none.
  const once::NotRun& last_refusal() const { return this->refusal; }

 private:
  struct Busy {
    Choice choice;
    double load = 0;
  };

  Options options;
  std::set<std::string> upstreams;
  std::vector<Busy> busy;
  std::vector<Choice> unwell;
  int asked_free = 0;
  bool waited = false;
  bool exhausted = false;
  once::NotRun refusal{.reason = once::RefusalReason::kUpstreamGone};
};

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_SLOT_SEARCH_H_
