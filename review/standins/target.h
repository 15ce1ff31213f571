#ifndef REVIEW_STANDINS_TARGET_H_
#define REVIEW_STANDINS_TARGET_H_

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/standins/http.h"
#include "review/standins/record.h"

namespace kingcupstair::review {

/// One run of a request at a target, by the clock of the record.
struct Run {
  double at = 0;
  std::string target;
  std::string attempt;
  std::string method;
  std::string path;
  std::string tenant;
};

/// The runs of all targets.
class RunLog {
 public:
  void Add(const Run& run);
  std::vector<Run> All() const;

 private:
  mutable std::mutex mutex;
  std::vector<Run> runs;
};

/// An application target: runs requests, and tells the control address of its
/// machine of itself.
class Target {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone;
    Address address;
    /// Control address of the machine.
    Address control;
    int slots = 7;
    Millis work{200};
    Millis heartbeat{1500};
  };

  Target(Options options, RunLog& runs, Record& record);
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;
  ~Target();

  /// Serves requests and sends heartbeats.
  void Start();
  /// Sends no further heartbeats; requests are still served.
  void StopHeartbeats();
  /// Ends: connections are reset, new ones refused.
  void End();

  /// Returns the body of the next heartbeat. Whoever holds it back delivers it
  /// later.
  std::string MakeHeartbeat(const std::string& state);
  /// Delivers a heartbeat and returns the status of the answer, 0 without one.
  int Deliver(const std::string& heartbeat);
  /// Says that this target leaves and returns the status of the answer, 0
  /// without one.
  int Leave();

  const Options& options() const { return this->own_options; }

 private:
  std::optional<HttpMessage> Serve(const HttpMessage& request);
  void SendHeartbeats();

  Options own_options;
  RunLog& runs;
  Record& record;
  HttpServer server;
  std::thread heartbeats;
  std::atomic<bool> sends_heartbeats{false};
  std::atomic<uint64_t> sequence{0};
  std::atomic<int> running{0};
  int64_t born = 0;
};

}  // namespace kingcupstair::review

#endif  // REVIEW_STANDINS_TARGET_H_
