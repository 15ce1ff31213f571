#include "apps/kingcupstairctl/commands.h"

#include <iostream>

#include "apps/kingcupstairctl/config_commands.h"
#include "apps/kingcupstairctl/explain_command.h"
#include "apps/kingcupstairctl/host_commands.h"
#include "components/settings/flag_set.h"

namespace kingcupstair {
namespace {

int ReportUsageError(const std::string& detail) {
  std::cerr << "kingcupstairctl: " << detail << "\n" << CommandsHelp();
  return settings::kExitUsage;
}

int RunOutOfServiceCommand(const CommandLine& line, config::OutRuleKind kind) {
  const std::string& direction = line.words[1];
  if (direction != "out" && direction != "in") {
    return ReportUsageError("expected 'out' or 'in' as the second word");
  }
  return SetOutOfService(line, kind, line.words[2], direction == "out");
}

int RunSingleWordCommand(const CommandLine& line) {
  const std::string& command = line.words[0];
  if (command == "show") {
    return ShowConfiguration(line);
  }
  if (command == "status") {
    return ShowStatus(line);
  }
  if (command == "timeline") {
    return ShowTimeline(line);
  }
  return ReportUsageError("'" + command +
                          "' is not a command, or it lacks arguments");
}

}  // namespace

std::string CommandsHelp() {
  return "Commands:\n"
         "  check FILE             check a rules file without applying it\n"
         "  apply FILE             make a rules file the active configuration\n"
         "  show                   print the rules in the store\n"
         "  zone out|in NAME       take an availability zone out of service, "
         "or back in\n"
         "  upstream out|in NAME   take an upstream out of service, or back "
         "in\n"
         "  host remove NAME       remove a host that will not run again and "
         "hand its\n"
         "                         share to the others\n"
         "  status                 print the state of each host\n"
         "  explain ID FILE...     print the path of request ID from hosts' "
         "log files\n"
         "  place PATH             print where each host would send a request, "
         "and "
         "why;\n"
         "                         sends and counts nothing\n"
         "  timeline               print the events of all hosts in order of "
         "time\n";
}

int RunCommand(const CommandLine& line) {
  const auto& words = line.words;
  if (words.empty()) {
    return ReportUsageError("no command given");
  }
  if (words.size() == 2 && words[0] == "check") {
    return CheckFile(words[1]);
  }
  if (words.size() == 2 && words[0] == "apply") {
    return ApplyFile(line, words[1]);
  }
  if (words.size() == 3 && words[0] == "zone") {
    return RunOutOfServiceCommand(line, config::OutRuleKind::kZone);
  }
  if (words.size() == 3 && words[0] == "upstream") {
    return RunOutOfServiceCommand(line, config::OutRuleKind::kUpstream);
  }
  if (words.size() == 3 && words[0] == "host" && words[1] == "remove") {
    return RemoveHost(line, words[2]);
  }
  if (words.size() == 2 && words[0] == "place") {
    return ShowPlacement(line, words[1]);
  }
  if (words.size() >= 3 && words[0] == "explain") {
    return ExplainFromFiles(words[1], {words.begin() + 2, words.end()});
  }
  return words.size() == 1
             ? RunSingleWordCommand(line)
             : ReportUsageError(
                   "unknown command, or wrong number of arguments");
}

}  // namespace kingcupstair
