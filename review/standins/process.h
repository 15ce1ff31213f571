#ifndef REVIEW_STANDINS_PROCESS_H_
#define REVIEW_STANDINS_PROCESS_H_

#include <sys/types.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace kingcupstair::review {

/// What the deploy file says of the role `host`: the words of its command and
/// its environment.
struct DeployedRole {
  std::vector<std::string> words;
  std::map<std::string, std::string> environment;
};

DeployedRole ReadDeployFile(const std::string& path);

/// Replaces the placeholders of the words by their values.
std::vector<std::string> FillIn(
    const std::vector<std::string>& words,
    const std::map<std::string, std::string>& values);

/// A child process. It is killed when this object or the parent ends.
class Process {
 public:
  Process(const std::vector<std::string>& words,
          const std::map<std::string, std::string>& environment,
          const std::string& output);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();

  /// Sends a signal.
  void Signal(int signal) const;
  /// Returns the resident memory of the process, 0 if it has ended.
  size_t MemoryMegabytes() const;
  /// Waits until the process has ended.
  void Wait();

 private:
  pid_t id = 0;
};

}  // namespace kingcupstair::review

#endif  // REVIEW_STANDINS_PROCESS_H_
