#include "components/membership/prober.h"

#include <algorithm>

namespace kingcupstair::membership {

Prober::Prober(uint64_t seed) : random(seed) {}

std::optional<std::string> Prober::NextTarget(
    const std::vector<std::string>& hosts) {
  while (!this->round.empty()) {
    const std::string next = this->round.back();
    this->round.pop_back();
    if (std::find(hosts.begin(), hosts.end(), next) != hosts.end()) {
      return next;
    }
  }
  if (hosts.empty()) {
    return std::nullopt;
  }
  this->round = hosts;
  std::shuffle(this->round.begin(), this->round.end(), this->random);
  const std::string next = this->round.back();
  this->round.pop_back();
  return next;
}

std::vector<std::string> Prober::RandomHostsExcept(
    const std::vector<std::string>& hosts,
    const std::string& excluded,
    size_t count) {
  std::vector<std::string> chosen = hosts;
  std::erase(chosen, excluded);
  std::shuffle(chosen.begin(), chosen.end(), this->random);
  chosen.resize(std::min(count, chosen.size()));
  return chosen;
}

std::vector<std::string> Prober::HostsToTell(
    const std::vector<std::string>& hosts,
    const std::string& own_host,
    size_t count) {
  std::vector<std::string> others = hosts;
  std::erase(others, own_host);
  if (others.empty() || count == 0) {
    return {};
  }
  std::sort(others.begin(), others.end());
  auto next = std::upper_bound(others.begin(), others.end(), own_host);
  const std::string successor = next == others.end() ? others.front() : *next;
  auto chosen = this->RandomHostsExcept(others, successor, count - 1);
  chosen.push_back(successor);
  return chosen;
}

}  // namespace kingcupstair::membership
