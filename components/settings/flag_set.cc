#include "components/settings/flag_set.h"

#include <getopt.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <iostream>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "components/base/error.h"

namespace kingcupstair::settings {
namespace {

constexpr char kVersion[] = "0.1.0";
constexpr int kHelpValue = 1000;
constexpr int kVersionValue = 1001;

std::string EnvironmentName(const std::string& flag) {
  std::string name = "KINGCUPSTAIR_";
  for (const char c : flag) {
    name.push_back(c == '-' ? '_' : static_cast<char>(std::toupper(c)));
  }
  return name;
}

std::vector<option> LongOptions(const std::vector<Flag>& flags) {
  std::vector<option> options;
  for (size_t i = 0; i < flags.size(); ++i) {
    options.push_back({flags[i].name.c_str(), required_argument, nullptr,
                       static_cast<int>(i)});
  }
  options.push_back({"help", no_argument, nullptr, kHelpValue});
  options.push_back({"version", no_argument, nullptr, kVersionValue});
  options.push_back({nullptr, 0, nullptr, 0});
  return options;
}

}  // namespace

std::optional<int> ExitCodeOf(ParseOutcome outcome) {
  switch (outcome) {
    case ParseOutcome::kRun:
      return std::nullopt;
    case ParseOutcome::kExitOk:
      return kExitOk;
    case ParseOutcome::kExitUsage:
      return kExitUsage;
  }
  return kExitUsage;
}

int ReportError(const std::string& program, const absl::Status& status) {
  const auto message = status.message();
  std::cerr << program << ": "
            << std::string_view(message.data(), message.size()) << "\n";
  return kExitFailed;
}

FlagSet::FlagSet(std::string program, std::string summary)
    : program(std::move(program)), summary(std::move(summary)) {}

void FlagSet::Add(Flag flag) {
  this->flags.push_back(std::move(flag));
}

ParseOutcome FlagSet::Parse(int argc,
                            char** argv,
                            std::vector<std::string>& arguments) {
  const std::vector<option> options = LongOptions(this->flags);
  std::vector<bool> given(this->flags.size(), false);
  opterr = 0;
  optind = 0;
  int value = 0;
  while ((value = getopt_long(argc, argv, ":", options.data(), nullptr)) !=
         -1) {
    if (value == kHelpValue) {
      std::cout << this->HelpText();
      return ParseOutcome::kExitOk;
    }
    if (value == kVersionValue) {
      std::cout << this->program << " " << kVersion << "\n";
      return ParseOutcome::kExitOk;
    }
    if (value == '?' || value == ':') {
      this->errors.push_back(
          absl::StrCat(argv[optind - 1],
                       value == '?' ? ": unknown flag" : ": requires a value"));
      continue;
    }
    const auto index = static_cast<size_t>(value);
    given[index] = true;
    this->Apply(this->flags[index], absl::StrCat("--", this->flags[index].name),
                optarg);
  }
  this->ApplyEnvironment(given);
  arguments.assign(argv + optind, argv + argc);
  for (const std::string& error : this->errors) {
    std::cerr << this->program << ": " << error << "\n";
  }
  return this->errors.empty() ? ParseOutcome::kRun : ParseOutcome::kExitUsage;
}

void FlagSet::ApplyEnvironment(const std::vector<bool>& given) {
  for (size_t i = 0; i < this->flags.size(); ++i) {
    const Flag& flag = this->flags[i];
    const std::string name = EnvironmentName(flag.name);
    const char* value = given[i] ? nullptr : std::getenv(name.c_str());
    if (value != nullptr) {
      this->Apply(flag, name, value);
    } else if (flag.required && !given[i]) {
      this->errors.push_back(absl::StrCat("--", flag.name, " or ", name,
                                          " must be set: ", flag.help));
    }
  }
}

void FlagSet::Apply(const Flag& flag,
                    const std::string& source,
                    const std::string& value) {
  const absl::Status status = flag.set(value);
  if (!status.ok()) {
    this->errors.push_back(
        absl::StrCat(source, "='", value, "': ", MessageOf(status)));
  }
}

std::string FlagSet::HelpText() const {
  std::string text = absl::StrCat(this->summary, "\n\nSettings:\n");
  for (const Flag& flag : this->flags) {
    absl::StrAppend(&text, "  --", flag.name, "  (", EnvironmentName(flag.name),
                    ")\n      ", flag.help,
                    flag.required ? "; must be set\n" : "\n");
  }
  absl::StrAppend(&text,
                  "  --help\n  --version\n\nExit codes: 0 success, 1 failed, 2 "
                  "invalid settings or arguments.\n");
  return text;
}

Setter SetText(std::string& target) {
  return [&target](const std::string& text) -> absl::Status {
    if (text.empty()) {
      return absl::InvalidArgumentError("must not be empty");
    }
    target = text;
    return absl::OkStatus();
  };
}

Setter SetEndpoint(Endpoint& target) {
  return [&target](const std::string& text) -> absl::Status {
    const auto endpoint = ParseEndpoint(text);
    if (endpoint.ok()) {
      target = *endpoint;
    }
    return endpoint.status();
  };
}

Setter SetEndpoints(std::vector<Endpoint>& target) {
  return [&target](const std::string& text) -> absl::Status {
    target.clear();
    for (const absl::string_view part :
         absl::StrSplit(text, ',', absl::SkipEmpty())) {
      const auto endpoint =
          ParseEndpoint(std::string_view(part.data(), part.size()));
      if (!endpoint.ok()) {
        return endpoint.status();
      }
      target.push_back(*endpoint);
    }
    return absl::OkStatus();
  };
}

Setter SetInteger(int& target, int low, int high) {
  return [&target, low, high](const std::string& text) -> absl::Status {
    int value = 0;
    if (!absl::SimpleAtoi(text, &value) || value < low || value > high) {
      return absl::InvalidArgumentError(
          absl::StrCat("expected a whole number from ", low, " to ", high));
    }
    target = value;
    return absl::OkStatus();
  };
}

Setter SetFraction(double& target) {
  return [&target](const std::string& text) -> absl::Status {
    double value = 0;
    if (!absl::SimpleAtod(text, &value) || !(value >= 0 && value <= 1)) {
      return absl::InvalidArgumentError("expected a number from 0 to 1");
    }
    target = value;
    return absl::OkStatus();
  };
}

Setter SetNumber(double& target) {
  return [&target](const std::string& text) -> absl::Status {
    double value = 0;
    if (!absl::SimpleAtod(text, &value) || !(value >= 0)) {
      return absl::InvalidArgumentError("expected a number of at least 0");
    }
    target = value;
    return absl::OkStatus();
  };
}

Setter SetMillis(Duration& target, int64_t low, int64_t high) {
  return [&target, low, high](const std::string& text) -> absl::Status {
    int64_t value = 0;
    if (!absl::SimpleAtoi(text, &value) || value < low || value > high) {
      return absl::InvalidArgumentError(
          absl::StrCat("expected milliseconds from ", low, " to ", high));
    }
    target = std::chrono::milliseconds(value);
    return absl::OkStatus();
  };
}

}  // namespace kingcupstair::settings
