#include "components/config/line_reader.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace kingcupstair::config {
namespace {

std::string ToStdString(std::string_view view) {
  return std::string(view);
}

}  // namespace

std::string ToText(const RuleError& error) {
  return absl::StrCat("line ", error.line, ", column ", error.column, ": ",
                      error.reason);
}

LineReader::LineReader(std::string_view line, int line_number)
    : words(SplitWords(line)),
      line_number(line_number),
      end_column(static_cast<int>(line.size()) + 1) {}

std::optional<Word> LineReader::NextWord() {
  if (this->position == this->words.size()) {
    return std::nullopt;
  }
  return this->words[this->position++];
}

std::string LineReader::ReadWord(std::string_view what) {
  const std::optional<Word> word = this->NextWord();
  if (word.has_value()) {
    return word->text;
  }
  if (!this->error.has_value()) {
    this->error =
        RuleError{.line = this->line_number,
                  .column = this->end_column,
                  .reason = absl::StrCat("expected ", ToStdString(what),
                                         " before the end of the rule")};
  }
  return "";
}

double LineReader::ReadNumber(std::string_view what, double low, double high) {
  const std::string text = this->ReadWord(what);
  double value = 0;
  if (this->failed()) {
    return low;
  }
  if (!absl::SimpleAtod(text, &value) || !(value >= low && value <= high)) {
    this->AddError(absl::StrCat("'", text, "' is not a valid ",
                                ToStdString(what), "; expected a number from ",
                                low, " to ", high));
    return low;
  }
  return value;
}

Duration LineReader::ReadDuration(std::string_view what, Duration longest) {
  const std::string text = this->ReadWord(what);
  if (this->failed()) {
    return {};
  }
  const size_t unit_start = text.find_first_not_of("0123456789");
  int64_t count = 0;
  const bool has_count = unit_start != std::string::npos &&
                         absl::SimpleAtoi(text.substr(0, unit_start), &count) &&
                         count > 0;
  const std::string unit = has_count ? text.substr(unit_start) : "";
  if (unit == "ms" && count <= ToMillisRoundedUp(longest)) {
    return std::chrono::milliseconds(count);
  }
  const auto longest_seconds =
      std::chrono::duration_cast<std::chrono::seconds>(longest).count();
  if (unit == "s" && count <= longest_seconds) {
    return std::chrono::seconds(count);
  }
  this->AddError(
      absl::StrCat("'", text, "' is not a valid ", ToStdString(what),
                   "; expected a duration such as 250ms or 2s, at most ",
                   longest_seconds, "s"));
  return {};
}

void LineReader::AddError(std::string reason) {
  if (this->error.has_value()) {
    return;
  }
  const int column =
      this->position == 0 ? 1 : this->words[this->position - 1].column;
  this->error = RuleError{
      .line = this->line_number, .column = column, .reason = std::move(reason)};
}

}  // namespace kingcupstair::config
