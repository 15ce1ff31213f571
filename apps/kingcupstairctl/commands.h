#ifndef APPS_KINGCUPSTAIRCTL_COMMANDS_H_
#define APPS_KINGCUPSTAIRCTL_COMMANDS_H_

#include <string>
#include <vector>

#include "components/base/endpoint.h"
#include "components/events/timeline.h"
#include "components/store/client.h"

namespace kingcupstair {

/// Settings and command words of one run of the tool.
struct CommandLine {
  Endpoint store;
  /// Admin addresses of the hosts. If empty, they are read from the store.
  std::vector<Endpoint> hosts;
  /// Who runs the command; written into rules and revisions.
  std::string author;
  events::TimelineFilter filter;
  /// For `place`: method and size of the body of the request.
  std::string method = "GET";
  int body_bytes = 0;
  /// Print JSON instead of text.
  bool json = false;
  std::vector<std::string> words;
};

/// Runs the command that `line.words` names and returns the exit code. Must be
/// called from a fiber of a worker pool.
int RunCommand(const CommandLine& line);

/// Returns the list of commands for the help text.
std::string CommandsHelp();

}  // namespace kingcupstair

#endif  // APPS_KINGCUPSTAIRCTL_COMMANDS_H_
