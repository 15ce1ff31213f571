#include "review/standins/site.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace kingcupstair::review {
namespace {

using nlohmann::json;

constexpr char kDeployFile[] = "deploy/system.toml";
constexpr char kHost[] = "ficu95.example";
constexpr Millis kReadyTimeout{20'000};
constexpr Millis kServingTimeout{20'000};
constexpr Millis kPollInterval{50};
constexpr Millis kProbeTimeout{500};
constexpr Millis kAnswerGrace{1000};
constexpr int kOk = 200;
/// The bounds of the site petalo-andino.
constexpr char kBounds[] =
    R"({"seedLag":"3s","addrReuse":"2s","contact":"3000ms","ack":"4000ms",)"
    R"("sync_time":"4s","drain":"2000ms","grace":"6s","lossSlack":"200ms",)"
    R"("configApply":"2000ms","rollbackSlack":"250ms","outer":"5000ms",)"
    R"("strictRevoke":false,"revoke":"5000ms","retryBudgetRatio":0.2,)"
    R"("retryWindow":"10s","budgetSlack":62,"quotaWindow":"5s",)"
    R"("quotaTolerance":0.1,"quotaSlack":20,"coldOver":1.5,"coldSlack":5,)"
    R"("evac":"5000ms","recovery":"15s","probesPerS":3,"floorShare":0.7})";

json Entry(const std::string& type, const std::string& name, json spec) {
  return {{"resourceType", type},
          {"metadata", {{"name", name}}},
          {"spec", std::move(spec)}};
}

json Route(const std::string& prefix, const std::string& type, int priority) {
  return {{"host", kHost},        {"prefix", prefix},
          {"routeType", type},    {"timeout", "4000ms"},
          {"priority", priority}, {"targetLatency", "1200ms"},
          {"service", kService},  {"maxAttempts", 3},
          {"anonymous", false}};
}

std::string StatusText(int status) {
  return status == 0 ? "no answer" : std::to_string(status);
}

}  // namespace

Verdict ReportUnusable(Record& record, const std::string& reason) {
  record.Write("the case could not run: " + reason);
  std::cout << "the case could not run: " << reason << "\n";
  return Verdict::kUnusable;
}

Site::Site(Options options)
    : options(std::move(options)),
      role(ReadDeployFile(kDeployFile)),
      own_record(this->options.record) {
  std::signal(SIGPIPE, SIG_IGN);
  int number = 0;
  for (const std::string& zone : this->options.zones) {
    for (size_t i = 0; i < this->options.machines_per_zone; ++i) {
      ++number;
      auto machine = std::make_unique<Machine>();
      const std::string ip = "127.0.9." + std::to_string(number);
      machine->zone = zone;
      machine->ip = ip;
      const auto address = [&ip] {
        return Address{.ip = ip, .port = FindFreePort(ip)};
      };
      machine->outbound = address();
      machine->peer = address();
      machine->control = address();
      machine->ready = address();
      machine->store_port = std::make_unique<HttpServer>(
          address(), [this, &seen = machine->watches_operator](
                         const HttpMessage& request) {
            if (request.Target().find("kv-watch?prefix=op") !=
                std::string::npos) {
              seen = true;
            }
            return std::optional(this->own_store.Handle(request));
          });
      machine->target = std::make_unique<Target>(
          Target::Options{.id = "i-" + zone + "-" + std::to_string(i + 1),
                          .service = kService,
                          .zone = zone,
                          .address = address(),
                          .control = machine->control,
                          .work = this->options.work},
          this->own_runs, this->own_record);
      this->all.push_back(std::move(machine));
    }
  }
}

Site::~Site() {
  this->StopLoad();
  for (const auto& machine : this->all) {
    machine->process.reset();
  }
}

json Site::Resources() const {
  const json limits = {{"maxHeaderBytes", 16384},
                       {"maxBodyBytes", 67108864},
                       {"headerTimeout", "3000ms"},
                       {"idleTimeout", "15000ms"}};
  const json service = {{"healthPath", "/health"}, {"maxConnections", 390},
                        {"protocol", "h1"},        {"tls", false},
                        {"warmup", "3s"},          {"warmupPerS", 27.0}};
  return json::array(
      {Entry("routes", "r-1", Route("/pedido/", "non_idempotent", 1)),
       Entry("routes", "r-2", Route("/estado/", "idempotent", 2)),
       Entry("services", kService, service),
       Entry("tenants", "huka270",
             {{"apiKeys", {kFirstKey}},
              {"priority", 1},
              {"ratePerS", 400},
              {"burst", 400}}),
       Entry("tenants", "puxo118",
             {{"apiKeys", {kSecondKey}},
              {"priority", 1},
              {"ratePerS", 400},
              {"burst", 400}}),
       Entry("limits", "", limits)});
}

void Site::Configure(const json& resources) {
  ++this->version;
  this->own_store.Put(
      "op/config",
      json{{"version", this->version}, {"resources", resources}}.dump());
  this->own_record.Write("operator configuration " +
                         std::to_string(this->version) + " is confirmed");
}

void Site::StartProcess(size_t machine) {
  Machine& at = *this->all.at(machine);
  const std::map<std::string, std::string> values{
      {"listenAddrs.outbound", ToText(at.outbound)},
      {"listenAddrs.control", ToText(at.control)},
      {"listenAddrs.ready", ToText(at.ready)},
      {"ip", at.ip},
      {"portRange.0", std::to_string(at.peer.port)},
      {"platform.address", ToText(at.store_port->address())},
      {"zone", at.zone},
      {"region", "arequipa"},
      {"service", kService},
      {"bounds", kBounds}};
  at.process = std::make_unique<Process>(
      FillIn(this->role.words, values), this->role.environment,
      this->options.logs + "/" + at.ip + ".log");
}

bool Site::IsReady(const Machine& machine) const {
  const auto answer = Exchange(
      machine.ready,
      MakeRequest("GET", "/v1/readiness", {{"Host", ToText(machine.ready)}}),
      kProbeTimeout);
  return answer.has_value() && answer->Status() == kOk;
}

bool Site::WaitFor(const std::function<bool()>& holds, Millis timeout) const {
  const auto until = Clock::now() + timeout;
  while (!holds()) {
    if (Clock::now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

bool Site::Start() {
  this->Configure(this->Resources());
  for (size_t i = 0; i < this->all.size(); ++i) {
    this->all[i]->store_port->Open();
    this->StartProcess(i);
  }
  for (const auto& machine : this->all) {
    machine->target->Start();
  }
  for (const auto& machine : this->all) {
    if (!this->WaitFor([&] { return this->IsReady(*machine); },
                       kReadyTimeout)) {
      return false;
    }
  }
  for (size_t i = 0; i < this->all.size(); ++i) {
    if (!this->WaitFor(
            [&] { return this->Request(i, "GET", kFirstKey).status == kOk; },
            kServingTimeout)) {
      return false;
    }
  }
  this->own_record.Write("all machines serve requests");
  return true;
}

Sent Site::Request(size_t machine,
                   const std::string& method,
                   const std::string& key,
                   Millis deadline) {
  const Machine& at = *this->all.at(machine);
  Sent result{.at = this->own_record.Now(),
              .attempt = "a" + std::to_string(++this->last_attempt),
              .method = method,
              .key = key,
              .host = machine};
  const std::string path =
      (method == "GET" ? "/estado/" : "/pedido/") + result.attempt;
  this->own_record.Write("send     " + result.attempt + " to " + at.ip + " " +
                         method + " " + path + " key " + key);
  const auto answer = Exchange(
      at.outbound,
      MakeRequest(method, path,
                  {{"Host", kHost},
                   {"X-Attempt-Id", result.attempt},
                   {"X-Deadline-Remaining", std::to_string(deadline.count())},
                   {"Authorization", "Token " + key}},
                  method == "GET" ? "" : "order"),
      deadline + kAnswerGrace);
  result.status = answer.has_value() ? answer->Status() : 0;
  result.ended_at = this->own_record.Now();
  this->own_record.Write(
      "answer   " + result.attempt + " " + StatusText(result.status) + " " +
      (answer.has_value() ? answer->Find("X-Response-Seal") : ""));
  const std::lock_guard lock(this->mutex);
  this->sent.push_back(result);
  return result;
}

void Site::StartLoad(double per_second, const std::vector<std::string>& keys) {
  this->loads = true;
  this->load = std::thread(
      [this, per_second, keys] { this->RunLoad(per_second, keys); });
}

void Site::StopLoad() {
  this->loads = false;
  if (this->load.joinable()) {
    this->load.join();
  }
}

// Each request has a thread of its own, so a slow one holds up no other.
void Site::RunLoad(double per_second, const std::vector<std::string>& keys) {
  std::vector<std::thread> requests;
  const auto interval = std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(1 / per_second));
  auto next = Clock::now();
  for (size_t i = 0; this->loads; ++i) {
    requests.emplace_back([this, i, &keys] {
      this->Request(i % this->all.size(), i % 3 == 0 ? "GET" : "POST",
                    keys[i % keys.size()]);
    });
    next += interval;
    std::this_thread::sleep_until(next);
  }
  for (std::thread& request : requests) {
    request.join();
  }
}

std::vector<Sent> Site::AllSent() const {
  const std::lock_guard lock(this->mutex);
  return this->sent;
}

void Site::SleepUntil(double at) const {
  const double left = at - this->own_record.Now();
  if (left > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(left));
  }
}

}  // namespace kingcupstair::review
