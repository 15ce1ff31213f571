#ifndef APPS_KINGCUPSTAIRCTL_EXPLAIN_COMMAND_H_
#define APPS_KINGCUPSTAIRCTL_EXPLAIN_COMMAND_H_

#include <string>
#include <vector>

namespace kingcupstair {

/// Prints the path of a request through the fleet from the log files of several
/// hosts. Returns the exit code.
int ExplainFromFiles(const std::string& request_id,
                     const std::vector<std::string>& files);

}  // namespace kingcupstair

#endif  // APPS_KINGCUPSTAIRCTL_EXPLAIN_COMMAND_H_
