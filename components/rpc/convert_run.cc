#include <algorithm>

#include "components/rpc/convert.h"

namespace kingcupstair::rpc {
namespace {

std::string ToString(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

std::string ToString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

capnp::Data::Reader ToData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
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

class OutcomeWriter {
 public:
  explicit OutcomeWriter(wire::Outcome::Builder out) : out(out) {}

  void operator()(const once::Ran& ran) {
    auto response = this->out.initRan();
    response.setStatus(static_cast<uint16_t>(ran.response.status));
    response.setBody(ToData(ran.response.body));
    WriteHeaders(ran.response.headers,
                 response.initHeaders(
                     static_cast<unsigned>(ran.response.headers.size())));
  }

  void operator()(const once::NotRun& not_run) {
    auto refusal = this->out.initNotRun();
    refusal.setReason(static_cast<uint8_t>(not_run.reason));
    refusal.setRetryAfterMicros(
        static_cast<uint64_t>(not_run.retry_after.count()));
  }

  void operator()(const once::Unknown& unknown) {
    auto builder = this->out.initUnknown();
    builder.setDetail(unknown.detail);
    builder.setUpstreamBroke(unknown.upstream_broke);
  }

 private:
  wire::Outcome::Builder out;
};

class ResolveWriter {
 public:
  explicit ResolveWriter(wire::Resolution::Builder out) : out(out) {}

  void operator()(const once::Resolution& resolution) {
    if (const auto* outcome = std::get_if<once::Outcome>(&resolution)) {
      Write(*outcome, this->out.initOutcome());
    } else {
      this->out.setRunning();
    }
  }

  void operator()(const OtherIncarnation&) { this->out.setOtherIncarnation(); }

 private:
  wire::Resolution::Builder out;
};

}  // namespace

void Write(const once::RunRequest& request, wire::Run::Builder out) {
  out.setRequestId(request.request_id);
  out.setIncarnation(request.incarnation);
  out.setOrganisation(request.organisation);
  out.setUpstream(request.upstream);
  out.setFingerprint(request.fingerprint);
  out.setRepeatable(request.idempotent);
  out.setDedupeKey(request.dedupe_key);
  out.setTimeLeftMicros(
      static_cast<uint64_t>(std::max<int64_t>(0, request.time_left.count())));
  out.setMethod(request.request.method);
  out.setTarget(request.request.target);
  out.setBody(ToData(request.request.body));
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
          .time_left = Duration(static_cast<int64_t>(in.getTimeLeftMicros())),
          .request = {.method = ToString(in.getMethod()),
                      .target = ToString(in.getTarget()),
                      .headers = ReadHeaders(in.getHeaders()),
                      .body = ToString(in.getBody())}};
}

void Write(const once::Outcome& outcome, wire::Outcome::Builder out) {
  std::visit(OutcomeWriter(out), outcome);
}

once::Outcome Read(wire::Outcome::Reader in) {
  switch (in.which()) {
    case wire::Outcome::RAN: {
      const auto ran = in.getRan();
      return once::Ran{.response = {.status = ran.getStatus(),
                                    .headers = ReadHeaders(ran.getHeaders()),
                                    .body = ToString(ran.getBody())}};
    }
    case wire::Outcome::NOT_RUN: {
      const auto refusal = in.getNotRun();
      return once::NotRun{
          .reason = static_cast<once::RefusalReason>(refusal.getReason()),
          .retry_after =
              Duration(static_cast<int64_t>(refusal.getRetryAfterMicros()))};
    }
    case wire::Outcome::UNKNOWN: {
      const auto unknown = in.getUnknown();
      return once::Unknown{.detail = ToString(unknown.getDetail()),
                           .upstream_broke = unknown.getUpstreamBroke()};
    }
  }
  return once::Unknown{.detail = "an outcome of a kind not known here"};
}

void Write(const ResolveAnswer& answer, wire::Resolution::Builder out) {
  std::visit(ResolveWriter(out), answer);
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
