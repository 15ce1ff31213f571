#include "review/standins-2/store.h"

#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <utility>

#include <nlohmann/json.hpp>

namespace review {
namespace {

using nlohmann::json;

constexpr Millis kAnswerTime{4};
constexpr Millis kIdleTime{60'000};
constexpr Millis kWatchStep{50};
constexpr size_t kMaxItems = 500;

std::string EncodeBase64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    const auto at = [&](size_t offset) {
      return i + offset < bytes.size()
                 ? static_cast<unsigned char>(bytes[i + offset])
                 : 0U;
    };
    const unsigned group = at(0) << 16U | at(1) << 8U | at(2);
    const size_t left = bytes.size() - i;
    text.push_back(kDigits[group >> 18U & 63U]);
    text.push_back(kDigits[group >> 12U & 63U]);
    text.push_back(left > 1 ? kDigits[group >> 6U & 63U] : '=');
    text.push_back(left > 2 ? kDigits[group & 63U] : '=');
  }
  return text;
}

std::string DecodePercent(const std::string& text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded.push_back(static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16)));
      i += 2;
    } else {
      decoded.push_back(text[i]);
    }
  }
  return decoded;
}

std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> values;
  size_t begin = target.find('?');
  while (begin != std::string::npos && begin < target.size()) {
    const size_t end = std::min(target.find('&', begin + 1), target.size());
    const std::string part = target.substr(begin + 1, end - begin - 1);
    const size_t equals = part.find('=');
    if (equals != std::string::npos) {
      values[part.substr(0, equals)] = DecodePercent(part.substr(equals + 1));
    }
    begin = end == target.size() ? std::string::npos : end;
  }
  return values;
}

Message Reply(int status, const json& body) {
  Message message{.start = std::to_string(status)};
  message.body = body.dump();
  return message;
}

bool HasPrefix(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

uint64_t NumberIn(const std::map<std::string, std::string>& query,
                  const std::string& name) {
  const auto found = query.find(name);
  return found == query.end()
             ? 0
             : std::strtoull(found->second.c_str(), nullptr, 10);
}

std::string TextIn(const std::map<std::string, std::string>& query,
                   const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? "" : found->second;
}

Millis ParseTime(const std::string& text) {
  const double number = std::strtod(text.c_str(), nullptr);
  const bool in_millis = text.find("ms") != std::string::npos;
  return Millis(static_cast<int64_t>(in_millis ? number : number * 1000));
}

}  // namespace

Store::Store() : listener(Listen(0)), own_port(PortOf(this->listener)) {
  this->acceptor = std::thread([this] { this->Accept(); });
}

Store::~Store() {
  this->stopping = true;
  shutdown(this->listener.descriptor(), SHUT_RDWR);
  this->acceptor.join();
}

uint64_t Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(this->mutex);
  this->PutLocked(key, EncodeBase64(value), 0, ++this->revision);
  this->changed.notify_all();
  return this->revision;
}

void Store::Accept() {
  while (!this->stopping) {
    const int fd =
        accept4(this->listener.descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    std::thread([this, fd] { this->Serve(Socket(fd)); }).detach();
  }
}

void Store::Serve(Socket connection) {
  MessageReader reader(connection);
  while (!this->stopping) {
    const auto request = reader.Read(kIdleTime);
    if (!request.has_value()) {
      return;
    }
    Pause(kAnswerTime);
    const Message reply = this->Handle(*request);
    if (!SendAll(connection,
                 FormatResponse(std::atoi(reply.start.c_str()),
                                {{"Content-Type", "application/json"}},
                                reply.body))) {
      return;
    }
  }
}

Message Store::Handle(const Message& request) {
  const std::string target = request.Target();
  const std::string path = target.substr(0, target.find('?'));
  const auto query = ParseQuery(target);
  if (path == "/v1/kv-key") {
    return this->HandleKey(query);
  }
  if (path == "/v1/kv-range") {
    return this->HandleRange(query);
  }
  if (path == "/v1/kv-watch") {
    return this->HandleWatch(query);
  }
  if (path == "/v1/kv-txn") {
    return this->HandleTransaction(request.body);
  }
  if (path == "/v1/kv-lease") {
    return this->HandleGrant(request.body);
  }
  const uint64_t id =
      std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
  if (HasPrefix(path, "/v1/kv-keep/")) {
    return this->HandleKeep(id);
  }
  if (HasPrefix(path, "/v1/kv-lease-end/")) {
    return this->HandleEnd(id);
  }
  return Reply(404, json::object());
}

Message Store::HandleKey(const std::map<std::string, std::string>& query) {
  const std::lock_guard lock(this->mutex);
  this->ExpireLeases();
  const std::string key = TextIn(query, "key");
  const auto found = this->items.find(key);
  if (found == this->items.end()) {
    return Reply(404, {{"currentRev", this->revision}});
  }
  const Item& item = found->second;
  return Reply(200, {{"key", key},
                     {"value", item.value},
                     {"rev", item.revision},
                     {"createRevision", item.created},
                     {"lease", item.lease},
                     {"currentRev", this->revision}});
}

Message Store::HandleRange(const std::map<std::string, std::string>& query) {
  const std::lock_guard lock(this->mutex);
  this->ExpireLeases();
  const std::string prefix = TextIn(query, "prefix");
  const std::string after = TextIn(query, "after");
  json listed = json::array();
  bool more = false;
  for (const auto& [key, item] : this->items) {
    if (!HasPrefix(key, prefix) || key <= after) {
      continue;
    }
    if (listed.size() == kMaxItems) {
      more = true;
      break;
    }
    listed.push_back({{"key", key},
                      {"value", item.value},
                      {"rev", item.revision},
                      {"createRevision", item.created},
                      {"lease", item.lease}});
  }
  return Reply(
      200,
      {{"items", listed}, {"hasMore", more}, {"currentRev", this->revision}});
}

Message Store::HandleWatch(const std::map<std::string, std::string>& query) {
  const std::string prefix = TextIn(query, "prefix");
  const uint64_t after = NumberIn(query, "after");
  const auto until = Clock::now() + Millis(NumberIn(query, "waitMs"));
  std::unique_lock lock(this->mutex);
  while (true) {
    this->ExpireLeases();
    json events = json::array();
    for (const Change& change : this->history) {
      if (change.revision <= after || !HasPrefix(change.key, prefix)) {
        continue;
      }
      if (change.deleted) {
        events.push_back({{"key", change.key},
                          {"rev", change.revision},
                          {"tombstone", true}});
      } else {
        events.push_back({{"key", change.key},
                          {"value", change.item.value},
                          {"rev", change.item.revision},
                          {"createRevision", change.item.created},
                          {"lease", change.item.lease}});
      }
    }
    if (!events.empty() || Clock::now() >= until || this->stopping) {
      return Reply(200, {{"events", events}, {"currentRev", this->revision}});
    }
    this->changed.wait_for(lock, kWatchStep);
  }
}

Message Store::HandleTransaction(const std::string& body) {
  const json call = json::parse(body);
  const std::lock_guard lock(this->mutex);
  this->ExpireLeases();
  bool met = true;
  json current = json::array();
  for (const json& row : call.value("expect", json::array())) {
    const auto found = this->items.find(row.at("key").get<std::string>());
    const uint64_t at = found == this->items.end() ? 0 : found->second.revision;
    met = met && at == row.at("rev").get<uint64_t>();
    current.push_back({{"key", row.at("key")}, {"rev", at}});
  }
  if (!met) {
    return Reply(412, {{"items", current}});
  }
  const json puts = call.value("puts", json::array());
  for (const json& put : puts) {
    const uint64_t lease = put.value("lease", uint64_t{0});
    if (lease != 0 && !this->leases.contains(lease)) {
      return Reply(404, json::object());
    }
  }
  ++this->revision;
  for (const json& put : puts) {
    this->PutLocked(put.at("key").get<std::string>(),
                    put.at("value").get<std::string>(),
                    put.value("lease", uint64_t{0}), this->revision);
  }
  for (const json& key : call.value("deletes", json::array())) {
    this->DeleteLocked(key.get<std::string>(), this->revision);
  }
  this->changed.notify_all();
  return Reply(200, {{"rev", this->revision}});
}

Message Store::HandleGrant(const std::string& body) {
  const std::string text = json::parse(body).at("ttl_time").get<std::string>();
  const std::lock_guard lock(this->mutex);
  const uint64_t id = ++this->last_lease;
  const Millis time = ParseTime(text);
  this->leases[id] = {.time = time, .ends = Clock::now() + time};
  return Reply(200, {{"lease", id}, {"ttl_time", text}});
}

Message Store::HandleKeep(uint64_t id) {
  const std::lock_guard lock(this->mutex);
  this->ExpireLeases();
  const auto found = this->leases.find(id);
  if (found == this->leases.end()) {
    return Reply(404, json::object());
  }
  found->second.ends = Clock::now() + found->second.time;
  return Reply(
      200, {{"ttl_time", std::to_string(found->second.time.count()) + "ms"}});
}

Message Store::HandleEnd(uint64_t id) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->leases.find(id);
  if (found == this->leases.end()) {
    return Reply(404, json::object());
  }
  found->second.ends = Clock::now();
  this->ExpireLeases();
  return Reply(200, json::object());
}

void Store::ExpireLeases() {
  const auto now = Clock::now();
  for (auto at = this->leases.begin(); at != this->leases.end();) {
    if (at->second.ends > now) {
      ++at;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : this->items) {
      if (item.lease == at->first) {
        keys.push_back(key);
      }
    }
    at = this->leases.erase(at);
    if (!keys.empty()) {
      ++this->revision;
    }
    for (const std::string& key : keys) {
      this->DeleteLocked(key, this->revision);
    }
  }
}

void Store::PutLocked(const std::string& key,
                      const std::string& value,
                      uint64_t lease,
                      uint64_t at_revision) {
  Item& item = this->items[key];
  item = {.value = value,
          .revision = at_revision,
          .created = item.created == 0 ? at_revision : item.created,
          .lease = lease};
  this->history.push_back({.key = key, .item = item, .revision = at_revision});
}

void Store::DeleteLocked(const std::string& key, uint64_t at_revision) {
  if (this->items.erase(key) > 0) {
    this->history.push_back(
        {.key = key, .item = {}, .deleted = true, .revision = at_revision});
  }
}

}  // namespace review
