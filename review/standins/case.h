#ifndef REVIEW_STANDINS_CASE_H_
#define REVIEW_STANDINS_CASE_H_

#include <string>

namespace kingcupstair::review {

/// Exit status of a case.
enum class Verdict { kHeld = 0, kBroken = 1, kUnusable = 2 };

struct CaseOptions {
  /// File for the record.
  std::string record;
  /// Folder for the logs of the processes.
  std::string logs;
  /// False if the case is played without its disruption.
  bool trouble = true;
};

/// Plays a case with the record and the logs that the arguments name and
/// returns its exit status. The environment variable TROUBLE=0 leaves the
/// disruption out.
int PlayCase(int argc, char** argv, Verdict (*play)(const CaseOptions&));

}  // namespace kingcupstair::review

#endif  // REVIEW_STANDINS_CASE_H_
