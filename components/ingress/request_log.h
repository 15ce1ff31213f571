#ifndef COMPONENTS_INGRESS_REQUEST_LOG_H_
#define COMPONENTS_INGRESS_REQUEST_LOG_H_

#include <string>
#include <vector>

#include "components/balancing/placement.h"
#include "components/ingress/admitted_request.h"
#include "components/ingress/chosen_upstream.h"
#include "components/logging/log.h"
#include "components/once/outcome.h"
#include "components/rpc/messages.h"

namespace kingcupstair::ingress {

using Fields = std::vector<logging::Field>;

/// Returns the fields common to all log lines about a request. They contain
/// names and ids only, no keys.
Fields CommonFields(const AdmittedRequest& admitted, const std::string& step);

/// Adds the outcome to `fields`, with its HTTP status or its reason.
void AddOutcomeFields(const once::Outcome& outcome, Fields& fields);

/// Logs the start of an attempt at `choice`, with the load and the concurrency
/// limit that the upstream's guard reported, and the number of `crashes` known
/// here under which the request was running.
void LogAttemptStart(const AdmittedRequest& admitted,
                     const std::string& attempt,
                     const ChosenUpstream& choice,
                     const rpc::SlotAnswer& slot,
                     size_t crashes);

/// Logs that reports show that no upstream has a slot in time, so that the
/// request is refused without a question to any.
void LogNoRoom(const AdmittedRequest& admitted,
               const balancing::NoRoom& no_room);

/// Logs an attempt at `choice` that ended without a response of the upstream,
/// and the step at which it ended. Logs nothing if the upstream responded.
void LogAttemptFailure(const AdmittedRequest& admitted,
                       const char* step,
                       const ChosenUpstream& choice,
                       const once::Outcome& outcome);

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_REQUEST_LOG_H_
