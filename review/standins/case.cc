#include "review/standins/case.h"

#include <cstdlib>
#include <exception>
#include <iostream>

namespace kingcupstair::review {

int PlayCase(int argc, char** argv, Verdict (*play)(const CaseOptions&)) {
  constexpr int kArguments = 3;
  if (argc != kArguments) {
    std::cerr << "usage: case RECORD LOGS\n";
    return static_cast<int>(Verdict::kUnusable);
  }
  const char* trouble = std::getenv("TROUBLE");
  const CaseOptions options{
      .record = argv[1],
      .logs = argv[2],
      .trouble = trouble == nullptr || std::string(trouble) != "0"};
  try {
    return static_cast<int>(play(options));
  } catch (const std::exception& error) {
    std::cerr << "the case could not run: " << error.what() << "\n";
    return static_cast<int>(Verdict::kUnusable);
  }
}

}  // namespace kingcupstair::review
