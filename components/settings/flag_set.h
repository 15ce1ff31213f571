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

/// Parses text and stores the value of one setting. If the text is invalid,
/// returns an error that says which values are allowed.
using Setter = std::function<absl::Status(const std::string&)>;

/// One setting of a program: flag --NAME and environment variable
/// KINGCUPSTAIR_NAME, with the name in capitals and underscores for hyphens.
struct Flag {
  std::string name;
  std::string help;
  Setter set;
  bool required = false;
};

/// What the program does after the settings are parsed.
enum class ParseOutcome { kRun, kExitOk, kExitUsage };

/// Returns the exit code if the process has to exit, or nullopt if it has to
/// run.
std::optional<int> ExitCodeOf(ParseOutcome outcome);

/// Prints the error to standard error and returns the exit code for it.
int ReportError(const std::string& program, const absl::Status& status);

/// Parses settings from flags and environment variables. A flag takes
/// precedence over its variable. All errors are printed together to standard
/// error.
class FlagSet {
 public:
  FlagSet(std::string program, std::string summary);

  void Add(Flag flag);

  /// Parses flags and environment variables. Stores the positional arguments in
  /// `arguments`.
  ParseOutcome Parse(int argc,
                     char** argv,
                     std::vector<std::string>& arguments);

  std::string HelpText() const;

 private:
  void Apply(const Flag& flag,
             const std::string& source,
             const std::string& value);
  void ApplyEnvironment(const std::vector<bool>& given);

  std::string program;
  std::string summary;
  std::vector<Flag> flags;
  std::vector<std::string> errors;
};

/// Return setters that store a parsed value in `target`, which has to outlive
/// them. Bounds are inclusive. A text must not be empty, endpoints are
/// separated by commas, a fraction is from 0 to 1, and a number is at least 0.
Setter SetText(std::string& target);
Setter SetEndpoint(Endpoint& target);
Setter SetEndpoints(std::vector<Endpoint>& target);
Setter SetInteger(int& target, int low, int high);
Setter SetFraction(double& target);
Setter SetNumber(double& target);
Setter SetMillis(Duration& target, int64_t low, int64_t high);

}  // namespace kingcupstair::settings

#endif  // COMPONENTS_SETTINGS_FLAG_SET_H_
