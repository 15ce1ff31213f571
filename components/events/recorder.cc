#include "components/events/recorder.h"

#include "absl/strings/str_cat.h"
#include "components/base/time.h"
#include "components/config/revision.h"
#include "components/logging/log.h"

namespace kingcupstair::events {
namespace {

// Events about a single request are not logged here, because the request has
// log lines of its own.
bool IsAboutOneRequest(const Event& event) {
  return event.kind == "refused" || event.kind == "not_run" ||
         event.kind == "outcome_unknown";
}

void LogEvent(const Event& event) {
  if (IsAboutOneRequest(event)) {
    return;
  }
  logging::Write(
      logging::Level::kInfo, event.kind,
      {{.name = "upstream", .value = event.upstream},
       {.name = "zone", .value = event.zone},
       {.name = "revision", .value = config::RevisionText(event.revision)},
       {.name = "detail", .value = event.detail}});
}

}  // namespace

Recorder::Recorder(Options options)
    : options(std::move(options)), events({.host = this->options.host}) {}

void Recorder::Record(Event event) {
  event.at_ms = WallClockMillis();
  event.revision = this->options.revision();
  this->counts.Add("kingcupstair_events_total",
                   {{.name = "kind", .value = event.kind}});
  LogEvent(event);
  this->events.Add(std::move(event));
}

}  // namespace kingcupstair::events
