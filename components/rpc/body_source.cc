#include "components/rpc/body_source.h"

#include <kj/debug.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace kingcupstair::rpc {
namespace {

/// Size of one part. A part is in memory twice for a moment.
constexpr size_t kPartBytes = size_t{256} * 1024;

/// A body of which parts are still to come.
struct Reading {
  wire::BodySource::Client source;
  size_t bytes;
  std::shared_ptr<HostTraffic> traffic;
  std::string text;
};

kj::Promise<void> ReadParts(const std::shared_ptr<Reading>& reading) {
  if (reading->text.size() == reading->bytes) {
    return kj::READY_NOW;
  }
  const size_t size =
      std::min(kPartBytes, reading->bytes - reading->text.size());
  auto request = reading->source.partRequest();
  request.setOffset(reading->text.size());
  request.setSize(static_cast<uint32_t>(size));
  reading->traffic->AddMessage(TrafficPurpose::kRun, request);
  return request.send().then(
      [reading, size](auto response) -> kj::Promise<void> {
        const auto part = response.getBytes();
        if (part.size() != size) {
          return KJ_EXCEPTION(FAILED, "a part of a body has another size");
        }
        reading->text.append(reinterpret_cast<const char*>(part.begin()),
                             part.size());
        return ReadParts(reading);
      });
}

}  // namespace

BodySource::BodySource(http::Body body, std::shared_ptr<HostTraffic> traffic)
    : body(std::move(body)), traffic(std::move(traffic)) {}

kj::Promise<void> BodySource::part(PartContext context) {
  const uint64_t offset = context.getParams().getOffset();
  const uint32_t size = context.getParams().getSize();
  const std::string_view text = this->body;
  const std::string_view part =
      offset < text.size() ? text.substr(offset, size) : std::string_view();
  auto results = context.getResults();
  results.setBytes(capnp::Data::Reader(
      reinterpret_cast<const kj::byte*>(part.data()), part.size()));
  this->traffic->AddMessage(TrafficPurpose::kRun, results);
  return kj::READY_NOW;
}

kj::Promise<std::string> ReadBody(wire::BodySource::Client source,
                                  size_t bytes,
                                  std::shared_ptr<HostTraffic> traffic) {
  auto reading = std::make_shared<Reading>(Reading{
      .source = kj::mv(source), .bytes = bytes, .traffic = std::move(traffic)});
  reading->text.reserve(bytes);
  return ReadParts(reading).then(
      [reading] { return std::move(reading->text); });
}

}  // namespace kingcupstair::rpc
