#include "review/standins/store.h"

#include <algorithm>
#include <cstdlib>
#include <thread>

namespace kingcupstair::review {
namespace {

using nlohmann::json;

constexpr Millis kAnswerTime{4};
constexpr Millis kWatchPollInterval{20};
constexpr size_t kMaxItemsPerPage = 500;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kConflict = 412;
constexpr char kKeepPrefix[] = "/v1/kv-keep/";
constexpr char kEndPrefix[] = "/v1/kv-lease-end/";

HttpMessage Answer(int status, const json& body) {
  return MakeResponse(status, {{"Content-Type", "application/json"}},
                      body.dump());
}

std::string EncodeBase64(const std::string& text) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (size_t i = 0; i < text.size(); i += 3) {
    uint32_t bits = 0;
    for (size_t j = 0; j < 3; ++j) {
      const unsigned char byte =
          i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0;
      bits = bits << 8U | byte;
    }
    for (size_t j = 0; j < 4; ++j) {
      const bool padding = i + j > text.size();
      encoded +=
          padding
              ? '='
              : kDigits[bits >> (6U * (3U - static_cast<uint32_t>(j))) & 63U];
    }
  }
  return encoded;
}

std::string Decode(const std::string& text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> query;
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t end = std::min(target.find('&', at + 1), target.size());
    const std::string part = target.substr(at + 1, end - at - 1);
    const size_t equals = std::min(part.find('='), part.size());
    query[part.substr(0, equals)] =
        equals < part.size() ? Decode(part.substr(equals + 1)) : "";
    at = end < target.size() ? end : std::string::npos;
  }
  return query;
}

uint64_t NumberOf(const std::map<std::string, std::string>& query,
                  const std::string& name) {
  const auto found = query.find(name);
  return found == query.end()
             ? 0
             : std::strtoull(found->second.c_str(), nullptr, 10);
}

std::string TextOf(const std::map<std::string, std::string>& query,
                   const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? "" : found->second;
}

bool HasPrefix(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

Millis ParseDuration(const std::string& text) {
  char* unit = nullptr;
  const double count = std::strtod(text.c_str(), &unit);
  const double factor = std::string(unit) == "s" ? 1000 : 1;
  return Millis(static_cast<int64_t>(count * factor));
}

}  // namespace

HttpMessage Store::Handle(const HttpMessage& request) {
  std::this_thread::sleep_for(kAnswerTime);
  const std::string target = request.Target();
  const std::string path = target.substr(0, target.find('?'));
  const Query query = ParseQuery(target);
  const json body = json::parse(request.body, nullptr, false);
  Lock lock(this->mutex);
  this->ExpireLeases();
  if (path == "/v1/kv-key") {
    return this->ReadKey(query);
  }
  if (path == "/v1/kv-range") {
    return this->ReadRange(query);
  }
  if (path == "/v1/kv-watch") {
    return this->Watch(query, lock);
  }
  if (path == "/v1/kv-txn" && body.is_object()) {
    return this->Transact(body);
  }
  if (path == "/v1/kv-lease" && body.is_object()) {
    return this->GrantLease(body);
  }
  if (HasPrefix(path, kKeepPrefix)) {
    return this->RenewLease(std::strtoull(
        path.substr(sizeof(kKeepPrefix) - 1).c_str(), nullptr, 10));
  }
  if (HasPrefix(path, kEndPrefix)) {
    return this->EndLease(std::strtoull(
        path.substr(sizeof(kEndPrefix) - 1).c_str(), nullptr, 10));
  }
  return Answer(kBadRequest, json::object());
}

void Store::Put(const std::string& key, const std::string& value) {
  const Lock lock(this->mutex);
  ++this->revision;
  this->PutLocked(key, EncodeBase64(value), 0);
  this->changed.notify_all();
}

void Store::Delete(const std::string& key) {
  const Lock lock(this->mutex);
  ++this->revision;
  this->DeleteLocked(key);
  this->changed.notify_all();
}

json Store::ToJson(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", item.encoded_value},
          {"rev", item.revision},
          {"createRevision", item.created},
          {"lease", item.lease}};
}

HttpMessage Store::ReadKey(const Query& query) {
  const std::string key = TextOf(query, "key");
  const auto found = this->items.find(key);
  if (found == this->items.end()) {
    return Answer(kNotFound, {{"currentRev", this->revision}});
  }
  json item = ToJson(key, found->second);
  item["currentRev"] = this->revision;
  return Answer(kOk, item);
}

HttpMessage Store::ReadRange(const Query& query) {
  const std::string prefix = TextOf(query, "prefix");
  const std::string after = TextOf(query, "after");
  json page = json::array();
  bool more = false;
  for (const auto& [key, item] : this->items) {
    if (!HasPrefix(key, prefix) || (!after.empty() && key <= after)) {
      continue;
    }
    if (page.size() == kMaxItemsPerPage) {
      more = true;
      break;
    }
    page.push_back(ToJson(key, item));
  }
  return Answer(
      kOk,
      {{"items", page}, {"hasMore", more}, {"currentRev", this->revision}});
}

HttpMessage Store::Watch(const Query& query, Lock& lock) {
  const std::string prefix = TextOf(query, "prefix");
  const uint64_t after = NumberOf(query, "after");
  const auto until = Clock::now() + Millis(NumberOf(query, "waitMs"));
  json found = json::array();
  while (true) {
    for (const Event& event : this->events) {
      if (event.revision <= after || !HasPrefix(event.key, prefix)) {
        continue;
      }
      found.push_back(event.item.empty()
                          ? json{{"key", event.key},
                                 {"rev", event.revision},
                                 {"tombstone", true}}
                          : ToJson(event.key, event.item.front()));
    }
    if (!found.empty() || Clock::now() >= until) {
      break;
    }
    this->changed.wait_for(lock, kWatchPollInterval);
    this->ExpireLeases();
  }
  return Answer(kOk, {{"events", found}, {"currentRev", this->revision}});
}

HttpMessage Store::Transact(const json& body) {
  json current = json::array();
  bool holds = true;
  for (const json& row : body.value("expect", json::array())) {
    const auto found = this->items.find(row.at("key").get<std::string>());
    const bool exists = found != this->items.end();
    holds = holds && row.at("rev").get<uint64_t>() ==
                         (exists ? found->second.revision : 0);
    if (exists) {
      current.push_back(ToJson(found->first, found->second));
    }
  }
  if (!holds) {
    return Answer(kConflict, {{"items", current}});
  }
  const json puts = body.value("puts", json::array());
  const json deletes = body.value("deletes", json::array());
  for (const json& put : puts) {
    const auto key = put.at("key").get<std::string>();
    const auto lease = put.value("lease", uint64_t{0});
    if (HasPrefix(key, "op/") || HasPrefix(key, "servers/")) {
      return Answer(kForbidden, json::object());
    }
    if (lease != 0 && this->leases.count(lease) == 0) {
      return Answer(kNotFound, json::object());
    }
  }
  ++this->revision;
  for (const json& put : puts) {
    this->PutLocked(put.at("key").get<std::string>(),
                    put.at("value").get<std::string>(),
                    put.value("lease", uint64_t{0}));
  }
  for (const json& key : deletes) {
    this->DeleteLocked(key.get<std::string>());
  }
  this->changed.notify_all();
  return Answer(kOk, {{"rev", this->revision}});
}

HttpMessage Store::GrantLease(const json& body) {
  const auto text = body.value("ttl_time", std::string("10s"));
  const Millis lifetime = ParseDuration(text);
  this->leases[++this->last_lease] = {.lifetime = lifetime,
                                      .expires = Clock::now() + lifetime};
  return Answer(kOk, {{"lease", this->last_lease}, {"ttl_time", text}});
}

HttpMessage Store::RenewLease(uint64_t id) {
  const auto found = this->leases.find(id);
  if (found == this->leases.end()) {
    return Answer(kNotFound, json::object());
  }
  found->second.expires = Clock::now() + found->second.lifetime;
  return Answer(kOk, {{"ttl_time",
                       std::to_string(found->second.lifetime.count()) + "ms"}});
}

HttpMessage Store::EndLease(uint64_t id) {
  const auto found = this->leases.find(id);
  if (found != this->leases.end()) {
    found->second.expires = Clock::now();
    this->ExpireLeases();
  }
  return Answer(kOk, json::object());
}

void Store::ExpireLeases() {
  const auto now = Clock::now();
  for (auto lease = this->leases.begin(); lease != this->leases.end();) {
    if (lease->second.expires > now) {
      ++lease;
      continue;
    }
    std::vector<std::string> expired;
    for (const auto& [key, item] : this->items) {
      if (item.lease == lease->first) {
        expired.push_back(key);
      }
    }
    ++this->revision;
    for (const std::string& key : expired) {
      this->DeleteLocked(key);
    }
    lease = this->leases.erase(lease);
    this->changed.notify_all();
  }
}

void Store::PutLocked(const std::string& key,
                      const std::string& encoded_value,
                      uint64_t lease) {
  Item& item = this->items[key];
  item.encoded_value = encoded_value;
  item.created = item.created == 0 ? this->revision : item.created;
  item.revision = this->revision;
  item.lease = lease;
  this->events.push_back(
      {.key = key, .revision = this->revision, .item = {item}});
}

void Store::DeleteLocked(const std::string& key) {
  if (this->items.erase(key) > 0) {
    this->events.push_back({.key = key, .revision = this->revision});
  }
}

}  // namespace kingcupstair::review
