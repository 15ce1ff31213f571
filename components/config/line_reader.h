#ifndef COMPONENTS_CONFIG_LINE_READER_H_
#define COMPONENTS_CONFIG_LINE_READER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "components/base/time.h"
#include "components/config/bounds.h"
#include "components/config/rule_error.h"
#include "components/config/words.h"

namespace kingcupstair::config {

/// Reads the words of one line in order and keeps the first error.
class LineReader {
 public:
  LineReader(std::string_view line, int line_number);

  /// Reads the next word. Returns nullopt at the end of the line.
  std::optional<Word> NextWord();

  /// Reads the next word. At the end of the line, records an error that names
  /// `what` as missing and returns an empty string.
  std::string ReadWord(std::string_view what);

  /// Reads the next word as a number within [low, high]. Records an error and
  /// returns `low` if the word is missing or not such a number.
  double ReadNumber(std::string_view what, double low, double high);

  /// Reads the next word as a duration such as "250ms" or "2s", above 0 and at
  /// most `longest`. Records an error and returns zero if the word is missing
  /// or not such a duration.
  Duration ReadDuration(std::string_view what,
                        Duration longest = kMaxRequestTime);

  /// Records an error at the last word that was read. Does nothing if there is
  /// an error already.
  void AddError(std::string reason);

  bool failed() const { return this->error.has_value(); }
  const std::optional<RuleError>& first_error() const { return this->error; }

 private:
  std::vector<Word> words;
  /// Index of the next word.
  size_t position = 0;
  int line_number;
  int end_column;
  std::optional<RuleError> error;
};

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_LINE_READER_H_
