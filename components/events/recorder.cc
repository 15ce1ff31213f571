#include "components/events/recorder.h"

#include "components/base/time.h"

namespace kingcupstair::events {

Recorder::Recorder(Options options)
    : options(std::move(options)), events({.host = this->options.host}) {}

void Recorder::Record(Event event) {
  event.at_ms = WallClockMillis();
  event.revision = this->options.revision();
  this->counts.Add("kingcupstair_events_total",
                   {{.name = "kind", .value = event.kind}});
  this->events.Add(std::move(event));
}

}  // namespace kingcupstair::events
