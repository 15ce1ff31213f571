#include "components/rpc/convert.h"

#include <CppUTest/TestHarness.h>
#include <capnp/message.h>

namespace kingcupstair::rpc {
namespace {

constexpr uint64_t kClass = 0xfedc'ba98'7654'3210;

template <typename Wire, typename Value>
Value RoundTrip(const Value& value) {
  capnp::MallocMessageBuilder message;
  auto builder = message.initRoot<Wire>();
  Write(value, builder);
  return Read(builder.asReader());
}

TEST_GROUP(Convert){};

// A field that is left out of one direction reads as unknown at the receiver.
// A version that is lost on the way gets its full share of requests.
TEST(Convert, RecordsKeepVersionsAndRollbacks) {
  capnp::MallocMessageBuilder message;
  const std::vector<membership::HostUpdate> updates{
      {.record = {.host = "a:1",
                  .upstreams = {{.id = "u", .service = "s", .version = "v2"},
                                {.id = "w", .service = "s"}},
                  .rollbacks = {{.service = "s", .version = "v2"}}}}};
  const auto builder = message.initRoot<wire::Gossip>().initUpdates(
      static_cast<unsigned>(updates.size()));
  Write(updates, builder);
  CHECK(Read(builder.asReader()) == updates);
}

TEST(Convert, MessagesKeepWorkClassBodySizeAndRemainingWork) {
  const once::SlotRequest slot{.request_id = "r",
                               .named_rate = 2,
                               .work_class = kClass,
                               .body_bytes = uint64_t{5} << 32U};
  CHECK(RoundTrip<wire::SlotRequest>(slot) == slot);
  const once::RunRequest run{
      .request_id = "r", .repeat_probability = 0.5, .work_class = kClass};
  CHECK(RoundTrip<wire::Run>(run) == run);
  const membership::UpstreamRecord record{
      .id = "u",
      .service = "s",
      .latency = Duration(4),
      .finished = 5,
      .named_rate = 2,
      .remaining_work = Duration(3'000'000'000)};
  CHECK(RoundTrip<wire::Upstream>(record) == record);
}

}  // namespace
}  // namespace kingcupstair::rpc
