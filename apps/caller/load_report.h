#ifndef APPS_CALLER_LOAD_REPORT_H_
#define APPS_CALLER_LOAD_REPORT_H_

#include <map>
#include <string>
#include <vector>

#include "components/base/time.h"
#include "components/http/client.h"

namespace kingcupstair {

/// Results of a load run: counts by status and outcome, and latencies.
class LoadReport {
 public:
  /// Adds the result of the request whose X-Order is `order`.
  void Add(const std::string& order,
           const http::Result& result,
           Duration latency);

  /// Returns the report as one line of JSON.
  std::string Text() const;

 private:
  double PercentileMillis(double fraction) const;

  std::map<std::string, int> by_status;
  std::map<std::string, int> by_outcome;
  int sent = 0;
  int answered_wrongly = 0;
  int refused_without_retry_after = 0;
  std::vector<Duration> latencies;
};

}  // namespace kingcupstair

#endif  // APPS_CALLER_LOAD_REPORT_H_
