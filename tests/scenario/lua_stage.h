#ifndef TESTS_SCENARIO_LUA_STAGE_H_
#define TESTS_SCENARIO_LUA_STAGE_H_

#include <string>

namespace kingcupstair::scenario {

/// What a script's checks came to.
struct ScriptResult {
  int passed = 0;
  int failed = 0;
  /// Why the script itself could not be run to its end; empty when it was.
  std::string error;
};

/// Runs one scenario script. The verbs it may use are listed in
/// docs/SCENARIOS.md.
ScriptResult RunScript(const std::string& path);

}  // namespace kingcupstair::scenario

#endif  // TESTS_SCENARIO_LUA_STAGE_H_
