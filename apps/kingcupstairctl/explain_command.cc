#include "apps/kingcupstairctl/explain_command.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include "components/events/explain.h"
#include "components/settings/flag_set.h"

namespace kingcupstair {

int ExplainFromFiles(const std::string& request_id,
                     const std::vector<std::string>& files) {
  std::vector<events::HostLog> logs;
  for (const std::string& file : files) {
    std::ifstream in(file);
    if (!in) {
      std::cerr << "kingcupstairctl: cannot read " << file << "\n";
      return settings::kExitFailed;
    }
    std::ostringstream text;
    text << in.rdbuf();
    logs.push_back({.source = file, .text = text.str()});
  }
  const auto lines = events::ExplainRequest(request_id, logs);
  for (const std::string& line : lines) {
    std::cout << line << "\n";
  }
  if (lines.empty()) {
    std::cerr << "kingcupstairctl: no log line contains request id "
              << request_id << "\n";
    return settings::kExitFailed;
  }
  return settings::kExitOk;
}

}  // namespace kingcupstair
