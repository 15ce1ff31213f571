#include <algorithm>

#include "components/rpc/convert.h"

namespace kingcupstair::rpc {
namespace {

/// The outcome of a run whose response has an invalid status.
once::Unknown BrokenResponse() {
  return {.detail = "the response had an invalid status",
          .upstream_broke = true};
}

std::string ToString(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

std::string ToString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

capnp::Data::Reader ToData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

uint64_t ToMicros(Duration duration) {
  return static_cast<uint64_t>(std::max<int64_t>(0, duration.count()));
}

Duration FromMicros(uint64_t micros) {
  return Duration(static_cast<int64_t>(micros));
}

void WriteRefusal(const once::NotRun& not_run, wire::Refusal::Builder out) {
  out.setReason(static_cast<uint8_t>(not_run.reason));
  out.setRetryAfterMicros(ToMicros(not_run.retry_after));
}

once::NotRun ReadRefusal(wire::Refusal::Reader in) {
  return {.reason = static_cast<once::RefusalReason>(in.getReason()),
          .retry_after = FromMicros(in.getRetryAfterMicros())};
}

void WriteHeaders(const http::Headers& headers,
                  capnp::List<wire::Header>::Builder out) {
  for (unsigned i = 0; i < headers.size(); ++i) {
    out[i].setName(headers[i].name);
    out[i].setValue(headers[i].value);
  }
}

http::Headers ReadHeaders(capnp::List<wire::Header>::Reader in) {
  http::Headers headers;
  for (const auto header : in) {
    headers.push_back({.name = ToString(header.getName()),
                       .value = ToString(header.getValue())});
  }
  return headers;
}

/// Visitor that writes each alternative of an outcome.
class OutcomeWriter {
 public:
  OutcomeWriter(wire::Outcome::Builder out, size_t max_body_bytes)
      : out(out), max_body_bytes(max_body_bytes) {}

  // An invalid status might not fit into the field and arrive as a valid one.
  void operator()(const once::Ran& ran) {
    if (!http::IsFinalStatus(ran.response.status)) {
      (*this)(BrokenResponse());
      return;
    }
    auto response = this->out.initRan();
    response.setStatus(static_cast<uint16_t>(ran.response.status));
    const std::string& body = ran.response.body.text();
    if (body.size() > this->max_body_bytes) {
      response.setLeftOutBytes(body.size());
    } else {
      response.setBody(ToData(body));
    }
    WriteHeaders(ran.response.headers,
                 response.initHeaders(
                     static_cast<unsigned>(ran.response.headers.size())));
  }

  void operator()(const once::NotRun& not_run) {
    WriteRefusal(not_run, this->out.initNotRun());
  }

  void operator()(const once::Unknown& unknown) {
    auto builder = this->out.initUnknown();
    builder.setDetail(unknown.detail);
    builder.setUpstreamBroke(unknown.upstream_broke);
    builder.setCancelled(unknown.cancelled);
  }

 private:
  wire::Outcome::Builder out;
  size_t max_body_bytes;
};

/// Visitor that writes each alternative of the reply to `resolve`.
class ResolutionWriter {
 public:
  ResolutionWriter(wire::Resolution::Builder out, size_t max_body_bytes)
      : out(out), max_body_bytes(max_body_bytes) {}

  void operator()(const once::Resolution& resolution) {
    if (const auto* outcome = std::get_if<once::Outcome>(&resolution)) {
      Write(*outcome, this->out.initOutcome(), this->max_body_bytes);
    } else {
      this->out.setRunning();
    }
  }

  void operator()(const OtherIncarnation&) { this->out.setOtherIncarnation(); }

 private:
  wire::Resolution::Builder out;
  size_t max_body_bytes;
};

}  // namespace

void Write(const once::SlotRequest& request, wire::SlotRequest::Builder out) {
  out.setRequestId(request.request_id);
  out.setIncarnation(request.incarnation);
  out.setOrganisation(request.organisation);
  out.setUpstream(request.upstream);
  out.setPriority(static_cast<uint16_t>(request.priority));
  out.setInternal(request.internal);
  out.setCareful(request.non_retryable);
  out.setLastResort(request.accept_unhealthy);
  out.setObjectiveMicros(ToMicros(request.objective));
  out.setMostInFlight(static_cast<uint16_t>(request.max_in_flight));
  out.setNamedRate(request.named_rate);
  out.setWorkClass(request.work_class);
  out.setBodyBytes(request.body_bytes);
  out.setMaxWaitMicros(ToMicros(request.max_wait));
  out.setTimeLeftMicros(ToMicros(request.remaining_time));
}

once::SlotRequest Read(wire::SlotRequest::Reader in) {
  return {.request_id = ToString(in.getRequestId()),
          .incarnation = in.getIncarnation(),
          .organisation = ToString(in.getOrganisation()),
          .upstream = ToString(in.getUpstream()),
          .priority = in.getPriority(),
          .internal = in.getInternal(),
          .non_retryable = in.getCareful(),
          .accept_unhealthy = in.getLastResort(),
          .objective = FromMicros(in.getObjectiveMicros()),
          .max_in_flight = in.getMostInFlight(),
          .named_rate = in.getNamedRate(),
          .work_class = in.getWorkClass(),
          .body_bytes = in.getBodyBytes(),
          .max_wait = FromMicros(in.getMaxWaitMicros()),
          .remaining_time = FromMicros(in.getTimeLeftMicros())};
}

void Write(const SlotAnswer& answer, wire::SlotAnswer::Builder out) {
  out.setGranted(answer.granted);
  WriteRefusal(answer.refusal, out.initRefusal());
  Write(answer.report, out.initReport());
  auto load = out.initLoad();
  load.setInFlight(static_cast<uint32_t>(answer.in_flight));
  load.setQueued(static_cast<uint32_t>(answer.queued));
}

SlotAnswer Read(wire::SlotAnswer::Reader in) {
  return {.granted = in.getGranted(),
          .refusal = ReadRefusal(in.getRefusal()),
          .report = Read(in.getReport()),
          .in_flight = static_cast<int>(in.getLoad().getInFlight()),
          .queued = static_cast<int>(in.getLoad().getQueued())};
}

void Write(const once::RunRequest& request, wire::Run::Builder out) {
  out.setRequestId(request.request_id);
  out.setIncarnation(request.incarnation);
  out.setOrganisation(request.organisation);
  out.setUpstream(request.upstream);
  out.setFingerprint(request.fingerprint);
  out.setRepeatable(request.idempotent);
  out.setDedupeKey(request.dedupe_key);
  out.setObjectiveMicros(ToMicros(request.objective));
  out.setCallerService(request.caller_service);
  out.setRepeatProbability(request.repeat_probability);
  out.setWorkClass(request.work_class);
  out.setTimeLeftMicros(ToMicros(request.remaining_time));
  out.setMethod(request.request.method);
  out.setTarget(request.request.target);
  out.setBody(ToData(request.request.body.text()));
  WriteHeaders(
      request.request.headers,
      out.initHeaders(static_cast<unsigned>(request.request.headers.size())));
}

once::RunRequest Read(wire::Run::Reader in) {
  return {.request_id = ToString(in.getRequestId()),
          .incarnation = in.getIncarnation(),
          .organisation = ToString(in.getOrganisation()),
          .upstream = ToString(in.getUpstream()),
          .fingerprint = in.getFingerprint(),
          .idempotent = in.getRepeatable(),
          .dedupe_key = ToString(in.getDedupeKey()),
          .remaining_time = FromMicros(in.getTimeLeftMicros()),
          .objective = FromMicros(in.getObjectiveMicros()),
          .caller_service = ToString(in.getCallerService()),
          .repeat_probability = in.getRepeatProbability(),
          .work_class = in.getWorkClass(),
          .request = {.method = ToString(in.getMethod()),
                      .target = ToString(in.getTarget()),
                      .headers = ReadHeaders(in.getHeaders()),
                      .body = ToString(in.getBody())}};
}

void Write(const once::Outcome& outcome,
           wire::Outcome::Builder out,
           size_t max_body_bytes) {
  std::visit(OutcomeWriter(out, max_body_bytes), outcome);
}

size_t LeftOutBytes(wire::Outcome::Reader in) {
  return in.isRan() ? in.getRan().getLeftOutBytes() : 0;
}

once::Outcome Read(wire::Outcome::Reader in) {
  switch (in.which()) {
    case wire::Outcome::RAN: {
      const auto ran = in.getRan();
      if (!http::IsFinalStatus(ran.getStatus())) {
        return BrokenResponse();
      }
      return once::Ran{.response = {.status = ran.getStatus(),
                                    .headers = ReadHeaders(ran.getHeaders()),
                                    .body = ToString(ran.getBody())}};
    }
    case wire::Outcome::NOT_RUN:
      return ReadRefusal(in.getNotRun());
    case wire::Outcome::UNKNOWN: {
      const auto unknown = in.getUnknown();
      return once::Unknown{.detail = ToString(unknown.getDetail()),
                           .upstream_broke = unknown.getUpstreamBroke(),
                           .cancelled = unknown.getCancelled()};
    }
  }
  return once::Unknown{.detail = "an outcome of a kind not known here"};
}

void Write(const ResolveAnswer& answer,
           wire::Resolution::Builder out,
           size_t max_body_bytes) {
  std::visit(ResolutionWriter(out, max_body_bytes), answer);
}

ResolveAnswer Read(wire::Resolution::Reader in) {
  switch (in.which()) {
    case wire::Resolution::OUTCOME:
      return once::Resolution{Read(in.getOutcome())};
    case wire::Resolution::RUNNING:
      return once::Resolution{once::StillRunning{}};
    case wire::Resolution::OTHER_INCARNATION:
      return OtherIncarnation{};
  }
  return OtherIncarnation{};
}

}  // namespace kingcupstair::rpc
