#ifndef REVIEW_STANDINS_2_TARGET_H_
#define REVIEW_STANDINS_2_TARGET_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "review/standins-2/net.h"

namespace review {

/// A run of a request at a target.
struct Run {
  std::string attempt_id;
  std::string target_id;
  /// Body as the target received it.
  std::string body;
  int64_t at = 0;
};

/// All runs at all targets of a case.
class Runs {
 public:
  void Add(Run run);
  std::vector<Run> All() const;
  std::vector<Run> Of(const std::string& attempt_id) const;

 private:
  mutable std::mutex mutex;
  std::vector<Run> list;
};

/// Stand-in of an application target beside a host.
class Target {
 public:
  /// What a faulty target does with a connection on which it has read a
  /// request, in place of its usual answer. Returns nothing for the usual
  /// answer, true to read on, and false to close the connection.
  using Fault = std::function<std::optional<bool>(const Socket& connection,
                                                  const Message& request)>;

  struct Options {
    std::string id;
    std::string service;
    std::string zone = "a";
    std::string health_path = "/health";
    int slots = 7;
    Millis work{20};
    Millis heartbeat{1500};
    /// Port to which heartbeats go.
    uint16_t control_port = 0;
    /// Port on which it listens; 0 for a free one.
    uint16_t port = 0;
    /// Keeps the bodies that are received.
    bool keeps_bodies = true;
  };

  Target(Options options, Runs& runs);
  Target(const Target&) = delete;
  Target& operator=(const Target&) = delete;
  ~Target();

  uint16_t port() const { return this->own_port; }
  const std::string& id() const { return this->options.id; }
  int64_t born() const { return this->born_at; }

  /// Sends heartbeats from now on.
  void BeginHeartbeats();
  void StopHeartbeats() { this->beats = false; }
  /// Body of the next heartbeat.
  std::string NextHeartbeat(const std::string& state);
  /// Sends one heartbeat and returns the status of the answer.
  int SendHeartbeat(const std::string& body) const;
  /// Reports that the target leaves and returns the status of the answer.
  int SendDelete() const;
  /// Closes the port and all connections, as a crash does.
  void Stop();
  void SetFault(Fault fault);
  /// Requests that it may run and that it has not answered.
  int in_progress() const { return this->running; }

  /// The usual answer to a request, after the work.
  std::string Answer(const Message& request);
  /// The usual answer to a request or a health check.
  std::string UsualAnswer(const Message& request);

 private:
  void Accept();
  void Serve(const std::shared_ptr<Socket>& connection);
  std::string HealthAnswer() const;
  void RecordRun(const Message& request);

  Options options;
  Runs& runs;
  Socket listener;
  uint16_t own_port = 0;
  int64_t born_at = 0;
  std::atomic<uint64_t> sequence{0};
  std::atomic<bool> beats{false};
  std::atomic<bool> stopped{false};
  std::atomic<int> threads{0};
  std::atomic<int> running{0};
  std::mutex mutex;
  Fault fault;
  std::vector<std::weak_ptr<Socket>> connections;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_TARGET_H_
