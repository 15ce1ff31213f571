#ifndef COMPONENTS_CONFIG_WORDS_H_
#define COMPONENTS_CONFIG_WORDS_H_

#include <string>
#include <string_view>
#include <vector>

namespace kingcupstair::config {

/// A word of a line and the column at which the word starts, counted from 1.
struct Word {
  std::string text;
  int column = 0;

  bool operator==(const Word&) const = default;
};

/// Splits a line at white space. A word that begins with '"' ends at the next
/// '"', and a backslash in it stands before '"' and a backslash.
std::vector<Word> SplitWords(std::string_view line);

/// Returns the position of the '#' that begins the comment of a line, or npos.
size_t FindComment(std::string_view line);

/// Returns whether `text` can be a word: it is not empty and has no control
/// characters.
bool IsWord(std::string_view text);

/// Returns `text` as it stands in a line, in quotes if it needs them. Requires
/// IsWord(text).
std::string QuoteWord(std::string_view text);

}  // namespace kingcupstair::config

#endif  // COMPONENTS_CONFIG_WORDS_H_
