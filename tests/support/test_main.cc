#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <cstdlib>

// Property tests draw from a fixed seed, so every run gives the same verdict.
// The runner's own leak check counts the caches of libraries as leaks; the
// build with sanitizers looks for leaks instead.
int main(int argc, char** argv) {
  setenv("RC_PARAMS", "seed=20261204 max_success=300", 0);
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
