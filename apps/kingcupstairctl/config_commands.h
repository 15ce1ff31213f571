#ifndef APPS_KINGCUPSTAIRCTL_CONFIG_COMMANDS_H_
#define APPS_KINGCUPSTAIRCTL_CONFIG_COMMANDS_H_

#include <string>

#include "apps/kingcupstairctl/commands.h"
#include "components/config/edit.h"

namespace kingcupstair {

/// Checks a rules file without applying it. Returns the exit code, as all
/// commands do.
int CheckFile(const std::string& path);

/// Makes a rules file the active configuration.
int ApplyFile(const CommandLine& line, const std::string& path);

/// Prints the rules in the store.
int ShowConfiguration(const CommandLine& line);

/// Takes an availability zone or an upstream out of service if `out` is set,
/// else back into service.
int SetOutOfService(const CommandLine& line,
                    config::OutRuleKind kind,
                    const std::string& name,
                    bool out);

/// Removes a host that will not run again from the share table.
int RemoveHost(const CommandLine& line, const std::string& host);

}  // namespace kingcupstair

#endif  // APPS_KINGCUPSTAIRCTL_CONFIG_COMMANDS_H_
