#ifndef APPS_UPSTREAM_STANDIN_UPSTREAM_SERVICE_H_
#define APPS_UPSTREAM_STANDIN_UPSTREAM_SERVICE_H_

#include <fstream>
#include <map>
#include <random>
#include <string>

#include "components/base/time.h"
#include "components/http/message.h"

namespace kingcupstair {

/// A stand-in for an upstream. All requests run on one thread.
///
///   GET  /health     what it says of itself, true or not
///   GET  /load       requests running, delayed by `load_lag_ms`
///   GET  /counts     how often each X-Order was run, keys seen, most at once
///   POST /faults     {"slow_ms":N,"error_share":X,"hang":bool,"lie":bool,
///                     "cut":bool,"load_lag_ms":N,"cold":bool}
///   anything else    works for `work` and answers with its X-Order
///
/// A request with the header X-Crash ends the process.
class UpstreamService {
 public:
  struct Options {
    std::string id;
    int slots = 4;
    Duration work{std::chrono::milliseconds(5)};
    /// Answers after a start until it is warm; until then it bears only one
    /// more request at once for each tenth of them.
    int cold_requests = 0;
    /// A line is added for each run: wall-clock milliseconds, id, X-Order.
    std::string run_log;
  };

  explicit UpstreamService(Options options);

  http::Response Handle(const http::Request& request);

  int running() const { return this->in_flight; }

 private:
  struct Faults {
    int slow_ms = 0;
    double error_share = 0;
    bool hang = false;
    bool lie = false;
    bool cut = false;
    int load_lag_ms = 0;
  };

  http::Response Work(const http::Request& request);
  http::Response SetFaults(const std::string& body);
  http::Response Counts() const;
  http::Response Health() const;
  Duration TimeToWork() const;
  int BearsAtOnce() const;

  void LogRun(const std::string& order);

  Options options;
  std::ofstream run_log;
  Faults faults;
  int in_flight = 0;
  int most_at_once = 0;
  int answered = 0;
  int overloaded = 0;
  int keys_seen = 0;
  std::map<std::string, int> runs;
  std::mt19937_64 random{1};
};

}  // namespace kingcupstair

#endif  // APPS_UPSTREAM_STANDIN_UPSTREAM_SERVICE_H_
