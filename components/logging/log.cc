#include "components/logging/log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "components/base/time.h"
#include "components/logging/line_budget.h"

namespace kingcupstair::logging {
namespace {

/// Some seconds of lines at the budget of a few kinds.
constexpr int kBufferedLines = 1024;
constexpr std::chrono::milliseconds kFlushPoll{10};
/// A reader that reads takes the buffered lines well within half a second.
constexpr int kFlushPolls = 50;

log4cxx::LoggerPtr& ProgramLogger() {
  static log4cxx::LoggerPtr logger;
  return logger;
}

log4cxx::LevelPtr ToLog4cxx(Level level) {
  switch (level) {
    case Level::kDebug:
      return log4cxx::Level::getDebug();
    case Level::kInfo:
      return log4cxx::Level::getInfo();
    case Level::kWarning:
      return log4cxx::Level::getWarn();
    case Level::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

bool TakeLine(const std::string& message, uint64_t& left_out) {
  static std::mutex mutex;
  static LineBudget budget({});
  const std::lock_guard lock(mutex);
  return budget.Take(message, MonotonicNow(), left_out);
}

}  // namespace

// The appender hands lines to a thread of its own and drops them when that is
// behind, so a reader that stops reading costs lines and not latency.
void Init(const std::string& program) {
  auto layout = std::make_shared<log4cxx::JSONLayout>();
  layout->setPrettyPrint(false);
  auto console = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemOut());
  auto appender = std::make_shared<log4cxx::AsyncAppender>();
  appender->setBufferSize(kBufferedLines);
  appender->setBlocking(false);
  appender->addAppender(console);
  log4cxx::BasicConfigurator::configure(appender);
  ProgramLogger() = log4cxx::Logger::getLogger(program);
  ProgramLogger()->setLevel(log4cxx::Level::getInfo());
}

void Flush() {
  std::atomic<bool> done{false};
  std::thread writer([&done] {
    log4cxx::LogManager::shutdown();
    done = true;
  });
  for (int i = 0; i < kFlushPolls && !done; ++i) {
    std::this_thread::sleep_for(kFlushPoll);
  }
  if (done) {
    writer.join();
  } else {
    writer.detach();
  }
}

// The context is per thread, and a fiber never yields between the puts and the
// removals, so lines of different fibers can't mix.
void Write(Level level,
           const std::string& message,
           const std::vector<Field>& fields) {
  const log4cxx::LoggerPtr& logger = ProgramLogger();
  if (logger == nullptr || !logger->isEnabledFor(ToLog4cxx(level))) {
    return;
  }
  uint64_t left_out = 0;
  if (!TakeLine(message, left_out)) {
    return;
  }
  if (left_out > 0) {
    log4cxx::MDC::put("left_out", std::to_string(left_out));
  }
  for (const Field& field : fields) {
    log4cxx::MDC::put(field.name, field.value);
  }
  logger->forcedLog(ToLog4cxx(level), message);
  for (const Field& field : fields) {
    log4cxx::MDC::remove(field.name);
  }
  log4cxx::MDC::remove("left_out");
}

}  // namespace kingcupstair::logging
