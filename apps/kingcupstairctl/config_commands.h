#ifndef APPS_KINGCUPSTAIRCTL_CONFIG_COMMANDS_H_
#define APPS_KINGCUPSTAIRCTL_CONFIG_COMMANDS_H_

#include <string>

#include "apps/kingcupstairctl/commands.h"
#include "components/config/edit.h"

namespace kingcupstair {

/// Checks a file of rules without applying it.
int CheckFile(const std::string& path);

/// Puts a file of rules in force.
int ApplyFile(const CommandLine& line, const std::string& path);

/// Prints the rules that stand in the store.
int ShowConfiguration(const CommandLine& line);

/// Takes an availability zone or an upstream out of service, or back in.
int TakeOut(const CommandLine& line,
            config::OutKind kind,
            const std::string& name,
            bool out);

/// Takes a host that will not run again out of the share table.
int RemoveHost(const CommandLine& line, const std::string& host);

}  // namespace kingcupstair

#endif  // APPS_KINGCUPSTAIRCTL_CONFIG_COMMANDS_H_
