#ifndef APPS_KINGCUPSTAIRCTL_HOST_COMMANDS_H_
#define APPS_KINGCUPSTAIRCTL_HOST_COMMANDS_H_

#include "apps/kingcupstairctl/commands.h"

namespace kingcupstair {

/// Prints how each host stands.
int ShowStatus(const CommandLine& line);

/// Prints what happened on all hosts in order of time, and names the hosts
/// that could not be reached.
int ShowTimeline(const CommandLine& line);

}  // namespace kingcupstair

#endif  // APPS_KINGCUPSTAIRCTL_HOST_COMMANDS_H_
