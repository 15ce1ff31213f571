#include "components/events/explain.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "components/base/json_text.h"

namespace kingcupstair::events {
namespace {

struct LogLine {
  std::string time;
  std::string source;
  std::string message;
  nlohmann::json fields;
};

std::string StringField(const nlohmann::json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

// Some log collectors prepend text to each line, so parsing starts at the first
// brace.
void ParseLine(const std::string& source,
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
  lines.push_back({.time = StringField(json, "timestamp"),
                   .source = source,
                   .message = StringField(json, "message"),
                   .fields = json["context_map"]});
}

std::vector<LogLine> ParseLogs(const std::vector<HostLog>& logs) {
  std::vector<LogLine> lines;
  for (const HostLog& log : logs) {
    std::string_view text = log.text;
    while (!text.empty()) {
      const size_t end = std::min(text.find('\n'), text.size());
      ParseLine(log.source, text.substr(0, end), lines);
      text.remove_prefix(std::min(end + 1, text.size()));
    }
  }
  return lines;
}

std::string ToText(const LogLine& line) {
  std::string text = line.time + " " + line.source + " " + line.message;
  for (const auto& [name, value] : line.fields.items()) {
    text += " " + name + "=" +
            (value.is_string() ? value.get<std::string>() : JsonText(value));
  }
  return text;
}

}  // namespace

std::vector<std::string> ExplainRequest(std::string_view request_id,
                                        const std::vector<HostLog>& logs) {
  std::vector<LogLine> lines = ParseLogs(logs);
  std::set<std::string> attempts;
  for (const LogLine& line : lines) {
    if (StringField(line.fields, "request_id") == request_id) {
      attempts.insert(StringField(line.fields, "attempt"));
    }
  }
  attempts.erase("");
  std::erase_if(lines, [&](const LogLine& line) {
    return StringField(line.fields, "request_id") != request_id &&
           !attempts.contains(StringField(line.fields, "attempt"));
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
