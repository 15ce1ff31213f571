#include "apps/kingcupstairctl/config_commands.h"

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <variant>

#include "absl/strings/str_cat.h"
#include "components/config/configuration.h"
#include "components/config/revision.h"
#include "components/limits/share_table.h"
#include "components/settings/flag_set.h"
#include "components/store/publisher.h"
#include "components/store/shares.h"

namespace kingcupstair {
namespace {

constexpr int kMaxPublishTries = 5;

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << path << ": cannot be read\n";
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Returns true if `text` is a valid configuration, else prints its errors.
bool ValidateRules(const std::string& source, const std::string& text) {
  const auto built = config::Configuration::Build(1, text);
  const auto* errors = std::get_if<std::vector<config::RuleError>>(&built);
  if (errors == nullptr) {
    return true;
  }
  for (const config::RuleError& error : *errors) {
    std::cerr << source << ": " << ToText(error) << "\n";
  }
  std::cerr << source
            << ": refused as a whole; the stored rules are unchanged\n";
  return false;
}

int ReportFailure(const absl::Status& status) {
  return settings::ReportError("kingcupstairctl", status);
}

/// Prints the result of a write to the store and returns the exit code.
class PublishResultPrinter {
 public:
  explicit PublishResultPrinter(const store::StoredConfiguration& base)
      : base(base) {}

  int operator()(const store::Published& published) const {
    std::cout << "revision " << config::RevisionText(published.revision)
              << "\n";
    return settings::kExitOk;
  }

  int operator()(const store::VersionConflict& conflict) const {
    std::cerr << "not applied: " << conflict.stored.head.author
              << " came first with revision "
              << config::RevisionText(conflict.stored.head.revision) << " ("
              << conflict.stored.head.summary << "), which changed:\n"
              << config::DescribeDifference(this->base.text,
                                            conflict.stored.text)
              << "nothing of your change was stored\n";
    return settings::kExitFailed;
  }

 private:
  const store::StoredConfiguration& base;
};

int PublishAndReport(const store::Client& client,
                     const store::StoredConfiguration& base,
                     const store::ConfigurationChange& change) {
  const auto result = store::Publish(client, base, change);
  if (!result.ok()) {
    std::cerr
        << "outcome of the write unknown; run 'show' before trying again: ";
    return ReportFailure(result.status());
  }
  return std::visit(PublishResultPrinter(base), *result);
}

}  // namespace

int CheckFile(const std::string& path) {
  const auto text = ReadFile(path);
  if (!text.has_value() || !ValidateRules(path, *text)) {
    return settings::kExitFailed;
  }
  std::cout << path << ": valid\n";
  return settings::kExitOk;
}

int ApplyFile(const CommandLine& line, const std::string& path) {
  const auto text = ReadFile(path);
  if (!text.has_value() || !ValidateRules(path, *text)) {
    return settings::kExitFailed;
  }
  const store::Client client({.server = line.store});
  const auto base = store::ReadConfiguration(client);
  if (!base.ok()) {
    return ReportFailure(base.status());
  }
  std::cout << config::DescribeDifference(base->text, *text);
  return PublishAndReport(client, *base,
                          {.text = *text,
                           .author = line.author,
                           .summary = absl::StrCat("apply ", path)});
}

int ShowConfiguration(const CommandLine& line) {
  const auto stored =
      store::ReadConfiguration(store::Client({.server = line.store}));
  if (!stored.ok()) {
    return ReportFailure(stored.status());
  }
  std::cout << "# revision " << config::RevisionText(stored->head.revision)
            << " by " << stored->head.author << ": " << stored->head.summary
            << "\n"
            << stored->text;
  return settings::kExitOk;
}

// The edit does not depend on the rest of the text, so after a version conflict
// it is applied again to the newer configuration.
int SetOutOfService(const CommandLine& line,
                    config::OutRuleKind kind,
                    const std::string& name,
                    bool out) {
  const store::Client client({.server = line.store});
  for (int i = 0; i < kMaxPublishTries; ++i) {
    const auto base = store::ReadConfiguration(client);
    if (!base.ok()) {
      return ReportFailure(base.status());
    }
    const std::string text =
        out ? config::AddOutRule(base->text, kind, name, line.author)
            : config::RemoveOutRules(base->text, kind, name);
    if (text == base->text) {
      std::cout << "no change needed at revision "
                << config::RevisionText(base->head.revision) << "\n";
      return settings::kExitOk;
    }
    if (!ValidateRules("the edited rules", text)) {
      return settings::kExitFailed;
    }
    const store::ConfigurationChange change{
        .text = text,
        .author = line.author,
        .summary = absl::StrCat(out ? "out: " : "in: ", name)};
    const auto result = store::Publish(client, *base, change);
    if (!result.ok()) {
      std::cerr
          << "outcome of the write unknown; run 'show' before trying again: ";
      return ReportFailure(result.status());
    }
    if (std::holds_alternative<store::Published>(*result)) {
      return std::visit(PublishResultPrinter(*base), *result);
    }
  }
  std::cerr << "not applied: every try met a version conflict in the store\n";
  return settings::kExitFailed;
}

int RemoveHost(const CommandLine& line, const std::string& host) {
  const store::Client client({.server = line.store});
  const auto stored = store::ReadShareTable(client);
  if (!stored.ok()) {
    return ReportFailure(stored.status());
  }
  if (stored->of_former_era) {
    std::cerr << "not removed: the store was restored and the hosts have not "
                 "written the share table again yet; try again in some "
                 "seconds\n";
    return settings::kExitFailed;
  }
  limits::ShareTable table = stored->table;
  if (!table.Remove(host)) {
    std::cerr << "not in the share table, or the last host there: " << host
              << "\n";
    return settings::kExitFailed;
  }
  const auto put = store::WriteShareTable(client, table, *stored);
  if (!put.ok()) {
    return ReportFailure(put.status());
  }
  if (*put == store::PutResult::kConflict) {
    std::cerr
        << "not removed: the share table in the store has changed; try again\n";
    return settings::kExitFailed;
  }
  std::cout << "removed " << host << "\n";
  return settings::kExitOk;
}

}  // namespace kingcupstair
