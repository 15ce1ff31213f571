#ifndef COMPONENTS_INGRESS_SLOT_SEARCH_H_
#define COMPONENTS_INGRESS_SLOT_SEARCH_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "components/base/time.h"
#include "components/ingress/chosen_upstream.h"
#include "components/once/outcome.h"
#include "components/rpc/messages.h"

namespace kingcupstair::ingress {

/// The next step of a search for a slot.
struct SlotStep {
  enum class Kind {
    /// Choose an upstream and request a slot there, to be refused if the
    /// upstream has more requests in flight than usual.
    kTryIdle,
    /// Request a free slot at `choice`, the least loaded of the upstreams that
    /// refused as busier than usual.
    kTryLeastLoaded,
    /// Choose an upstream and request a slot that is free now.
    kTryFree,
    /// Queue at `choice`, the least loaded of the upstreams without a free
    /// slot.
    kQueue,
    /// Request a slot at `choice` although it is suspected, instead of a wait
    /// in a queue.
    kTryDoubtful,
    /// Request a slot at `choice` although it is unhealthy or suspected.
    kLastResort,
    /// End the search without a slot.
    kGiveUp,
  };

  Kind kind = Kind::kGiveUp;
  ChosenUpstream choice;
  /// Choose from all availability zones, without preference for the own one.
  bool any_zone = false;
};

/// Decides at which upstreams one request looks for a slot, and in which order:
///   1. upstreams that are no busier than usual;
///   2. the least loaded of the upstreams refused in step 1;
///   3. any upstream with a free slot;
///   4. the upstream that is least likely to fail among the unhealthy ones, if
///      it is more likely to serve the request than to fail it;
///   5. the queue of the least loaded upstream that had no free slot;
///   6. the upstream that is least likely to fail among the unhealthy ones.
/// The first tries prefer the own availability zone. An upstream that turns out
/// to be out of use, also while the request waits in its queue, is left out,
/// and the search goes on.
///
/// The order fits many ingresses with few requests each. No ingress knows how
/// busy the upstreams are now. The guard of each upstream knows that exactly,
/// and a query costs one round trip. An upstream that hangs is first noticed by
/// being busier than the others.
class SlotSearch {
 public:
  struct Options {
    /// Number of upstreams tried with kTryIdle.
    int max_tried_idle = 3;
    /// Number of upstreams tried in all, with kTryIdle or kTryFree.
    int max_tried = 6;
    /// Number of first tries that prefer the own availability zone.
    int max_tried_own_zone = 3;
    /// Whether the search may end in the queue of an upstream.
    bool may_wait = true;
    /// Whether the search may end at an unhealthy or suspected upstream.
    bool may_use_unhealthy = true;
    /// Number of upstreams without a free slot after which no further one is
    /// tried.
    int max_without_free_slot = 6;
    /// Compare the waits that upstreams report, instead of their loads.
    bool by_remaining_work = false;
  };

  explicit SlotSearch(Options options);

  /// Returns the next step; kGiveUp if none is left.
  SlotStep Next() const;

  /// Records that the load balancer had no further upstream to choose.
  void OnNoCandidate() { this->no_candidates_left = true; }

  /// Records that `choice` granted no slot at `step`.
  void OnRefused(const SlotStep& step,
                 const ChosenUpstream& choice,
                 const rpc::SlotAnswer& answer);

  /// Returns the ids of the upstreams tried so far.
  const std::set<std::string>& tried_upstreams() const { return this->tried; }

  /// Returns the last refusal.
  const once::NotRun& last_refusal() const { return this->refusal; }

 private:
  struct LoadedUpstream {
    ChosenUpstream choice;
    /// Requests in flight and queued, relative to the concurrency limit, or the
    /// reported wait in seconds.
    double load = 0;
  };

  struct UnhealthyUpstream {
    ChosenUpstream choice;
    double failure_probability = 0;
  };

  /// Removes an upstream that takes no request any more.
  void Forget(const ChosenUpstream& choice);
  /// Returns the upstream of `unhealthy` that is least likely to be failing.
  const UnhealthyUpstream& LeastUnhealthy() const;
  static ChosenUpstream LeastLoaded(const std::vector<LoadedUpstream>& all);

  Options options;
  std::set<std::string> tried;
  std::vector<LoadedUpstream> busier_than_usual;
  std::vector<LoadedUpstream> without_free_slot;
  std::vector<UnhealthyUpstream> unhealthy;
  /// An unhealthy upstream was tried before the queue and refused.
  bool doubtful_step_refused = false;
  int tried_count = 0;
  /// A request for kQueue or kLastResort was refused.
  bool final_step_refused = false;
  bool no_candidates_left = false;
  once::NotRun refusal{.reason = once::RefusalReason::kUpstreamGone};
};

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_SLOT_SEARCH_H_
