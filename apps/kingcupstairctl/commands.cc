#include "apps/kingcupstairctl/commands.h"

#include <iostream>

#include "apps/kingcupstairctl/config_commands.h"
#include "apps/kingcupstairctl/explain_command.h"
#include "apps/kingcupstairctl/host_commands.h"
#include "components/settings/flag_set.h"

namespace kingcupstair {
namespace {

int WrongWords(const std::string& detail) {
  std::cerr << "kingcupstairctl: " << detail << "\n" << CommandsHelp();
  return settings::kExitUsage;
}

int RunOutCommand(const CommandLine& line, config::OutKind kind) {
  const std::string& direction = line.words[1];
  if (direction != "out" && direction != "in") {
    return WrongWords("expected 'out' or 'in'");
  }
  return TakeOut(line, kind, line.words[2], direction == "out");
}

int RunOneWord(const CommandLine& line) {
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
  return WrongWords("'" + command + "' is no command, or it lacks words");
}

}  // namespace

std::string CommandsHelp() {
  return "Commands:\n"
         "  check FILE             check a file of rules\n"
         "  apply FILE             put a file of rules in force\n"
         "  show                   the rules in the store\n"
         "  zone out|in NAME       take an availability zone out, or back in\n"
         "  upstream out|in NAME   take an upstream out, or back in\n"
         "  host remove NAME       hand on the share of a host that will not "
         "run again\n"
         "  status                 how each host stands\n"
         "  explain ID FILE...     the path of one request, from hosts' logs\n"
         "  timeline               what happened, over all hosts\n";
}

int RunCommand(const CommandLine& line) {
  const auto& words = line.words;
  if (words.empty()) {
    return WrongWords("no command");
  }
  if (words.size() == 2 && words[0] == "check") {
    return CheckFile(words[1]);
  }
  if (words.size() == 2 && words[0] == "apply") {
    return ApplyFile(line, words[1]);
  }
  if (words.size() == 3 && words[0] == "zone") {
    return RunOutCommand(line, config::OutKind::kZone);
  }
  if (words.size() == 3 && words[0] == "upstream") {
    return RunOutCommand(line, config::OutKind::kUpstream);
  }
  if (words.size() == 3 && words[0] == "host" && words[1] == "remove") {
    return RemoveHost(line, words[2]);
  }
  if (words.size() >= 3 && words[0] == "explain") {
    return ExplainFromFiles(words[1], {words.begin() + 2, words.end()});
  }
  return words.size() == 1 ? RunOneWord(line)
                           : WrongWords("these words are no command");
}

}  // namespace kingcupstair
