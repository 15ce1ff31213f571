#include "components/rpc/ticket.h"

#include <string_view>
#include <utility>
#include <variant>

#include "components/rpc/call_timeout.h"
#include "components/rpc/convert.h"

namespace kingcupstair::rpc {

Ticket::Ticket(EventLoop& loop, kj::Promise<RunResult> result, Options options)
    : options(std::move(options)),
      result(result.fork()),
      expiry(loop.io()
                 .provider->getTimer()
                 .afterDelay(ToKj(this->options.lifetime))
                 .then([this] { this->result = nullptr; })
                 .eagerlyEvaluate(nullptr)) {}

kj::Promise<RunResult> Ticket::Result() {
  KJ_IF_MAYBE (result, this->result) {
    return result->addBranch();
  }
  return KJ_EXCEPTION(FAILED, "the result was given up after its lifetime");
}

kj::Promise<void> Ticket::outcome(OutcomeContext context) {
  return this->Result().then(
      [context, traffic = this->options.traffic,
       max_inline_bytes =
           this->options.max_inline_bytes](RunResult run) mutable {
        auto out = context.getResults();
        Write(run.outcome, out.initOutcome(), max_inline_bytes);
        Write(run.report, out.initReport());
        auto load = out.initLoad();
        load.setInFlight(static_cast<uint32_t>(run.in_flight));
        load.setQueued(static_cast<uint32_t>(run.queued));
        traffic->AddMessage(TrafficPurpose::kRun, out);
      });
}

kj::Promise<void> Ticket::bodyPart(BodyPartContext context) {
  const uint64_t offset = context.getParams().getOffset();
  const uint32_t size = context.getParams().getSize();
  return this->Result().then([context, traffic = this->options.traffic, offset,
                              size](RunResult run) mutable {
    const auto* ran = std::get_if<once::Ran>(&run.outcome);
    const std::string_view body =
        ran == nullptr ? std::string_view() : ran->response.body;
    const std::string_view part =
        offset < body.size() ? body.substr(offset, size) : std::string_view();
    auto out = context.getResults();
    out.setBytes(capnp::Data::Reader(
        reinterpret_cast<const kj::byte*>(part.data()), part.size()));
    traffic->AddMessage(TrafficPurpose::kRun, out);
  });
}

}  // namespace kingcupstair::rpc
