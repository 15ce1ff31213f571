#ifndef REVIEW_STANDINS_2_SPOILED_ANSWERS_H_
#define REVIEW_STANDINS_2_SPOILED_ANSWERS_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "review/standins-2/site.h"
#include "review/standins-2/target.h"

namespace review {

/// Makes a target hand out wrong bytes for a while: it cuts off some of its
/// answers. Answers to GET /health it sends a second time, late: on the same
/// connection, where the next answer is expected.
class SpoiledAnswers {
 public:
  SpoiledAnswers(Target& target, Record& record)
      : target(target), record(record) {}

  /// The fault begins some seconds from now and lasts for 5 s.
  void Begin();

  /// Answers of the target in the time of the fault.
  int answers() const { return this->answer_count; }
  /// Those of them that were cut off or sent twice.
  int spoiled() const { return this->spoiled_count; }

 private:
  std::optional<bool> Handle(const Socket& connection, const Message& request);
  bool HandleCheck(const Socket& connection, const Message& request);
  std::string TakeLateAnswer(uint64_t connection);

  /// One answer in this many is cut off. With the two checks that each such
  /// answer brings about, three answers in a hundred are spoiled at most.
  static constexpr int kAnswersPerCut = 100;

  Target& target;
  Record& record;
  int64_t began_at = 0;
  std::mutex mutex;
  std::map<uint64_t, std::string> late_answers;
  std::atomic<int> answer_count{0};
  std::atomic<int> next_cut{kAnswersPerCut};
  std::atomic<int> spoiled_count{0};
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_SPOILED_ANSWERS_H_
