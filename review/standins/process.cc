#include "review/standins/process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace kingcupstair::review {
namespace {

constexpr int kExecFailed = 127;
constexpr int kOutputMode = 0644;
constexpr size_t kBytesPerMegabyte = size_t{1024} * 1024;

/// Returns the text between the first quotation marks after `from`.
std::string QuotedAfter(const std::string& line, size_t from) {
  const size_t start = line.find('"', from);
  const size_t end = line.find('"', start + 1);
  return line.substr(start + 1, end - start - 1);
}

std::vector<std::string> SplitAtSpaces(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> words;
  std::string word;
  while (stream >> word) {
    words.push_back(word);
  }
  return words;
}

std::vector<char*> Pointers(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  for (std::string& text : texts) {
    pointers.push_back(text.data());
  }
  pointers.push_back(nullptr);
  return pointers;
}

}  // namespace

// Reads only the lines that the project's deploy file has.
DeployedRole ReadDeployFile(const std::string& path) {
  std::ifstream file(path);
  DeployedRole role;
  std::string line;
  while (std::getline(file, line)) {
    if (line.compare(0, 4, "run ") == 0) {
      role.words = SplitAtSpaces(QuotedAfter(line, 0));
    } else if (line.compare(0, 4, "env ") == 0) {
      const size_t name = line.find('{') + 2;
      role.environment[line.substr(name, line.find(' ', name) - name)] =
          QuotedAfter(line, name);
    }
  }
  if (role.words.empty()) {
    throw std::runtime_error("no command in " + path);
  }
  return role;
}

std::vector<std::string> FillIn(
    const std::vector<std::string>& words,
    const std::map<std::string, std::string>& values) {
  std::vector<std::string> filled = words;
  for (std::string& word : filled) {
    for (const auto& [name, value] : values) {
      const std::string placeholder = "{{" + name + "}}";
      for (size_t at = word.find(placeholder); at != std::string::npos;
           at = word.find(placeholder)) {
        word.replace(at, placeholder.size(), value);
      }
    }
  }
  return filled;
}

Process::Process(const std::vector<std::string>& words,
                 const std::map<std::string, std::string>& environment,
                 const std::string& output) {
  std::vector<std::string> arguments = words;
  std::vector<std::string> variables;
  for (const auto& [name, value] : environment) {
    variables.push_back(name + "=" + value);
  }
  const std::vector<char*> argument_pointers = Pointers(arguments);
  const std::vector<char*> variable_pointers = Pointers(variables);
  this->id = fork();
  if (this->id == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file =
        open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, kOutputMode);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    execve(arguments.front().c_str(), argument_pointers.data(),
           variable_pointers.data());
    _exit(kExecFailed);
  }
}

Process::~Process() {
  this->Signal(SIGKILL);
  this->Wait();
}

void Process::Signal(int signal) const {
  if (this->id > 0) {
    kill(this->id, signal);
  }
}

size_t Process::MemoryMegabytes() const {
  std::ifstream file("/proc/" + std::to_string(this->id) + "/statm");
  size_t total_pages = 0;
  size_t resident_pages = 0;
  file >> total_pages >> resident_pages;
  return resident_pages * static_cast<size_t>(sysconf(_SC_PAGESIZE)) /
         kBytesPerMegabyte;
}

void Process::Wait() {
  if (this->id > 0) {
    waitpid(this->id, nullptr, 0);
    this->id = 0;
  }
}

}  // namespace kingcupstair::review
