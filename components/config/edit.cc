#include "components/config/edit.h"

#include <map>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "components/config/line_reader.h"
#include "components/config/words.h"

namespace kingcupstair::config {
namespace {

std::vector<std::string> SplitLines(std::string_view text) {
  std::vector<std::string> lines =
      absl::StrSplit(absl::string_view(text.data(), text.size()), '\n');
  if (!lines.empty() && lines.back().empty()) {
    lines.pop_back();
  }
  return lines;
}

std::string RuleWord(OutRuleKind kind) {
  return kind == OutRuleKind::kZone ? "zone" : "upstream";
}

bool IsOutRule(const std::string& line,
               OutRuleKind kind,
               std::string_view name) {
  LineReader reader(std::string_view(line).substr(0, FindComment(line)), 1);
  return reader.ReadWord("kind") == RuleWord(kind) &&
         reader.ReadWord("name") == name && reader.ReadWord("out") == "out";
}

void AppendLinesNotIn(const std::vector<std::string>& lines_to_check,
                      std::string_view other_text,
                      char marker,
                      std::string& out) {
  std::map<std::string, int> line_counts;
  for (const std::string& line : SplitLines(other_text)) {
    ++line_counts[line];
  }
  for (const std::string& line : lines_to_check) {
    if (--line_counts[line] < 0) {
      absl::StrAppend(&out, std::string(1, marker), line, "\n");
    }
  }
}

}  // namespace

std::string RemoveOutRules(std::string_view text,
                           OutRuleKind kind,
                           std::string_view name) {
  std::string result;
  for (const std::string& line : SplitLines(text)) {
    if (!IsOutRule(line, kind, name)) {
      absl::StrAppend(&result, line, "\n");
    }
  }
  return result;
}

std::string AddOutRule(std::string_view text,
                       OutRuleKind kind,
                       std::string_view name,
                       std::string_view asked_by) {
  for (const std::string& line : SplitLines(text)) {
    if (IsOutRule(line, kind, name)) {
      return std::string(text);
    }
  }
  std::string result(text);
  if (!result.empty() && result.back() != '\n') {
    result.push_back('\n');
  }
  absl::StrAppend(&result, RuleWord(kind), " ", QuoteWord(name),
                  " out # asked by: ", std::string(asked_by), "\n");
  return result;
}

std::string DescribeDifference(std::string_view before,
                               std::string_view after) {
  std::string difference;
  AppendLinesNotIn(SplitLines(before), after, '-', difference);
  AppendLinesNotIn(SplitLines(after), before, '+', difference);
  return difference;
}

}  // namespace kingcupstair::config
