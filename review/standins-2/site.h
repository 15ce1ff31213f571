#ifndef REVIEW_STANDINS_2_SITE_H_
#define REVIEW_STANDINS_2_SITE_H_

#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "review/standins-2/process.h"
#include "review/standins-2/store.h"

namespace review {

/// Exit codes of a case.
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Returns whether the case is to be played with its disruption.
bool HasTrouble();

/// The record of a case: lines with the time since the start in ms.
class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}
  void Add(const std::string& line);

 private:
  std::mutex mutex;
  std::ofstream file;
};

struct HostOptions {
  std::string zone = "a";
  std::string service;
  int memory_mb = 260;
};

/// A host: the product's daemon, started with the command of the deploy file.
struct Host {
  HostOptions options;
  uint16_t callers = 0;
  uint16_t peers = 0;
  uint16_t control = 0;
  uint16_t ready = 0;
  std::unique_ptr<Process> process;
};

/// A small deployment: a store and some hosts.
class Site {
 public:
  /// `logs` is a folder for the output of the daemons.
  Site(const std::vector<HostOptions>& hosts, const std::string& logs);

  Store& store() { return this->own_store; }
  Host& host(size_t number) { return this->hosts.at(number); }
  size_t size() const { return this->hosts.size(); }

  /// Starts all hosts and waits until they say that they are ready.
  bool Start(const std::string& configuration);
  /// Waits until `target` is answered with 200 by all hosts, several times.
  bool WaitUntilServing(const std::string& host_header,
                        const std::string& target,
                        const std::string& key);
  /// Kills all hosts and ends this process, without destructors: threads of the
  /// stand-ins still run.
  [[noreturn]] void Finish(int code);

 private:
  Store own_store;
  std::vector<Host> hosts;
};

/// Waits until a readiness check of the host at `port` is answered with 200.
bool WaitUntilReady(uint16_t port, Millis time);

/// Returns a new attempt id.
std::string NewAttemptId();

/// Headers of a request of a caller.
Headers CallerHeaders(const std::string& host_header,
                      const std::string& attempt_id,
                      const std::string& key,
                      int deadline_ms);

}  // namespace review

#endif  // REVIEW_STANDINS_2_SITE_H_
