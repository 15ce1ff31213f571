#include "components/base/error.h"

#include "absl/strings/cord.h"
#include "absl/strings/str_cat.h"

namespace kingcupstair {
namespace {

constexpr char kStepUrl[] = "kingcupstair/step";
constexpr char kPeerUrl[] = "kingcupstair/peer";

std::string PayloadOf(const absl::Status& status, const char* url) {
  const auto payload = status.GetPayload(url);
  if (!payload.has_value()) {
    return "";
  }
  return std::string(*payload);
}

}  // namespace

absl::Status ErrorAt(absl::StatusCode code,
                     const ErrorOrigin& origin,
                     std::string_view message) {
  absl::Status status(
      code, absl::StrCat(origin.step, " at ", origin.peer, ": ",
                         absl::string_view(message.data(), message.size())));
  status.SetPayload(kStepUrl, absl::Cord(origin.step));
  status.SetPayload(kPeerUrl, absl::Cord(origin.peer));
  return status;
}

ErrorOrigin OriginOf(const absl::Status& status) {
  return {.step = PayloadOf(status, kStepUrl),
          .peer = PayloadOf(status, kPeerUrl)};
}

std::string MessageOf(const absl::Status& status) {
  return {status.message().data(), status.message().size()};
}

}  // namespace kingcupstair
