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

std::string Departures::StartName(const Announcement& announcement) {
  return StartName(announcement.id, announcement.incarnation);
}

bool Departures::Add(const std::string& name, Instant now) {
  return this->last_heard.insert_or_assign(name, now).second;
}

bool Departures::Contains(const std::string& name) const {
  return this->last_heard.contains(name);
}

bool Departures::Covers(const Announcement& announcement) const {
  return this->Contains(StartName(announcement));
}

void Departures::Expire(Instant now) {
  std::erase_if(this->last_heard, [&](const auto& entry) {
    return now - entry.second > kRetention;
  });
}

std::vector<std::string> Departures::Names() const {
  std::vector<std::string> names;
  for (const auto& [name, heard_at] : this->last_heard) {
    names.push_back(name);
  }
  return names;
}

}  // namespace kingcupstair::guard
