#include "review/standins/target.h"

#include <nlohmann/json.hpp>

namespace kingcupstair::review {
namespace {

constexpr Millis kCallTimeout{1000};
constexpr Millis kStopPollInterval{20};
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;

int64_t UnixMillis() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

void RunLog::Add(const Run& run) {
  const std::lock_guard lock(this->mutex);
  this->runs.push_back(run);
}

std::vector<Run> RunLog::All() const {
  const std::lock_guard lock(this->mutex);
  return this->runs;
}

Target::Target(Options options, RunLog& runs, Record& record)
    : own_options(std::move(options)),
      runs(runs),
      record(record),
      server(this->own_options.address, [this](const HttpMessage& request) {
        return this->Serve(request);
      }) {}

Target::~Target() {
  this->StopHeartbeats();
  this->End();
}

void Target::Start() {
  this->born = UnixMillis();
  this->server.Open();
  this->sends_heartbeats = true;
  this->heartbeats = std::thread([this] { this->SendHeartbeats(); });
}

void Target::StopHeartbeats() {
  this->sends_heartbeats = false;
  if (this->heartbeats.joinable()) {
    this->heartbeats.join();
  }
}

void Target::End() {
  this->server.Close();
}

void Target::SendHeartbeats() {
  while (this->sends_heartbeats) {
    const auto next = Clock::now() + this->own_options.heartbeat;
    this->Deliver(this->MakeHeartbeat("in_service"));
    while (this->sends_heartbeats && Clock::now() < next) {
      std::this_thread::sleep_for(kStopPollInterval);
    }
  }
}

std::string Target::MakeHeartbeat(const std::string& state) {
  return nlohmann::json{{"service", this->own_options.service},
                        {"address", ToText(this->own_options.address)},
                        {"zone", this->own_options.zone},
                        {"version", "v1"},
                        {"slots", this->own_options.slots},
                        {"state", state},
                        {"warmupLeft", "0ms"},
                        {"born", this->born},
                        {"sequence", ++this->sequence}}
      .dump();
}

int Target::Deliver(const std::string& heartbeat) {
  const auto answer =
      Exchange(this->own_options.control,
               MakeRequest("PUT", "/v1/instances/" + this->own_options.id,
                           {{"Host", ToText(this->own_options.control)},
                            {"Content-Type", "application/json"}},
                           heartbeat),
               kCallTimeout);
  return answer.has_value() ? answer->Status() : 0;
}

int Target::Leave() {
  const auto answer =
      Exchange(this->own_options.control,
               MakeRequest("DELETE", "/v1/instances/" + this->own_options.id,
                           {{"Host", ToText(this->own_options.control)}}),
               kCallTimeout);
  return answer.has_value() ? answer->Status() : 0;
}

std::optional<HttpMessage> Target::Serve(const HttpMessage& request) {
  if (request.Target() == "/health") {
    return MakeResponse(kOk, {{"X-Instance-Id", this->own_options.id}});
  }
  const std::string attempt = request.Find("X-Attempt-Id");
  if (attempt.empty()) {
    return MakeResponse(kBadRequest, {{"X-Not-Executed", "1"}});
  }
  const Header echo{"X-Attempt-Id", attempt};
  const std::string expected = request.Find("X-Expected-Instance");
  if (!expected.empty() && expected != this->own_options.id) {
    return MakeResponse(kMisdirected,
                        {echo, {"X-Instance-Id", this->own_options.id}});
  }
  if (++this->running > this->own_options.slots) {
    --this->running;
    return MakeResponse(kUnavailable, {echo, {"X-Not-Executed", "1"}});
  }
  this->runs.Add({.at = this->record.Now(),
                  .target = this->own_options.id,
                  .attempt = attempt,
                  .method = request.Method(),
                  .path = request.Target(),
                  .tenant = request.Find("X-Tenant-Id")});
  this->record.Write("run      " + attempt + " at " + this->own_options.id +
                     " for " + request.Find("X-Tenant-Id") + " " +
                     request.start);
  std::this_thread::sleep_for(this->own_options.work);
  const int others = --this->running;
  return MakeResponse(
      kOk,
      {echo,
       {"X-Response-Seal", "seal-" + attempt + "-" + this->own_options.id},
       {"X-Server-Load", std::to_string(others) + ",0," +
                             std::to_string(this->own_options.slots)}},
      "answer to " + attempt);
}

}  // namespace kingcupstair::review
