#ifndef APPS_KINGCUPSTAIRCTL_COMMANDS_H_
#define APPS_KINGCUPSTAIRCTL_COMMANDS_H_

#include <string>
#include <vector>

#include "components/base/endpoint.h"
#include "components/events/timeline.h"
#include "components/store/client.h"

namespace kingcupstair {

/// The settings and words of one call of the tool.
struct CommandLine {
  Endpoint store;
  /// Admin addresses of hosts; when empty they are read from the store.
  std::vector<Endpoint> hosts;
  std::string author;
  events::TimelineFilter filter;
  std::vector<std::string> words;
};

/// Runs the command that the words name, from a fiber of a worker pool; gives
/// the exit code.
int RunCommand(const CommandLine& line);

/// The commands, for the help text.
std::string CommandsHelp();

}  // namespace kingcupstair

#endif  // APPS_KINGCUPSTAIRCTL_COMMANDS_H_
