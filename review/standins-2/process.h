#ifndef REVIEW_STANDINS_2_PROCESS_H_
#define REVIEW_STANDINS_2_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "review/standins-2/net.h"

namespace review {

/// A process of the product. It is killed with its owner.
class Process {
 public:
  struct Options {
    std::vector<std::string> command;
    std::vector<std::string> environment;
    /// File to which the output is appended.
    std::string log;
  };

  explicit Process(Options options) : options(std::move(options)) {}
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() { this->Kill(); }

  void Start();
  void Signal(int number) const;
  /// Kills the process and waits for its end.
  void Kill();
  /// Returns the wait status if the process has ended by itself since Start.
  std::optional<int> TakeEnd();
  /// Waits until the process has ended by itself.
  std::optional<int> WaitForEnd(Millis time);
  bool IsRunning() const { return this->pid > 0; }
  /// Resident memory in bytes; 0 if the process has ended.
  size_t ResidentBytes() const;

 private:
  Options options;
  pid_t pid = 0;
};

/// Returns a wait status as text.
std::string EndText(int wait_status);

}  // namespace review

#endif  // REVIEW_STANDINS_2_PROCESS_H_
