#include "components/config/parse.h"

#include <algorithm>
#include <cctype>
#include <optional>

#include "absl/strings/str_cat.h"
#include "components/config/bounds.h"
#include "components/config/line_reader.h"
#include "components/config/words.h"

namespace kingcupstair::config {
namespace {

constexpr std::string_view kAskedByMarker = "asked by:";
constexpr size_t kDigestHexDigits = 64;
constexpr double kMaxSlots = 10'000;

std::string_view Trim(std::string_view text) {
  const size_t start = text.find_first_not_of(" \t\r");
  if (start == std::string_view::npos) {
    return {};
  }
  return text.substr(start, text.find_last_not_of(" \t\r") - start + 1);
}

Rule ParseService(LineReader& reader) {
  ServiceRule rule{.name = reader.ReadWord("a service name")};
  while (const auto word = reader.NextWord()) {
    if (word->text == "floor") {
      rule.floor = reader.ReadNumber("floor", 0, 1);
    } else if (word->text == "slots") {
      rule.slots = static_cast<int>(reader.ReadNumber("slots", 1, kMaxSlots));
    } else if (word->text == "warmup-rate") {
      rule.warmup_rate = reader.ReadNumber("warmup-rate", 0, kMaxRate);
    } else {
      reader.AddError("expected 'floor', 'slots' or 'warmup-rate'");
      break;
    }
  }
  return rule;
}

std::string ReadPathPrefix(LineReader& reader) {
  std::string prefix = reader.ReadWord("a path prefix");
  if (!reader.failed() && prefix.front() != '/') {
    reader.AddError("a path prefix must start with '/'");
  }
  return prefix;
}

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

WeightedService ReadWeightedService(LineReader& reader) {
  return {.service = reader.ReadWord("a service name"),
          .weight = reader.ReadNumber("weight", 0, kMaxWeight)};
}

bool ReadRouteOption(const std::string& word,
                     LineReader& reader,
                     RouteRule& rule) {
  if (word == "service") {
    rule.services.push_back({.service = reader.ReadWord("a service name")});
  } else if (word == "split") {
    rule.services.push_back(ReadWeightedService(reader));
  } else if (word == "host") {
    rule.host = LowerCase(reader.ReadWord("a host name"));
  } else if (word == "objective") {
    rule.objective = reader.ReadDuration("objective");
  } else if (word == "priority") {
    rule.priority =
        static_cast<int>(reader.ReadNumber("priority", 0, kMaxPriority));
  } else if (word == "attempts") {
    rule.attempts =
        static_cast<int>(reader.ReadNumber("attempts", 1, kMaxAttempts));
  } else if (word == "idempotent") {
    rule.idempotency = Idempotency::kIdempotent;
  } else if (word == "once") {
    rule.idempotency = Idempotency::kNonIdempotent;
  } else if (word == "open") {
    rule.access = Access::kOpen;
  } else if (word == "internal") {
    rule.access = Access::kOpen;
    rule.internal = true;
  } else if (word == "keyed") {
    rule.access = Access::kKeyed;
  } else if (word == "deadline") {
    rule.deadline = reader.ReadDuration("deadline");
  } else {
    return false;
  }
  return true;
}

Rule ParseRoute(LineReader& reader) {
  RouteRule rule{.method = reader.ReadWord("a method"),
                 .prefix = ReadPathPrefix(reader)};
  const bool is_upper_case =
      std::all_of(rule.method.begin(), rule.method.end(),
                  [](char c) { return c >= 'A' && c <= 'Z'; });
  if (!is_upper_case) {
    reader.AddError("a method must be in upper case");
  }
  while (const auto word = reader.NextWord()) {
    if (!ReadRouteOption(word->text, reader, rule)) {
      reader.AddError(
          "expected 'service', 'split', 'host', 'idempotent', 'once', 'open', "
          "'internal', 'keyed', 'deadline', 'objective', 'priority' or "
          "'attempts'");
      break;
    }
  }
  const bool has_weight =
      std::any_of(rule.services.begin(), rule.services.end(),
                  [](const WeightedService& part) { return part.weight > 0; });
  if (!reader.failed() && !has_weight) {
    reader.AddError(
        "a route needs 'service NAME', or 'split NAME WEIGHT' parts of which "
        "one has a weight above 0");
  }
  return rule;
}

std::string ReadKeyDigest(LineReader& reader) {
  constexpr std::string_view kDigestPrefix = "sha256:";
  const std::string text = reader.ReadWord("a key digest");
  if (reader.failed()) {
    return "";
  }
  const bool has_prefix = text.substr(0, kDigestPrefix.size()) == kDigestPrefix;
  const std::string digest =
      has_prefix ? text.substr(kDigestPrefix.size()) : "";
  const bool hexadecimal =
      digest.find_first_not_of("0123456789abcdef") == std::string::npos;
  if (digest.size() != kDigestHexDigits || !hexadecimal) {
    reader.AddError(
        "a key must be sha256: followed by 64 lower-case hex digits");
  }
  return digest;
}

Rule ParseOrganisation(LineReader& reader) {
  OrganisationRule rule{.name = reader.ReadWord("an organisation name")};
  while (const auto word = reader.NextWord()) {
    if (word->text == "rate") {
      rule.rate = reader.ReadNumber("rate", 0, kMaxRate);
    } else if (word->text == "burst") {
      rule.burst = reader.ReadNumber("burst", 0, kMaxRate);
    } else if (word->text == "unlimited") {
      rule.unlimited = true;
    } else if (word->text == "priority") {
      rule.priority =
          static_cast<int>(reader.ReadNumber("priority", 0, kMaxPriority));
    } else if (word->text == "key") {
      rule.key_digests.push_back(ReadKeyDigest(reader));
    } else {
      reader.AddError(
          "expected 'rate', 'burst', 'unlimited', 'priority' or 'key'");
      break;
    }
  }
  return rule;
}

Rule ParseCallers(LineReader& reader) {
  CallersRule rule;
  while (const auto word = reader.NextWord()) {
    if (word->text == "header-bytes") {
      rule.header_bytes =
          static_cast<int64_t>(reader.ReadNumber("size", 1, kMaxHeaderBytes));
    } else if (word->text == "body-bytes") {
      rule.body_bytes =
          static_cast<int64_t>(reader.ReadNumber("size", 0, kMaxBodyBytes));
    } else if (word->text == "header-timeout") {
      rule.header_timeout =
          reader.ReadDuration("header-timeout", kMaxConnectionTime);
    } else if (word->text == "idle-timeout") {
      rule.idle_timeout =
          reader.ReadDuration("idle-timeout", kMaxConnectionTime);
    } else {
      reader.AddError(
          "expected 'header-bytes', 'body-bytes', 'header-timeout' or "
          "'idle-timeout'");
      break;
    }
  }
  return rule;
}

void ExpectOut(LineReader& reader) {
  if (reader.ReadWord("'out'") != "out") {
    reader.AddError("expected 'out'");
  }
  if (reader.NextWord().has_value()) {
    reader.AddError("unexpected word after 'out'");
  }
}

Rule ParseZone(LineReader& reader) {
  ZoneOutRule rule{.zone = reader.ReadWord("an availability zone")};
  ExpectOut(reader);
  return rule;
}

Rule ParseUpstream(LineReader& reader) {
  UpstreamOutRule rule{.upstream = reader.ReadWord("an upstream")};
  ExpectOut(reader);
  return rule;
}

Rule ParseRollout(LineReader& reader) {
  RolloutRule rule{.service = reader.ReadWord("a service name")};
  while (const auto word = reader.NextWord()) {
    if (word->text == "version") {
      rule.version = reader.ReadWord("a version");
    } else if (word->text == "within") {
      rule.within = reader.ReadDuration("within");
    } else {
      reader.AddError("expected 'version' or 'within'");
      break;
    }
  }
  if (!reader.failed() && rule.version.empty()) {
    reader.AddError("a roll-out needs 'version VERSION'");
  }
  return rule;
}

Rule ParseRule(LineReader& reader) {
  const std::string kind = reader.ReadWord("a rule");
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
  if (kind == "rollout") {
    return ParseRollout(reader);
  }
  reader.AddError(
      "expected 'service', 'route', 'organisation', 'callers', 'zone', "
      "'upstream' or 'rollout'");
  return ServiceRule{};
}

class RuleFileParser {
 public:
  ParseResult Parse(std::string_view text) {
    int line_number = 0;
    while (!text.empty()) {
      const size_t end = std::min(text.find('\n'), text.size());
      this->ParseLine(text.substr(0, end), ++line_number);
      text.remove_prefix(std::min(end + 1, text.size()));
    }
    if (!this->errors.empty()) {
      return std::move(this->errors);
    }
    return std::move(this->rules);
  }

 private:
  void ParseLine(std::string_view line, int line_number) {
    const size_t comment_start = FindComment(line);
    const std::string_view rule_text = line.substr(0, comment_start);
    if (Trim(rule_text).empty()) {
      return;
    }
    const std::string_view comment = comment_start == std::string_view::npos
                                         ? ""
                                         : Trim(line.substr(comment_start + 1));
    if (comment.substr(0, kAskedByMarker.size()) != kAskedByMarker ||
        Trim(comment.substr(kAskedByMarker.size())).empty()) {
      this->errors.push_back(
          {.line = line_number,
           .column = static_cast<int>(rule_text.size()) + 1,
           .reason = "a rule must end in '# asked by: NAME'"});
      return;
    }
    LineReader reader(rule_text, line_number);
    Rule rule = ParseRule(reader);
    if (reader.failed()) {
      this->errors.push_back(*reader.first_error());
      return;
    }
    this->rules.push_back(
        {.rule = std::move(rule),
         .line = line_number,
         .asked_by = std::string(Trim(comment.substr(kAskedByMarker.size())))});
  }

  std::vector<ParsedRule> rules;
  std::vector<RuleError> errors;
};

}  // namespace

ParseResult ParseRules(std::string_view text) {
  return RuleFileParser().Parse(text);
}

}  // namespace kingcupstair::config
