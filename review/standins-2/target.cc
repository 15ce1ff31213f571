#include "review/standins-2/target.h"

#include <sys/socket.h>

#include <optional>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

namespace review {
namespace {

constexpr Millis kIdleTime{10'000};
constexpr Millis kCallTime{1000};
constexpr Millis kStep{10};

int64_t UnixMillis() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

void Runs::Add(Run run) {
  const std::lock_guard lock(this->mutex);
  this->list.push_back(std::move(run));
}

std::vector<Run> Runs::All() const {
  const std::lock_guard lock(this->mutex);
  return this->list;
}

std::vector<Run> Runs::Of(const std::string& attempt_id) const {
  std::vector<Run> found;
  for (Run& run : this->All()) {
    if (run.attempt_id == attempt_id) {
      found.push_back(std::move(run));
    }
  }
  return found;
}

Target::Target(Options initial_options, Runs& runs)
    : options(std::move(initial_options)),
      runs(runs),
      listener(Listen(this->options.port)),
      own_port(PortOf(this->listener)),
      born_at(UnixMillis()) {
  ++this->threads;
  std::thread([this] {
    this->Accept();
    --this->threads;
  }).detach();
}

Target::~Target() {
  this->Stop();
}

void Target::Stop() {
  this->stopped = true;
  this->beats = false;
  shutdown(this->listener.descriptor(), SHUT_RDWR);
  {
    const std::lock_guard lock(this->mutex);
    for (const auto& each : this->connections) {
      if (const auto connection = each.lock()) {
        shutdown(connection->descriptor(), SHUT_RDWR);
      }
    }
  }
  while (this->threads > 0) {
    Pause(kStep);
  }
  this->listener.Close();
}

void Target::BeginHeartbeats() {
  this->beats = true;
  ++this->threads;
  std::thread([this] {
    auto next = Clock::now();
    while (this->beats) {
      if (Clock::now() >= next) {
        this->SendHeartbeat(this->NextHeartbeat("in_service"));
        next = Clock::now() + this->options.heartbeat;
      }
      Pause(kStep);
    }
    --this->threads;
  }).detach();
}

std::string Target::NextHeartbeat(const std::string& state) {
  return nlohmann::json{
      {"service", this->options.service},
      {"address", "127.0.0.1:" + std::to_string(this->own_port)},
      {"zone", this->options.zone},
      {"version", "v1"},
      {"slots", this->options.slots},
      {"state", state},
      {"warmupLeft", "0ms"},
      {"sequence", ++this->sequence},
      {"born", this->born_at}}
      .dump();
}

int Target::SendHeartbeat(const std::string& body) const {
  return Call(this->options.control_port, "PUT",
              "/v1/instances/" + this->options.id,
              {{"Host", "control"}, {"Content-Type", "application/json"}}, body,
              kCallTime)
      .status;
}

int Target::SendDelete() const {
  return Call(this->options.control_port, "DELETE",
              "/v1/instances/" + this->options.id, {{"Host", "control"}}, "",
              kCallTime)
      .status;
}

void Target::SetFault(Fault changed) {
  const std::lock_guard lock(this->mutex);
  this->fault = std::move(changed);
}

void Target::Accept() {
  while (!this->stopped) {
    const int fd =
        accept4(this->listener.descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      return;
    }
    auto connection = std::make_shared<Socket>(fd);
    {
      const std::lock_guard lock(this->mutex);
      this->connections.push_back(connection);
    }
    ++this->threads;
    std::thread([this, connection] {
      this->Serve(connection);
      --this->threads;
    }).detach();
  }
}

void Target::Serve(const std::shared_ptr<Socket>& connection) {
  MessageReader reader(*connection);
  while (!this->stopped) {
    const auto request = reader.Read(kIdleTime);
    if (!request.has_value()) {
      return;
    }
    Fault present;
    {
      const std::lock_guard lock(this->mutex);
      present = this->fault;
    }
    const auto faulty =
        present ? present(*connection, *request) : std::optional<bool>();
    const bool goes_on =
        faulty.has_value() ? *faulty
                           : SendAll(*connection, this->UsualAnswer(*request));
    if (!goes_on) {
      return;
    }
  }
}

std::string Target::UsualAnswer(const Message& request) {
  return request.Target() == this->options.health_path ? this->HealthAnswer()
                                                       : this->Answer(request);
}

void Target::RecordRun(const Message& request) {
  this->runs.Add({.attempt_id = request.Find("X-Attempt-Id"),
                  .target_id = this->options.id,
                  .body = this->options.keeps_bodies ? request.body : "",
                  .at = SinceStart()});
}

std::string Target::Answer(const Message& request) {
  const std::string attempt_id = request.Find("X-Attempt-Id");
  if (attempt_id.empty()) {
    return FormatResponse(400, {{"X-Not-Executed", "1"}}, "");
  }
  const std::string expected = request.Find("X-Expected-Instance");
  if (!expected.empty() && expected != this->options.id) {
    return FormatResponse(
        421,
        {{"X-Attempt-Id", attempt_id}, {"X-Instance-Id", this->options.id}},
        "");
  }
  ++this->running;
  this->RecordRun(request);
  Pause(this->options.work);
  --this->running;
  return FormatResponse(
      200,
      {{"X-Attempt-Id", attempt_id}, {"X-Response-Seal", "s." + attempt_id}},
      "answer to " + attempt_id);
}

std::string Target::HealthAnswer() const {
  return FormatResponse(200, {{"X-Instance-Id", this->options.id}},
                        "{\"healthy\":true}");
}

}  // namespace review
