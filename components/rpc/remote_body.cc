#include "components/rpc/remote_body.h"

#include <algorithm>
#include <utility>

#include <boost/fiber/future.hpp>

#include "components/base/error.h"
#include "components/fibers/worker_pool.h"
#include "components/http/byte_lease.h"
#include "components/http/response_memory.h"
#include "components/rpc/call_timeout.h"

namespace kingcupstair::rpc {
namespace {

constexpr char kStep[] = "response body";
/// Size of one part. A part is in memory twice for a moment.
constexpr size_t kPartBytes = size_t{256} * 1024;
/// Timeout of one part. The connection may be dead without an error; the body
/// can then be asked for over a new one.
constexpr Duration kPartTimeout{std::chrono::milliseconds(1200)};
constexpr Duration kMemoryPollInterval{std::chrono::milliseconds(5)};

// The memory of the whole body is taken at once: bodies that each had a part of
// theirs would wait for each other.
bool WaitForMemory(const http::ByteLeasePtr& lease,
                   size_t bytes,
                   Instant deadline) {
  while (lease != nullptr &&
         lease->TryGrow(bytes) != http::ByteBudget::Grant::kGranted) {
    if (MonotonicNow() >= deadline) {
      return false;
    }
    fibers::SleepFor(kMemoryPollInterval);
  }
  return true;
}

}  // namespace

RemoteBody::RemoteBody(EventLoop& loop,
                       wire::Ticket::Client ticket,
                       Options options)
    : loop(loop),
      options(std::move(options)),
      ticket(std::make_shared<wire::Ticket::Client>(kj::mv(ticket))) {}

RemoteBody::~RemoteBody() {
  this->loop.Post([held = std::move(this->ticket)]() mutable { held.reset(); });
}

absl::StatusOr<http::Body> RemoteBody::Read(Duration timeout) {
  const Instant deadline = MonotonicNow() + timeout;
  const ErrorOrigin origin{.step = kStep, .peer = this->options.host};
  if (this->options.bytes > http::kMaxResponseBodyBytes) {
    return ErrorAt(absl::StatusCode::kUnavailable, origin,
                   "the body is longer than a response may be");
  }
  const http::ByteLeasePtr lease =
      http::ByteLease::Take(http::ByteBudget::Kind::kResponse);
  if (!WaitForMemory(lease, this->options.bytes, deadline)) {
    return ErrorAt(absl::StatusCode::kResourceExhausted, origin,
                   "no memory for the response before the deadline of the "
                   "request");
  }
  std::string text;
  text.reserve(this->options.bytes);
  while (text.size() < this->options.bytes) {
    const size_t size = std::min(kPartBytes, this->options.bytes - text.size());
    const Duration remaining = deadline - MonotonicNow();
    if (remaining <= Duration{}) {
      return ErrorAt(absl::StatusCode::kDeadlineExceeded, origin,
                     "not read before the deadline of the request");
    }
    const auto part =
        this->ReadPart(text.size(), size, std::min(kPartTimeout, remaining));
    if (!part.ok()) {
      return part.status();
    }
    if (part->size() != size) {
      return ErrorAt(absl::StatusCode::kUnavailable, origin,
                     "the part has another size than was asked for");
    }
    text += *part;
  }
  return http::Body(std::move(text), lease);
}

absl::StatusOr<std::string> RemoteBody::ReadPart(size_t offset,
                                                 size_t size,
                                                 Duration timeout) {
  auto reply =
      std::make_shared<boost::fibers::promise<absl::StatusOr<std::string>>>();
  auto future = reply->get_future();
  this->loop.Post([&loop = this->loop, options = this->options,
                   ticket = this->ticket, offset, size, timeout, reply] {
    auto request = ticket->bodyPartRequest();
    request.setOffset(offset);
    request.setSize(static_cast<uint32_t>(size));
    options.traffic->AddMessage(TrafficPurpose::kRun, request);
    kj::Promise<std::string> part = request.send().then([](auto response) {
      const auto bytes = response.getBytes();
      return std::string(reinterpret_cast<const char*>(bytes.begin()),
                         bytes.size());
    });
    loop.AddTask(WithTimeout(loop, kj::mv(part), timeout)
                     .then(
                         [reply](std::string text) {
                           reply->set_value(std::move(text));
                         },
                         [reply, host = options.host](kj::Exception&& error) {
                           reply->set_value(FromException(host, kStep, error));
                         }));
  });
  return future.get();
}

}  // namespace kingcupstair::rpc
