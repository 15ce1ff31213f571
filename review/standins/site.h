#ifndef REVIEW_STANDINS_SITE_H_
#define REVIEW_STANDINS_SITE_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "review/standins/case.h"
#include "review/standins/http.h"
#include "review/standins/process.h"
#include "review/standins/record.h"
#include "review/standins/store.h"
#include "review/standins/target.h"

namespace kingcupstair::review {

/// One request of a requester and its end, by the clock of the record.
struct Sent {
  double at = 0;
  double ended_at = 0;
  std::string attempt;
  std::string method;
  std::string key;
  size_t host = 0;
  /// 0 without an answer.
  int status = 0;
};

/// One machine: the process of the system, its target, and its way to the
/// store.
struct Machine {
  std::string zone;
  std::string ip;
  Address outbound;
  Address peer;
  Address control;
  Address ready;
  std::unique_ptr<HttpServer> store_port;
  std::unique_ptr<Target> target;
  std::unique_ptr<Process> process;
  /// Whether this machine has watched the operator's records.
  std::atomic<bool> watches_operator{false};
};

/// A small deployment on loopback addresses, with the store, the targets, the
/// operator and the requesters of this repository.
class Site {
 public:
  struct Options {
    std::vector<std::string> zones{"arequipa-a", "arequipa-b", "arequipa-c"};
    size_t machines_per_zone = 2;
    Millis work{200};
    /// File for the record.
    std::string record;
    /// Folder for the logs of the processes.
    std::string logs;
  };

  explicit Site(Options options);
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;
  ~Site();

  /// Starts all processes and targets and returns true once every machine is
  /// ready and serves requests.
  bool Start();
  void StartProcess(size_t machine);

  /// Writes the configuration as its next version.
  void Configure(const nlohmann::json& resources);
  /// Returns the resources of the first configuration.
  nlohmann::json Resources() const;

  /// Sends requests to all machines in turn until `StopLoad`.
  void StartLoad(double per_second, const std::vector<std::string>& keys);
  void StopLoad();
  /// Sends one request and waits for its end.
  Sent Request(size_t machine,
               const std::string& method,
               const std::string& key,
               Millis deadline = Millis(4000));

  std::vector<std::unique_ptr<Machine>>& machines() { return this->all; }
  Record& record() { return this->own_record; }
  RunLog& runs() { return this->own_runs; }
  Store& store() { return this->own_store; }
  std::vector<Sent> AllSent() const;
  /// Waits until the time of the record.
  void SleepUntil(double at) const;

 private:
  bool IsReady(const Machine& machine) const;
  bool WaitFor(const std::function<bool()>& holds, Millis timeout) const;
  void RunLoad(double per_second, const std::vector<std::string>& keys);

  Options options;
  DeployedRole role;
  Record own_record;
  RunLog own_runs;
  Store own_store;
  std::vector<std::unique_ptr<Machine>> all;
  uint64_t version = 6;
  std::atomic<uint64_t> last_attempt{0};
  std::atomic<bool> loads{false};
  std::thread load;
  mutable std::mutex mutex;
  std::vector<Sent> sent;
};

/// Keys and names of the configuration.
inline constexpr char kFirstKey[] = "2b9wu3fexd9dnn2ctnfz";
inline constexpr char kSecondKey[] = "s989anu6wsjnbanfqasn";
inline constexpr char kService[] = "lote";

/// Writes the reason why a case could not run.
Verdict ReportUnusable(Record& record, const std::string& reason);

}  // namespace kingcupstair::review

#endif  // REVIEW_STANDINS_SITE_H_
