#include "apps/kingcupstairctl/config_commands.h"

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <variant>

#include "absl/strings/str_cat.h"
#include "components/config/configuration.h"
#include "components/limits/share_table.h"
#include "components/settings/flag_set.h"
#include "components/store/keys.h"
#include "components/store/publisher.h"

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
    std::cout << "revision " << published.revision << "\n";
    return settings::kExitOk;
  }

  int operator()(const store::VersionConflict& conflict) const {
    std::cerr << "not applied: " << conflict.stored.head.author
              << " came first with revision " << conflict.stored.head.revision
              << " (" << conflict.stored.head.summary << "), which changed:\n"
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
  std::cout << "# revision " << stored->head.revision << " by "
            << stored->head.author << ": " << stored->head.summary << "\n"
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
      std::cout << "no change needed at revision " << base->head.revision
                << "\n";
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
  const auto entry = client.Get(store::kSharesKey);
  if (!entry.ok()) {
    return ReportFailure(entry.status());
  }
  auto table = limits::DecodeShareTable(entry->value);
  if (!table.ok()) {
    return ReportFailure(table.status());
  }
  if (!table->Remove(host)) {
    std::cerr << "not in the share table, or the last host there: " << host
              << "\n";
    return settings::kExitFailed;
  }
  const auto put = client.Put(store::kSharesKey,
                              limits::EncodeShareTable(*table), entry->version);
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
