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

constexpr int kRaceTries = 5;

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

bool IsSound(const std::string& source, const std::string& text) {
  const auto built = config::Configuration::Build(1, text);
  const auto* faults = std::get_if<std::vector<config::RuleError>>(&built);
  if (faults == nullptr) {
    return true;
  }
  for (const config::RuleError& fault : *faults) {
    std::cerr << source << ": " << ToText(fault) << "\n";
  }
  std::cerr << source << ": refused whole; nothing changed\n";
  return false;
}

int Fail(const absl::Status& status) {
  return settings::ReportError("kingcupstairctl", status);
}

class PublishReport {
 public:
  explicit PublishReport(const store::StoredConfiguration& base) : base(base) {}

  int operator()(const store::Published& published) const {
    std::cout << "revision " << published.revision << "\n";
    return settings::kExitOk;
  }

  int operator()(const store::LostRace& lost) const {
    std::cerr << "not applied: " << lost.winner.head.author
              << " came first with revision " << lost.winner.head.revision
              << " (" << lost.winner.head.summary << "), which changed:\n"
              << config::DescribeDifference(this->base.text, lost.winner.text)
              << "nothing of yours is in force\n";
    return settings::kExitFailed;
  }

 private:
  const store::StoredConfiguration& base;
};

int PublishAndReport(const store::Client& client,
                     const store::StoredConfiguration& base,
                     const store::Change& change) {
  const auto result = store::Publish(client, base, change);
  if (!result.ok()) {
    std::cerr << "outcome not known; see 'show' before trying again: ";
    return Fail(result.status());
  }
  return std::visit(PublishReport(base), *result);
}

}  // namespace

int CheckFile(const std::string& path) {
  const auto text = ReadFile(path);
  if (!text.has_value() || !IsSound(path, *text)) {
    return settings::kExitFailed;
  }
  std::cout << path << ": sound\n";
  return settings::kExitOk;
}

int ApplyFile(const CommandLine& line, const std::string& path) {
  const auto text = ReadFile(path);
  if (!text.has_value() || !IsSound(path, *text)) {
    return settings::kExitFailed;
  }
  const store::Client client({.server = line.store});
  const auto base = store::ReadConfiguration(client);
  if (!base.ok()) {
    return Fail(base.status());
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
    return Fail(stored.status());
  }
  std::cout << "# revision " << stored->head.revision << " by "
            << stored->head.author << ": " << stored->head.summary << "\n"
            << stored->text;
  return settings::kExitOk;
}

// A short edit does not depend on the rest of the file, so after a lost race it
// is made again on top of the winner.
int TakeOut(const CommandLine& line,
            config::OutKind kind,
            const std::string& name,
            bool out) {
  const store::Client client({.server = line.store});
  for (int i = 0; i < kRaceTries; ++i) {
    const auto base = store::ReadConfiguration(client);
    if (!base.ok()) {
      return Fail(base.status());
    }
    const std::string text =
        out ? config::WithOut(base->text, kind, name, line.author)
            : config::WithBackIn(base->text, kind, name);
    if (text == base->text) {
      std::cout << "nothing to change at revision " << base->head.revision
                << "\n";
      return settings::kExitOk;
    }
    if (!IsSound("the edited rules", text)) {
      return settings::kExitFailed;
    }
    const store::Change change{
        .text = text,
        .author = line.author,
        .summary = absl::StrCat(out ? "out: " : "in: ", name)};
    const auto result = store::Publish(client, *base, change);
    if (!result.ok()) {
      std::cerr << "outcome not known; see 'show' before trying again: ";
      return Fail(result.status());
    }
    if (std::holds_alternative<store::Published>(*result)) {
      return std::visit(PublishReport(*base), *result);
    }
  }
  std::cerr << "not applied: others kept coming first\n";
  return settings::kExitFailed;
}

int RemoveHost(const CommandLine& line, const std::string& host) {
  const store::Client client({.server = line.store});
  const auto entry = client.Get(store::kSharesKey);
  if (!entry.ok()) {
    return Fail(entry.status());
  }
  auto table = limits::DecodeShareTable(entry->value);
  if (!table.ok()) {
    return Fail(table.status());
  }
  if (!table->Remove(host)) {
    std::cerr << "no such host, or the last one: " << host << "\n";
    return settings::kExitFailed;
  }
  const auto put = client.Put(store::kSharesKey,
                              limits::EncodeShareTable(*table), entry->version);
  if (!put.ok()) {
    return Fail(put.status());
  }
  if (*put == store::PutResult::kConflict) {
    std::cerr << "the table has just changed; try again\n";
    return settings::kExitFailed;
  }
  std::cout << "removed " << host << "\n";
  return settings::kExitOk;
}

}  // namespace kingcupstair
