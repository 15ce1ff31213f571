#ifndef COMPONENTS_LOGGING_LOG_H_
#define COMPONENTS_LOGGING_LOG_H_

#include <string>
#include <vector>

namespace kingcupstair::logging {

enum class Level { kDebug, kInfo, kWarning, kError };

/// One named value of a log line.
struct Field {
  std::string name;
  std::string value;

  bool operator==(const Field&) const = default;
};

/// Sends all logs of the process to standard output as JSON lines. Writing
/// never waits for the reader. Lines that the reader does not take in time are
/// dropped.
void Init(const std::string& program);

/// Stops logging and waits until the lines written so far are out, for half a
/// second at most.
void Flush();

/// Writes one JSON line with the fields under "context_map". Lines with the
/// same message are limited to 100 a second. The first line after suppressed
/// ones carries their number in the field "left_out".
void Write(Level level,
           const std::string& message,
           const std::vector<Field>& fields = {});

}  // namespace kingcupstair::logging

#endif  // COMPONENTS_LOGGING_LOG_H_
