#include "components/guard/departures.h"

#include "absl/strings/str_cat.h"

namespace kingcupstair::guard {
namespace {

/// Longer than an announcement can be delayed on its way.
constexpr Duration kRetention{std::chrono::seconds(60)};

}  // namespace

std::string Departures::StartName(const std::string& upstream,
                                  const std::string& incarnation) {
  return absl::StrCat(upstream, "/", incarnation);
}

bool Departures::Add(const std::string& start, Instant now) {
  return this->last_heard.insert_or_assign(start, now).second;
}

bool Departures::Contains(const std::string& start) const {
  return this->last_heard.contains(start);
}

void Departures::Expire(Instant now) {
  std::erase_if(this->last_heard, [&](const auto& entry) {
    return now - entry.second > kRetention;
  });
}

std::vector<std::string> Departures::Starts() const {
  std::vector<std::string> starts;
  for (const auto& [start, heard_at] : this->last_heard) {
    starts.push_back(start);
  }
  return starts;
}

}  // namespace kingcupstair::guard
