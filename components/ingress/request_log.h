#ifndef COMPONENTS_INGRESS_REQUEST_LOG_H_
#define COMPONENTS_INGRESS_REQUEST_LOG_H_

#include <string>
#include <vector>

#include "components/ingress/admitted_request.h"
#include "components/ingress/choice.h"
#include "components/logging/log.h"
#include "components/once/outcome.h"
#include "components/rpc/messages.h"

namespace kingcupstair::ingress {

using Fields = std::vector<logging::Field>;

/// What every log line on a request says; names and ids only, no key.
Fields FieldsOf(const AdmittedRequest& admitted, const std::string& step);

/// Adds the outcome with its status or reason.
void AddOutcome(const once::Outcome& outcome, Fields& fields);

/// Logs that an attempt begins at `choice`, and how that upstream stood.
void LogStart(const AdmittedRequest& admitted,
              const std::string& attempt,
              const Choice& choice,
              const rpc::SlotAnswer& slot);

/// Logs that an attempt at `choice` brought no answer, and at which step.
void LogEnd(const AdmittedRequest& admitted,
            const char* step,
            const Choice& choice,
            const once::Outcome& outcome);

}  // namespace kingcupstair::ingress

#endif  // COMPONENTS_INGRESS_REQUEST_LOG_H_
