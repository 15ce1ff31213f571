#include "components/config/edit.h"

#include <map>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "components/config/line_reader.h"

namespace kingcupstair::config {
namespace {

std::vector<std::string> Lines(std::string_view text) {
  std::vector<std::string> lines =
      absl::StrSplit(absl::string_view(text.data(), text.size()), '\n');
  if (!lines.empty() && lines.back().empty()) {
    lines.pop_back();
  }
  return lines;
}

std::string KindWord(OutKind kind) {
  return kind == OutKind::kZone ? "zone" : "upstream";
}

bool TakesOut(const std::string& line, OutKind kind, std::string_view name) {
  LineReader reader(std::string_view(line).substr(0, line.find('#')), 1);
  return reader.Take("kind") == KindWord(kind) && reader.Take("name") == name &&
         reader.Take("out") == "out";
}

void AppendMissing(const std::vector<std::string>& from,
                   std::string_view in_other,
                   char mark,
                   std::string& out) {
  std::map<std::string, int> counts;
  for (const std::string& line : Lines(in_other)) {
    ++counts[line];
  }
  for (const std::string& line : from) {
    if (--counts[line] < 0) {
      absl::StrAppend(&out, std::string(1, mark), line, "\n");
    }
  }
}

}  // namespace

std::string WithBackIn(std::string_view text,
                       OutKind kind,
                       std::string_view name) {
  std::string result;
  for (const std::string& line : Lines(text)) {
    if (!TakesOut(line, kind, name)) {
      absl::StrAppend(&result, line, "\n");
    }
  }
  return result;
}

std::string WithOut(std::string_view text,
                    OutKind kind,
                    std::string_view name,
                    std::string_view asked_by) {
  for (const std::string& line : Lines(text)) {
    if (TakesOut(line, kind, name)) {
      return std::string(text);
    }
  }
  std::string result(text);
  if (!result.empty() && result.back() != '\n') {
    result.push_back('\n');
  }
  absl::StrAppend(&result, KindWord(kind), " ", std::string(name),
                  " out # asked by: ", std::string(asked_by), "\n");
  return result;
}

std::string DescribeDifference(std::string_view before,
                               std::string_view after) {
  std::string difference;
  AppendMissing(Lines(before), after, '-', difference);
  AppendMissing(Lines(after), before, '+', difference);
  return difference;
}

}  // namespace kingcupstair::config
