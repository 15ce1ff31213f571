#include "review/standins-2/process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>

namespace review {
namespace {

constexpr Millis kPollInterval{10};
constexpr int kCouldNotStart = 127;

}  // namespace

void Process::Start() {
  std::vector<char*> arguments;
  for (std::string& word : this->options.command) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  std::vector<char*> environment;
  for (std::string& entry : this->options.environment) {
    environment.push_back(entry.data());
  }
  environment.push_back(nullptr);
  const pid_t parent = getpid();
  this->pid = fork();
  if (this->pid != 0) {
    return;
  }
  // The child must not outlive a case that is ended.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(kCouldNotStart);
  }
  const int output =
      open(this->options.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  execve(arguments[0], arguments.data(), environment.data());
  _exit(kCouldNotStart);
}

void Process::Signal(int number) const {
  if (this->pid > 0) {
    kill(this->pid, number);
  }
}

void Process::Kill() {
  if (this->pid > 0) {
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
    this->pid = 0;
  }
}

std::optional<int> Process::TakeEnd() {
  int status = 0;
  if (this->pid > 0 && waitpid(this->pid, &status, WNOHANG) == this->pid) {
    this->pid = 0;
    return status;
  }
  return std::nullopt;
}

std::optional<int> Process::WaitForEnd(Millis time) {
  const auto until = Clock::now() + time;
  while (Clock::now() < until) {
    if (const auto status = this->TakeEnd()) {
      return status;
    }
    Pause(kPollInterval);
  }
  return std::nullopt;
}

size_t Process::ResidentBytes() const {
  if (this->pid <= 0) {
    return 0;
  }
  std::ifstream file("/proc/" + std::to_string(this->pid) + "/statm");
  size_t total = 0;
  size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

std::string EndText(int wait_status) {
  if (WIFSIGNALED(wait_status)) {
    return "ended by signal " + std::to_string(WTERMSIG(wait_status));
  }
  return "exited with " + std::to_string(WEXITSTATUS(wait_status));
}

}  // namespace review
