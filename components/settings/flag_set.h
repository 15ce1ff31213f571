#ifndef COMPONENTS_SETTINGS_FLAG_SET_H_
#define COMPONENTS_SETTINGS_FLAG_SET_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "components/base/endpoint.h"
#include "components/base/time.h"

namespace kingcupstair::settings {

/// Exit codes of all programs.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;

/// Sets one setting from text; gives what is allowed when the text is not.
using Setter = std::function<absl::Status(const std::string&)>;

/// One setting of a program: flag --NAME and environment variable
/// KINGCUPSTAIR_NAME in capitals with underscores.
struct Flag {
  std::string name;
  std::string help;
  Setter set;
  bool required = false;
};

/// What reading the settings led to.
enum class ParseOutcome { kRun, kExitOk, kExitUsage };

/// The exit code when the process is to end already, or nothing.
std::optional<int> ExitCodeOf(ParseOutcome outcome);

/// Prints the error on the error stream; gives the exit code for it.
int ReportError(const std::string& program, const absl::Status& status);

/// Reads settings from flags and the environment; a flag wins. All faults are
/// reported at once on the error stream.
class FlagSet {
 public:
  FlagSet(std::string program, std::string summary);

  void Add(Flag flag);

  /// Reads everything; words that are no flags go to `words`.
  ParseOutcome Parse(int argc, char** argv, std::vector<std::string>& words);

  std::string HelpText() const;

 private:
  void Apply(const Flag& flag,
             const std::string& source,
             const std::string& value);
  void ApplyEnvironment(const std::vector<bool>& given);

  std::string program;
  std::string summary;
  std::vector<Flag> flags;
  std::vector<std::string> faults;
};

/// Setters for common kinds of values.
Setter SetText(std::string& target);
Setter SetEndpoint(Endpoint& target);
Setter SetEndpoints(std::vector<Endpoint>& target);
Setter SetInteger(int& target, int low, int high);
Setter SetFraction(double& target);
Setter SetNumber(double& target);
Setter SetMillis(Duration& target, int64_t low, int64_t high);

}  // namespace kingcupstair::settings

#endif  // COMPONENTS_SETTINGS_FLAG_SET_H_
