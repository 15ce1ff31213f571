#include "components/rpc/convert.h"

#include <CppUTest/TestHarness.h>
#include <capnp/message.h>

#include <string>
#include <variant>

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

TEST_GROUP(OutcomeConversion){};

// Status 0 closed the caller's connection without a response, others reached
// the caller.
TEST(OutcomeConversion, AResponseOfAPeerWithAnInvalidStatusIsUnknown) {
  std::string accepted;
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<wire::Outcome>();
  for (const uint16_t status : {0, 99, 101, 103, 199, 600, 999, 65'535}) {
    out.initRan().setStatus(status);
    if (!std::holds_alternative<once::Unknown>(Read(out.asReader()))) {
      accepted += "[" + std::to_string(status) + "]";
    }
  }
  STRCMP_EQUAL("", accepted.c_str());
  for (const uint16_t status : {200, 404, 599}) {
    out.initRan().setStatus(status);
    CHECK(std::holds_alternative<once::Ran>(Read(out.asReader())));
  }
}

// 65736 is 200 in the 16 bits of the field.
TEST(OutcomeConversion, AnInvalidStatusIsNotSentAsAnother) {
  std::string accepted;
  capnp::MallocMessageBuilder message;
  auto out = message.initRoot<wire::Outcome>();
  for (const int status : {-1, 0, 199, 600, 65'736}) {
    Write(once::Ran{.response = {.status = status}}, out);
    if (!std::holds_alternative<once::Unknown>(Read(out.asReader()))) {
      accepted += "[" + std::to_string(status) + "]";
    }
  }
  STRCMP_EQUAL("", accepted.c_str());
}

}  // namespace
}  // namespace kingcupstair::rpc
