#include "components/config/parse.h"

#include <algorithm>
#include <cctype>
#include <optional>

#include "absl/strings/str_cat.h"
#include "components/config/line_reader.h"

namespace kingcupstair::config {
namespace {

constexpr std::string_view kAskedBy = "asked by:";
constexpr size_t kDigestLength = 64;
constexpr double kMaxRate = 1e6;
constexpr double kMaxSlots = 10'000;
constexpr double kMaxPriority = 100;
constexpr double kMaxWeight = 1e6;
constexpr double kMaxAttempts = 100;
constexpr double kMaxBytes = 1e9;

std::string_view Trim(std::string_view text) {
  const size_t start = text.find_first_not_of(" \t\r");
  if (start == std::string_view::npos) {
    return {};
  }
  return text.substr(start, text.find_last_not_of(" \t\r") - start + 1);
}

Rule ParseService(LineReader& reader) {
  ServiceRule rule{.name = reader.Take("a service name")};
  while (const auto word = reader.Next()) {
    if (word->text == "floor") {
      rule.floor = reader.TakeNumber("floor", 0, 1);
    } else if (word->text == "slots") {
      rule.slots = static_cast<int>(reader.TakeNumber("slots", 1, kMaxSlots));
    } else if (word->text == "warmup-rate") {
      rule.warmup_rate = reader.TakeNumber("warmup-rate", 0, kMaxRate);
    } else {
      reader.Fail("expected 'floor', 'slots' or 'warmup-rate'");
      break;
    }
  }
  return rule;
}

std::string TakePrefix(LineReader& reader) {
  std::string prefix = reader.Take("a path prefix");
  if (!reader.failed() && prefix.front() != '/') {
    reader.Fail("a path prefix starts with '/'");
  }
  return prefix;
}

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

RoutePart TakePart(LineReader& reader) {
  return {.service = reader.Take("a service name"),
          .weight = reader.TakeNumber("weight", 0, kMaxWeight)};
}

bool TakeRouteOption(const std::string& word,
                     LineReader& reader,
                     RouteRule& rule) {
  if (word == "service") {
    rule.parts.push_back({.service = reader.Take("a service name")});
  } else if (word == "split") {
    rule.parts.push_back(TakePart(reader));
  } else if (word == "host") {
    rule.host = LowerCase(reader.Take("a host name"));
  } else if (word == "objective") {
    rule.objective = reader.TakeDuration("objective");
  } else if (word == "priority") {
    rule.priority =
        static_cast<int>(reader.TakeNumber("priority", 0, kMaxPriority));
  } else if (word == "attempts") {
    rule.attempts =
        static_cast<int>(reader.TakeNumber("attempts", 1, kMaxAttempts));
  } else if (word == "idempotent") {
    rule.repeat = Repeat::kIdempotent;
  } else if (word == "once") {
    rule.repeat = Repeat::kOnce;
  } else if (word == "open") {
    rule.access = Access::kOpen;
  } else if (word == "internal") {
    rule.access = Access::kOpen;
    rule.internal = true;
  } else if (word == "keyed") {
    rule.access = Access::kKeyed;
  } else if (word == "deadline") {
    rule.deadline = reader.TakeDuration("deadline");
  } else {
    return false;
  }
  return true;
}

Rule ParseRoute(LineReader& reader) {
  RouteRule rule{.method = reader.Take("a method"),
                 .prefix = TakePrefix(reader)};
  const bool upper = std::all_of(rule.method.begin(), rule.method.end(),
                                 [](char c) { return c >= 'A' && c <= 'Z'; });
  if (!upper) {
    reader.Fail("a method is written in capitals");
  }
  while (const auto word = reader.Next()) {
    if (!TakeRouteOption(word->text, reader, rule)) {
      reader.Fail(
          "expected 'service', 'split', 'host', 'idempotent', 'once', 'open', "
          "'internal', 'keyed', 'deadline', 'objective', 'priority' or "
          "'attempts'");
      break;
    }
  }
  const bool has_weight =
      std::any_of(rule.parts.begin(), rule.parts.end(),
                  [](const RoutePart& part) { return part.weight > 0; });
  if (!reader.failed() && !has_weight) {
    reader.Fail("a route names its service, or parts of which one has weight");
  }
  return rule;
}

std::string TakeDigest(LineReader& reader) {
  constexpr std::string_view kScheme = "sha256:";
  const std::string text = reader.Take("a key digest");
  if (reader.failed()) {
    return "";
  }
  const bool named = text.substr(0, kScheme.size()) == kScheme;
  const std::string digest = named ? text.substr(kScheme.size()) : "";
  const bool hexadecimal =
      digest.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (digest.size() != kDigestLength || !hexadecimal) {
    reader.Fail("a key is written as sha256: and 64 lower-case hex digits");
  }
  return digest;
}

Rule ParseOrganisation(LineReader& reader) {
  OrganisationRule rule{.name = reader.Take("an organisation name")};
  while (const auto word = reader.Next()) {
    if (word->text == "rate") {
      rule.rate = reader.TakeNumber("rate", 0, kMaxRate);
    } else if (word->text == "burst") {
      rule.burst = reader.TakeNumber("burst", 0, kMaxRate);
    } else if (word->text == "unlimited") {
      rule.unlimited = true;
    } else if (word->text == "priority") {
      rule.priority =
          static_cast<int>(reader.TakeNumber("priority", 0, kMaxPriority));
    } else if (word->text == "key") {
      rule.key_digests.push_back(TakeDigest(reader));
    } else {
      reader.Fail("expected 'rate', 'burst', 'unlimited', 'priority' or 'key'");
      break;
    }
  }
  return rule;
}

Rule ParseCallers(LineReader& reader) {
  CallersRule rule;
  while (const auto word = reader.Next()) {
    if (word->text == "header-bytes") {
      rule.header_bytes =
          static_cast<int64_t>(reader.TakeNumber("size", 1, kMaxBytes));
    } else if (word->text == "body-bytes") {
      rule.body_bytes =
          static_cast<int64_t>(reader.TakeNumber("size", 0, kMaxBytes));
    } else if (word->text == "header-timeout") {
      rule.header_timeout = reader.TakeDuration("header-timeout");
    } else if (word->text == "idle-timeout") {
      rule.idle_timeout = reader.TakeDuration("idle-timeout");
    } else {
      reader.Fail(
          "expected 'header-bytes', 'body-bytes', 'header-timeout' or "
          "'idle-timeout'");
      break;
    }
  }
  return rule;
}

void ExpectOut(LineReader& reader) {
  if (reader.Take("'out'") != "out") {
    reader.Fail("expected 'out'");
  }
  if (reader.Next().has_value()) {
    reader.Fail("nothing may follow 'out'");
  }
}

Rule ParseZone(LineReader& reader) {
  ZoneOutRule rule{.zone = reader.Take("an availability zone")};
  ExpectOut(reader);
  return rule;
}

Rule ParseUpstream(LineReader& reader) {
  UpstreamOutRule rule{.upstream = reader.Take("an upstream")};
  ExpectOut(reader);
  return rule;
}

Rule ParseRule(LineReader& reader) {
  const std::string kind = reader.Take("a rule");
  if (kind == "service") {
    return ParseService(reader);
  }
  if (kind == "route") {
    return ParseRoute(reader);
  }
  if (kind == "organisation") {
    return ParseOrganisation(reader);
  }
  if (kind == "callers") {
    return ParseCallers(reader);
  }
  if (kind == "zone") {
    return ParseZone(reader);
  }
  if (kind == "upstream") {
    return ParseUpstream(reader);
  }
  reader.Fail(
      "expected 'service', 'route', 'organisation', 'callers', 'zone' or "
      "'upstream'");
  return ServiceRule{};
}

class TextParser {
 public:
  ParseResult Parse(std::string_view text) {
    int number = 0;
    while (!text.empty()) {
      const size_t end = std::min(text.find('\n'), text.size());
      this->ParseLine(text.substr(0, end), ++number);
      text.remove_prefix(std::min(end + 1, text.size()));
    }
    if (!this->errors.empty()) {
      return std::move(this->errors);
    }
    return std::move(this->rules);
  }

 private:
  void ParseLine(std::string_view line, int number) {
    const size_t hash = line.find('#');
    const std::string_view body = line.substr(0, hash);
    if (Trim(body).empty()) {
      return;
    }
    const std::string_view comment =
        hash == std::string_view::npos ? "" : Trim(line.substr(hash + 1));
    if (comment.substr(0, kAskedBy.size()) != kAskedBy ||
        Trim(comment.substr(kAskedBy.size())).empty()) {
      this->errors.push_back({.line = number,
                              .column = static_cast<int>(body.size()) + 1,
                              .reason = "a rule ends in '# asked by: NAME'"});
      return;
    }
    LineReader reader(body, number);
    Rule rule = ParseRule(reader);
    if (reader.failed()) {
      this->errors.push_back(*reader.first_error());
      return;
    }
    this->rules.push_back(
        {.rule = std::move(rule),
         .line = number,
         .asked_by = std::string(Trim(comment.substr(kAskedBy.size())))});
  }

  std::vector<PlacedRule> rules;
  std::vector<RuleError> errors;
};

}  // namespace

ParseResult ParseRules(std::string_view text) {
  return TextParser().Parse(text);
}

}  // namespace kingcupstair::config
