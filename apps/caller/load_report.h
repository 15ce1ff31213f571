#ifndef APPS_CALLER_LOAD_REPORT_H_
#define APPS_CALLER_LOAD_REPORT_H_

#include <map>
#include <string>
#include <vector>

#include "components/base/time.h"
#include "components/http/client.h"

namespace kingcupstair {

/// What came of a load run.
class LoadReport {
 public:
  /// Adds the answer to the request named `order`.
  void Add(const std::string& order,
           const http::Result& result,
           Duration latency);

  /// The whole report as one line of JSON.
  std::string Text() const;

 private:
  double PercentileMillis(double share) const;

  std::map<std::string, int> by_status;
  std::map<std::string, int> by_outcome;
  int sent = 0;
  int answered_wrongly = 0;
  int refused_without_retry_after = 0;
  std::vector<Duration> latencies;
};

}  // namespace kingcupstair

#endif  // APPS_CALLER_LOAD_REPORT_H_
