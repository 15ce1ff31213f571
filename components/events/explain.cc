#include "components/events/explain.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace kingcupstair::events {
namespace {

struct LogLine {
  std::string time;
  std::string source;
  std::string message;
  nlohmann::json fields;
};

std::string TextOf(const nlohmann::json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

// Some collectors put words of their own in front of each line.
void ReadLine(const std::string& source,
              std::string_view text,
              std::vector<LogLine>& lines) {
  const size_t start = text.find('{');
  if (start == std::string_view::npos) {
    return;
  }
  const auto json = nlohmann::json::parse(text.substr(start), nullptr, false);
  if (!json.is_object() || !json.contains("context_map") ||
      !json["context_map"].is_object()) {
    return;
  }
  lines.push_back({.time = TextOf(json, "timestamp"),
                   .source = source,
                   .message = TextOf(json, "message"),
                   .fields = json["context_map"]});
}

std::vector<LogLine> ReadLines(const std::vector<HostLog>& logs) {
  std::vector<LogLine> lines;
  for (const HostLog& log : logs) {
    std::string_view text = log.text;
    while (!text.empty()) {
      const size_t end = std::min(text.find('\n'), text.size());
      ReadLine(log.source, text.substr(0, end), lines);
      text.remove_prefix(std::min(end + 1, text.size()));
    }
  }
  return lines;
}

std::string ToText(const LogLine& line) {
  std::string text = line.time + " " + line.source + " " + line.message;
  for (const auto& [name, value] : line.fields.items()) {
    text += " " + name + "=" +
            (value.is_string() ? value.get<std::string>() : value.dump());
  }
  return text;
}

}  // namespace

std::vector<std::string> ExplainRequest(std::string_view request_id,
                                        const std::vector<HostLog>& logs) {
  std::vector<LogLine> lines = ReadLines(logs);
  std::set<std::string> attempts;
  for (const LogLine& line : lines) {
    if (TextOf(line.fields, "request_id") == request_id) {
      attempts.insert(TextOf(line.fields, "attempt"));
    }
  }
  attempts.erase("");
  std::erase_if(lines, [&](const LogLine& line) {
    return TextOf(line.fields, "request_id") != request_id &&
           !attempts.contains(TextOf(line.fields, "attempt"));
  });
  std::stable_sort(lines.begin(), lines.end(),
                   [](const LogLine& left, const LogLine& right) {
                     return left.time < right.time;
                   });
  std::vector<std::string> texts;
  for (const LogLine& line : lines) {
    texts.push_back(ToText(line));
  }
  return texts;
}

}  // namespace kingcupstair::events
