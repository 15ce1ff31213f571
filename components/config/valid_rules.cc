#include "components/config/valid_rules.h"

#include <set>
#include <utility>
#include <variant>

#include "components/config/configuration.h"

namespace kingcupstair::config {
namespace {

/// Empties the lines, so that the others keep their numbers.
std::string WithoutLines(const std::string& text, const std::set<int>& lines) {
  std::string kept;
  int number = 1;
  for (size_t start = 0; start < text.size(); ++number) {
    const size_t end = std::min(text.find('\n', start), text.size());
    if (!lines.contains(number)) {
      kept.append(text, start, end - start);
    }
    kept.push_back('\n');
    start = end + 1;
  }
  return kept;
}

}  // namespace

// Once a rule is left out, others may be invalid: a route whose service is
// gone. Each round leaves out at least one.
ValidRules KeepValidRules(std::string text) {
  ValidRules valid{.text = std::move(text)};
  while (true) {
    auto built = Configuration::Build(0, valid.text);
    auto* errors = std::get_if<std::vector<RuleError>>(&built);
    if (errors == nullptr) {
      return valid;
    }
    std::set<int> lines;
    for (RuleError& error : *errors) {
      lines.insert(error.line);
      valid.left_out.push_back(std::move(error));
    }
    valid.text = WithoutLines(valid.text, lines);
  }
}

}  // namespace kingcupstair::config
