#ifndef APPS_KINGCUPSTAIRCTL_HOST_COMMANDS_H_
#define APPS_KINGCUPSTAIRCTL_HOST_COMMANDS_H_

#include "apps/kingcupstairctl/commands.h"

namespace kingcupstair {

/// Prints the state of each host and its upstreams, and the hosts that could
/// not be reached. Returns the exit code.
int ShowStatus(const CommandLine& line);

/// Prints the events of all hosts in order of time, and the hosts that could
/// not be reached. Returns the exit code.
int ShowTimeline(const CommandLine& line);

/// Prints where each host would send a request to `path`, and why. Returns the
/// exit code.
int ShowPlacement(const CommandLine& line, const std::string& path);

}  // namespace kingcupstair

#endif  // APPS_KINGCUPSTAIRCTL_HOST_COMMANDS_H_
