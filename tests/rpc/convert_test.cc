#include "components/rpc/convert.h"

#include <CppUTest/TestHarness.h>
#include <capnp/message.h>

#include <string>
#include <variant>

namespace kingcupstair::rpc {
namespace {

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
