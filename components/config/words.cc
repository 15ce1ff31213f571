#include "components/config/words.h"

#include <algorithm>

namespace kingcupstair::config {
namespace {

constexpr std::string_view kWhitespace = " \t\r";
constexpr char kQuote = '"';
constexpr char kEscape = '\\';

/// Returns the position after the quoted word that begins at `start`, or the
/// end of the line if the word has no end.
size_t EndOfQuoted(std::string_view line, size_t start) {
  for (size_t at = start + 1; at < line.size(); ++at) {
    if (line[at] == kEscape) {
      ++at;
    } else if (line[at] == kQuote) {
      return at + 1;
    }
  }
  return line.size();
}

size_t EndOfWord(std::string_view line, size_t start) {
  return line[start] == kQuote
             ? EndOfQuoted(line, start)
             : std::min(line.find_first_of(kWhitespace, start), line.size());
}

std::string Unquote(std::string_view word) {
  if (word.front() != kQuote) {
    return std::string(word);
  }
  std::string text;
  for (size_t at = 1; at < word.size(); ++at) {
    if (word[at] == kEscape && at + 1 < word.size()) {
      ++at;
    } else if (word[at] == kQuote) {
      break;
    }
    text.push_back(word[at]);
  }
  return text;
}

}  // namespace

std::vector<Word> SplitWords(std::string_view line) {
  std::vector<Word> words;
  size_t start = line.find_first_not_of(kWhitespace);
  while (start < line.size()) {
    const size_t end = EndOfWord(line, start);
    words.push_back({.text = Unquote(line.substr(start, end - start)),
                     .column = static_cast<int>(start) + 1});
    start = line.find_first_not_of(kWhitespace, end);
  }
  return words;
}

size_t FindComment(std::string_view line) {
  size_t at = line.find_first_not_of(kWhitespace);
  while (at < line.size()) {
    const size_t end = EndOfWord(line, at);
    if (line[at] != kQuote) {
      const size_t mark = line.substr(at, end - at).find('#');
      if (mark != std::string_view::npos) {
        return at + mark;
      }
    }
    at = line.find_first_not_of(kWhitespace, end);
  }
  return std::string_view::npos;
}

bool IsWord(std::string_view text) {
  return !text.empty() && std::none_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte < ' ' || byte == 0x7f;
  });
}

std::string QuoteWord(std::string_view text) {
  if (text.front() != kQuote &&
      text.find_first_of("# ") == std::string_view::npos) {
    return std::string(text);
  }
  std::string quoted(1, kQuote);
  for (const char c : text) {
    if (c == kQuote || c == kEscape) {
      quoted.push_back(kEscape);
    }
    quoted.push_back(c);
  }
  quoted.push_back(kQuote);
  return quoted;
}

}  // namespace kingcupstair::config
