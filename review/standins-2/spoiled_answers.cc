#include "review/standins-2/spoiled_answers.h"

#include <string_view>
#include <utility>

namespace review {
namespace {

constexpr int64_t kBeginsAfterMs = 3000;
constexpr int64_t kFaultTimeMs = 5000;
/// Bytes by which an answer that is cut off is too short.
constexpr size_t kMissingBytes = 4;
constexpr char kCheckPath[] = "/health";

}  // namespace

void SpoiledAnswers::Begin() {
  this->began_at = SinceStart() + kBeginsAfterMs;
  this->target.SetFault(
      [this](const Socket& connection, const Message& request) {
        return this->Handle(connection, request);
      });
}

std::optional<bool> SpoiledAnswers::Handle(const Socket& connection,
                                           const Message& request) {
  const std::string late = this->TakeLateAnswer(connection.serial());
  const int64_t into = SinceStart() - this->began_at;
  const bool spoils = into >= 0 && into < kFaultTimeMs;
  this->answer_count += spoils ? 1 : 0;
  if (request.Target() == kCheckPath) {
    return spoils ? std::optional(this->HandleCheck(connection, request))
                  : std::nullopt;
  }
  if (!late.empty()) {
    this->record.Add(
        "the target sends the answer to a check a second time, then runs " +
        request.Find("X-Attempt-Id"));
    return SendAll(connection, late) ? std::nullopt : std::optional(false);
  }
  if (!spoils || this->answer_count < this->next_cut) {
    return std::nullopt;
  }
  this->next_cut += kAnswersPerCut;
  ++this->spoiled_count;
  const std::string answer = this->target.Answer(request);
  SendAll(connection,
          std::string_view(answer).substr(0, answer.size() - kMissingBytes));
  this->record.Add("the target cuts off the answer to " +
                   request.Find("X-Attempt-Id"));
  return false;
}

bool SpoiledAnswers::HandleCheck(const Socket& connection,
                                 const Message& request) {
  std::string answer = this->target.UsualAnswer(request);
  ++this->spoiled_count;
  const bool sent = SendAll(connection, answer);
  const std::lock_guard lock(this->mutex);
  this->late_answers[connection.serial()] = std::move(answer);
  return sent;
}

std::string SpoiledAnswers::TakeLateAnswer(uint64_t connection) {
  const std::lock_guard lock(this->mutex);
  const auto late = this->late_answers.extract(connection);
  return late.empty() ? "" : late.mapped();
}

}  // namespace review
