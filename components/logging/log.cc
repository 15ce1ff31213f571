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

/// Holds some seconds of lines if a few kinds are written at the limit of 100
/// lines per second each.
constexpr int kBufferedLines = 1024;
constexpr std::chrono::milliseconds kFlushPollInterval{10};
/// Half a second in total. A reader that is not blocked takes the buffered
/// lines in much less time.
constexpr int kMaxFlushPolls = 50;

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

bool TakeLine(const std::string& message, uint64_t& suppressed) {
  static std::mutex mutex;
  static LineBudget budget({});
  const std::lock_guard lock(mutex);
  return budget.Take(message, MonotonicNow(), suppressed);
}

}  // namespace

// The appender passes lines to its own thread and drops lines when the buffer
// of that thread is full. A reader that stops reading loses lines, but does not
// delay the threads that write them.
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
  for (int i = 0; i < kMaxFlushPolls && !done; ++i) {
    std::this_thread::sleep_for(kFlushPollInterval);
  }
  if (done) {
    writer.join();
  } else {
    writer.detach();
  }
}

// The diagnostic context (MDC) belongs to the thread. No fiber yields between
// adding and removing the fields, so lines of different fibers can't mix.
void Write(Level level,
           const std::string& message,
           const std::vector<Field>& fields) {
  const log4cxx::LoggerPtr& logger = ProgramLogger();
  if (logger == nullptr || !logger->isEnabledFor(ToLog4cxx(level))) {
    return;
  }
  uint64_t suppressed = 0;
  if (!TakeLine(message, suppressed)) {
    return;
  }
  if (suppressed > 0) {
    log4cxx::MDC::put("left_out", std::to_string(suppressed));
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
