#include <cstdio>

#include "tests/scenario/lua_stage.h"

// Runs the scripts named on the command line.
int main(int argc, char** argv) {
  int passed = 0;
  int failed = 0;
  for (int i = 1; i < argc; ++i) {
    const auto result = kingcupstair::scenario::RunScript(argv[i]);
    passed += result.passed;
    failed += result.failed;
    if (!result.error.empty()) {
      std::printf("%s: %s\n", argv[i], result.error.c_str());
      ++failed;
    }
  }
  std::printf("%d passed, %d failed\n", passed, failed);
  return failed == 0 && passed > 0 ? 0 : 1;
}
