#ifndef COMPONENTS_CONFIG_LINE_READER_H_
#define COMPONENTS_CONFIG_LINE_READER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "components/base/time.h"
#include "components/config/rule_error.h"

namespace kingcupstair::config {

/// A word of a line and the column at which it starts.
struct Word {
  std::string text;
  int column = 0;

  bool operator==(const Word&) const = default;
};

/// Takes the words of one line in order and keeps the first error.
class LineReader {
 public:
  LineReader(std::string_view line, int line_number);

  /// The next word, or nothing at the end of the line.
  std::optional<Word> Next();

  /// The next word; an error that asks for `what` when there is none.
  std::string Take(std::string_view what);

  /// The next word as a number within [low, high].
  double TakeNumber(std::string_view what, double low, double high);

  /// The next word as a span of time such as "250ms" or "2s".
  Duration TakeDuration(std::string_view what);

  /// Records an error at the word taken last, unless there is one already.
  void Fail(std::string reason);

  bool failed() const { return this->error.has_value(); }
  const std::optional<RuleError>& first_error() const { return this->error; }

 private:
  std::vector<Word> words;
  size_t position = 0;
  int line_number;
  int end_column;
  std::optional<RuleError> error;
};

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_LINE_READER_H_
