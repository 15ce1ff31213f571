#include "components/store/client.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "components/base/error.h"
#include "components/http/client.h"

namespace kingcupstair::store {
namespace {

constexpr int kNotFound = 404;
/// Longest listing that is read.
constexpr size_t kMaxListingBytes = size_t{64} * 1024 * 1024;

}  // namespace

Client::Client(Options options) : options(std::move(options)) {}

absl::StatusOr<http::Response> Client::SendRequest(
    const char* step,
    const http::Request& request,
    Duration timeout,
    const CancellationPtr& cancellation,
    bool reuse_connection) const {
  http::Result result = http::Exchange(
      {.server = this->options.server,
       .request = request,
       .timeout = timeout,
       .transfer_timeout = this->options.transfer_timeout,
       .reuse_connection = reuse_connection && request.method == "GET" &&
                           this->may_reuse_connections->load(),
       .detect_silence = true,
       .counts_as_message = false,
       .cancellation = cancellation,
       .finish_begun_response = true});
  this->may_reuse_connections->store(result.ok());
  if (!result.ok()) {
    return ErrorAt(result.failure.status.code(),
                   {.step = step, .peer = ToText(this->options.server)},
                   MessageOf(result.failure.status));
  }
  const auto& read_era = this->options.protocol.read_era;
  const auto number = read_era ? read_era(result.response) : std::nullopt;
  const uint64_t era = number.has_value() ? *number + 1 : 0;
  if (number.has_value() && era < this->era()) {
    return ErrorAt(
        absl::StatusCode::kUnavailable,
        {.step = step, .peer = ToText(this->options.server)},
        absl::StrCat("the response is of era ", era,
                     ", the store has been restored to era ", this->era()));
  }
  this->RecordEra(era);
  return std::move(result.response);
}

void Client::RecordEra(uint64_t era) const {
  uint64_t known = this->latest_era->load();
  while (era > known && !this->latest_era->compare_exchange_weak(known, era)) {
  }
}

absl::StatusOr<Entry> Client::Get(const std::string& key,
                                  const ReadOptions& read_options) const {
  const auto response = this->SendRequest(
      "read", this->options.protocol.get(key), this->options.timeout, nullptr,
      read_options.reuse_connection);
  return response.ok() ? this->options.protocol.read_entry(*response)
                       : response.status();
}

absl::StatusOr<Entry> Client::Watch(const std::string& key,
                                    uint64_t after,
                                    Duration wait,
                                    const CancellationPtr& cancellation) const {
  const auto response = this->SendRequest(
      "watch", this->options.protocol.watch_key(key, after, wait),
      wait + this->options.timeout, cancellation);
  return response.ok() ? this->options.protocol.read_entry(*response)
                       : response.status();
}

absl::StatusOr<Listing> Client::List(const std::string& prefix,
                                     bool may_be_stale) const {
  Listing listing;
  std::string after;
  size_t bytes = 0;
  do {
    const auto response = this->SendRequest(
        "list",
        this->options.protocol.list(
            {.prefix = prefix, .after = after, .may_be_stale = may_be_stale}),
        this->options.timeout);
    if (!response.ok()) {
      return response.status();
    }
    auto page = this->options.protocol.read_listing(*response);
    if (!page.ok()) {
      return page.status();
    }
    const uint64_t era = this->era();
    if (after.empty()) {
      listing.revision = page->revision;
      listing.era = era;
    }
    if (listing.era != era) {
      return ErrorAt(absl::StatusCode::kAborted,
                     {.step = "list", .peer = ToText(this->options.server)},
                     "the store was restored between two pages");
    }
    listing.more = page->more && !page->entries.empty();
    if (listing.more && page->entries.back().key <= after) {
      return this->ListingError(absl::StrCat("a page after ", after,
                                             " ends at the key ",
                                             page->entries.back().key));
    }
    for (KeyedEntry& entry : page->entries) {
      bytes += entry.key.size() + entry.entry.value.size();
      after = entry.key;
      listing.entries.push_back(std::move(entry));
    }
    if (bytes > kMaxListingBytes) {
      return this->ListingError(absl::StrCat("the entries below ", prefix,
                                             " have more than ",
                                             kMaxListingBytes, " bytes"));
    }
  } while (listing.more);
  return listing;
}

absl::Status Client::ListingError(const std::string& reason) const {
  return ErrorAt(absl::StatusCode::kDataLoss,
                 {.step = "list", .peer = ToText(this->options.server)},
                 reason);
}

absl::StatusOr<Changes> Client::WatchPrefix(const WatchCall& call) const {
  const auto response =
      this->SendRequest("watch", this->options.protocol.watch(call),
                        call.wait + this->options.timeout, call.cancellation);
  if (!response.ok()) {
    return response.status();
  }
  auto changes = this->options.protocol.read_changes(*response);
  if (changes.ok()) {
    changes->era = this->era();
  }
  return changes;
}

absl::StatusOr<PutResult> Client::Write(const PutCall& call) const {
  const auto response = this->SendRequest(
      "write", this->options.protocol.put(call), this->options.timeout);
  return response.ok() ? this->options.protocol.read_put(*response)
                       : response.status();
}

absl::StatusOr<PutResult> Client::Put(const std::string& key,
                                      const std::string& value,
                                      uint64_t expected) const {
  return this->Write({.key = key, .value = value, .expected = expected});
}

absl::StatusOr<PutResult> Client::PutLeased(const std::string& key,
                                            const std::string& value,
                                            LeaseId lease) const {
  return this->Write({.key = key, .value = value, .lease = lease});
}

absl::Status Client::Overwrite(const std::string& key,
                               const std::string& value) const {
  return this->Write({.key = key, .value = value}).status();
}

absl::Status Client::Delete(const std::string& key) const {
  return this
      ->SendRequest("delete", this->options.protocol.remove(key),
                    this->options.timeout)
      .status();
}

absl::StatusOr<LeaseId> Client::GrantLease(Duration lifetime) const {
  const auto response = this->SendRequest(
      "grant lease", this->options.protocol.grant_lease(lifetime),
      this->options.timeout);
  return response.ok() ? this->options.protocol.read_lease(*response)
                       : response.status();
}

absl::StatusOr<bool> Client::RenewLease(LeaseId lease) const {
  const auto response = this->SendRequest(
      "renew lease", this->options.protocol.renew_lease(lease),
      this->options.timeout);
  if (!response.ok()) {
    return response.status();
  }
  if (response->status == kNotFound) {
    return false;
  }
  constexpr int kFirstErrorStatus = 300;
  if (response->status >= kFirstErrorStatus) {
    return absl::UnavailableError(
        "the store answered the lease renewal with an error status");
  }
  return true;
}

}  // namespace kingcupstair::store
