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
///   GET  /health     503 if `slow_ms`, `error_share` or `hang` is set and
///                    `lie` is not, else 200
///   GET  /load       requests running, returned `load_lag_ms` after the call
///   GET  /counts     runs of each X-Order, requests that carried a key,
///                    highest number of concurrent requests, requests above
///                    the capacity, successful responses
///   POST /faults     {"slow_ms":N,"error_share":X,"hang":bool,"lie":bool,
///                     "cut":bool,"load_lag_ms":N,"cold":bool,
///                     "reject_share":X,"rate_limit":X,"leaving":bool}
///   anything else    takes the time `work` and returns the request's X-Order
///
/// `hang` delays each request by 30 s, `cut` closes the connection without a
/// response, `cold` makes the upstream cold again, `reject_share` is the share
/// of requests with X-Crash that fail with 500 before they run. `rate_limit`
/// and `leaving` are named in its responses. A request that runs with `X-Crash:
/// exit` ends the process; with `X-Crash: stop`, the process stops and its
/// connections stay open.
class UpstreamService {
 public:
  struct Options {
    std::string id;
    int slots = 4;
    Duration work{std::chrono::milliseconds(5)};
    /// Successful responses after a start until the upstream is warm. Until
    /// then its capacity is one concurrent request, and one more for each tenth
    /// of these responses.
    int cold_requests = 0;
    /// File to which a line is appended for each run: wall-clock milliseconds,
    /// id, X-Order. Not written if empty.
    std::string run_log;
  };

  explicit UpstreamService(Options options);

  http::Response Handle(const http::Request& request);

  /// Returns the number of requests that run now.
  int running() const { return this->in_flight; }

 private:
  struct Faults {
    int slow_ms = 0;
    double error_share = 0;
    double reject_share = 0;
    bool hang = false;
    bool lie = false;
    bool cut = false;
    int load_lag_ms = 0;
    /// Named in responses unless empty.
    std::string rate_limit;
    bool leaving = false;
  };

  http::Response Work(const http::Request& request);
  /// Adds what the upstream says about itself to a response.
  http::Response WithNotice(http::Response response) const;
  /// Returns true for a fraction `share` of the calls, chosen at random.
  bool IsDrawn(double share);
  http::Response SetFaults(const std::string& body);
  http::Response Counts() const;
  http::Response Health() const;
  /// Returns how long a request that starts now takes.
  Duration WorkTime() const;
  /// Returns how many concurrent requests the upstream runs without slowing
  /// down.
  int ConcurrentCapacity() const;

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
