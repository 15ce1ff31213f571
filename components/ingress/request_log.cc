#include "components/ingress/request_log.h"

#include "absl/strings/str_cat.h"

namespace kingcupstair::ingress {

Fields CommonFields(const AdmittedRequest& admitted, const std::string& step) {
  const Duration age = MonotonicNow() - admitted.arrived;
  return {{.name = "request_id", .value = admitted.request_id},
          {.name = "organisation", .value = admitted.organisation},
          {.name = "service", .value = admitted.service},
          {.name = "step", .value = step},
          {.name = "age_ms", .value = absl::StrCat(ToMillisRoundedUp(age))}};
}

void AddOutcomeFields(const once::Outcome& outcome, Fields& fields) {
  fields.push_back({.name = "outcome", .value = once::ResultOf(outcome)});
  if (const auto* ran = std::get_if<once::Ran>(&outcome)) {
    fields.push_back(
        {.name = "status", .value = absl::StrCat(ran->response.status)});
  } else if (const auto* refusal = std::get_if<once::NotRun>(&outcome)) {
    fields.push_back(
        {.name = "reason", .value = once::ToText(refusal->reason)});
  } else {
    fields.push_back(
        {.name = "reason", .value = std::get<once::Unknown>(outcome).detail});
  }
}

void LogAttemptStart(const AdmittedRequest& admitted,
                     const std::string& attempt,
                     const ChosenUpstream& choice,
                     const rpc::SlotAnswer& slot,
                     size_t crashes) {
  Fields fields = CommonFields(admitted, "reserve");
  fields.push_back({.name = "attempt", .value = attempt});
  fields.push_back({.name = "peer", .value = choice.host});
  fields.push_back({.name = "upstream", .value = choice.upstream});
  fields.push_back(
      {.name = "in_flight", .value = absl::StrCat(slot.in_flight)});
  fields.push_back({.name = "queued", .value = absl::StrCat(slot.queued)});
  fields.push_back({.name = "limit", .value = absl::StrCat(slot.report.limit)});
  fields.push_back(
      {.name = "fingerprint", .value = absl::StrCat(admitted.fingerprint)});
  fields.push_back({.name = "crashes", .value = absl::StrCat(crashes)});
  fields.push_back({.name = "failure_probability",
                    .value = absl::StrCat(slot.report.failure_probability)});
  fields.push_back({.name = "repeat_probability",
                    .value = absl::StrCat(admitted.repeat_probability)});
  logging::Write(logging::Level::kInfo, "an attempt begins", fields);
}

void LogNoRoom(const AdmittedRequest& admitted,
               const balancing::NoRoom& no_room) {
  Fields fields = CommonFields(admitted, "place");
  fields.push_back({.name = "report_age_ms",
                    .value = absl::StrCat(ToMillisRoundedUp(no_room.age))});
  fields.push_back(
      {.name = "retry_after_ms",
       .value = absl::StrCat(ToMillisRoundedUp(no_room.retry_after))});
  logging::Write(logging::Level::kWarning,
                 "no upstream has a slot in time, as reported", fields);
}

void LogAttemptFailure(const AdmittedRequest& admitted,
                       const char* step,
                       const ChosenUpstream& choice,
                       const once::Outcome& outcome) {
  if (std::holds_alternative<once::Ran>(outcome)) {
    return;
  }
  Fields fields = CommonFields(admitted, step);
  fields.push_back({.name = "peer", .value = choice.host});
  fields.push_back({.name = "upstream", .value = choice.upstream});
  AddOutcomeFields(outcome, fields);
  logging::Write(logging::Level::kWarning, "an attempt brought no answer",
                 fields);
}

}  // namespace kingcupstair::ingress
