#ifndef REVIEW_STANDINS_STORE_H_
#define REVIEW_STANDINS_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "review/standins/http.h"

namespace kingcupstair::review {

/// The platform's store, as its page of the protocol describes it: linearizable
/// and without loss.
class Store {
 public:
  /// Answers one call of the system.
  HttpMessage Handle(const HttpMessage& request);

  /// Writes as the operator does.
  void Put(const std::string& key, const std::string& value);
  /// Deletes as the operator does.
  void Delete(const std::string& key);

 private:
  struct Item {
    std::string encoded_value;
    uint64_t revision = 0;
    uint64_t created = 0;
    uint64_t lease = 0;
  };

  struct Event {
    std::string key;
    uint64_t revision = 0;
    /// Empty for a deletion.
    std::vector<Item> item;
  };

  struct Lease {
    Millis lifetime{};
    Clock::time_point expires;
  };

  using Query = std::map<std::string, std::string>;
  using Lock = std::unique_lock<std::mutex>;

  HttpMessage ReadKey(const Query& query);
  HttpMessage ReadRange(const Query& query);
  HttpMessage Watch(const Query& query, Lock& lock);
  HttpMessage Transact(const nlohmann::json& body);
  HttpMessage GrantLease(const nlohmann::json& body);
  HttpMessage RenewLease(uint64_t id);
  HttpMessage EndLease(uint64_t id);
  void ExpireLeases();
  void PutLocked(const std::string& key,
                 const std::string& encoded_value,
                 uint64_t lease);
  void DeleteLocked(const std::string& key);
  static nlohmann::json ToJson(const std::string& key, const Item& item);

  std::mutex mutex;
  std::condition_variable changed;
  uint64_t revision = 100;
  uint64_t last_lease = 7000;
  std::map<std::string, Item> items;
  std::vector<Event> events;
  std::map<uint64_t, Lease> leases;
};

}  // namespace kingcupstair::review

#endif  // REVIEW_STANDINS_STORE_H_
