#include "components/guard/departures.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace kingcupstair::guard {
namespace {

/// Longer than an announcement can be delayed on its way.
constexpr Duration kRetention{std::chrono::seconds(60)};

std::string StartsUntilPrefix(const std::string& upstream) {
  return absl::StrCat(upstream, "/until@");
}

}  // namespace

std::string Departures::StartName(const std::string& upstream,
                                  const std::string& incarnation) {
  return absl::StrCat(upstream, "/", incarnation);
}

std::string Departures::StartName(const Announcement& announcement) {
  return StartName(announcement.id, announcement.incarnation);
}

std::string Departures::StartsUntilName(const std::string& upstream,
                                        uint64_t until_millis) {
  return absl::StrCat(StartsUntilPrefix(upstream), until_millis);
}

bool Departures::IsName(const std::string& name) {
  const size_t slash = name.find('/');
  return slash != std::string::npos && IsUpstreamId(name.substr(0, slash)) &&
         IsIncarnation(name.substr(slash + 1));
}

bool Departures::Add(const std::string& name, Instant now) {
  return this->last_heard.insert_or_assign(name, now).second;
}

bool Departures::Contains(const std::string& name) const {
  return this->last_heard.contains(name);
}

bool Departures::Covers(const Announcement& announcement) const {
  return this->Contains(StartName(announcement)) ||
         this->FindCovering(announcement.id, announcement.started_at)
             .has_value();
}

std::string Departures::NameOfStartsUntil(const std::string& upstream,
                                          const StartsBegun& starts) const {
  return this->FindCovering(upstream, starts.begun)
      .value_or(StartsUntilName(
          upstream, starts.begun + static_cast<uint64_t>(
                                       ToMillisRoundedUp(starts.margin))));
}

std::optional<std::string> Departures::FindCovering(const std::string& upstream,
                                                    uint64_t started_at) const {
  const std::string prefix = StartsUntilPrefix(upstream);
  for (auto at = this->last_heard.lower_bound(prefix);
       at != this->last_heard.end() && at->first.rfind(prefix, 0) == 0; ++at) {
    uint64_t until_millis = 0;
    if (absl::SimpleAtoi(at->first.substr(prefix.size()), &until_millis) &&
        started_at <= until_millis) {
      return at->first;
    }
  }
  return std::nullopt;
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
