#ifndef REVIEW_STANDINS_2_STORE_H_
#define REVIEW_STANDINS_2_STORE_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/standins-2/net.h"

namespace review {

/// Stand-in of the platform's metadata store, as PROTOCOL.md describes it.
class Store {
 public:
  Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;
  ~Store();

  uint16_t port() const { return this->own_port; }

  /// Writes an item for the operator. Returns its revision.
  uint64_t Put(const std::string& key, const std::string& value);

 private:
  struct Item {
    /// Base64 text.
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
    uint64_t lease = 0;
  };
  struct Change {
    std::string key;
    Item item;
    bool deleted = false;
    uint64_t revision = 0;
  };
  struct Lease {
    Millis time{};
    Clock::time_point ends;
  };

  void Accept();
  void Serve(Socket connection);
  Message Handle(const Message& request);
  Message HandleKey(const std::map<std::string, std::string>& query);
  Message HandleRange(const std::map<std::string, std::string>& query);
  Message HandleWatch(const std::map<std::string, std::string>& query);
  Message HandleTransaction(const std::string& body);
  Message HandleGrant(const std::string& body);
  Message HandleKeep(uint64_t id);
  Message HandleEnd(uint64_t id);
  void ExpireLeases();
  void PutLocked(const std::string& key,
                 const std::string& value,
                 uint64_t lease,
                 uint64_t revision);
  void DeleteLocked(const std::string& key, uint64_t revision);

  Socket listener;
  uint16_t own_port = 0;
  std::atomic<bool> stopping{false};
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::vector<Change> history;
  std::map<uint64_t, Lease> leases;
  uint64_t revision = 100;
  uint64_t last_lease = 7000;
  std::thread acceptor;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_STORE_H_
