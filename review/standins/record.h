#ifndef REVIEW_STANDINS_RECORD_H_
#define REVIEW_STANDINS_RECORD_H_

#include <fstream>
#include <mutex>
#include <string>

#include "review/standins/http.h"

namespace kingcupstair::review {

/// What was sent, answered and run, line by line with the time in seconds since
/// the start of the record.
class Record {
 public:
  explicit Record(const std::string& path);

  void Write(const std::string& line);
  /// Returns the time in seconds since the start of the record.
  double Now() const;

 private:
  std::mutex mutex;
  std::ofstream file;
  Clock::time_point start = Clock::now();
};

}  // namespace kingcupstair::review

#endif  // REVIEW_STANDINS_RECORD_H_
