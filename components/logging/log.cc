#include "components/logging/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>

#include <memory>

namespace kingcupstair::logging {
namespace {

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

}  // namespace

void Init(const std::string& program) {
  auto layout = std::make_shared<log4cxx::JSONLayout>();
  layout->setPrettyPrint(false);
  auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  log4cxx::BasicConfigurator::configure(appender);
  ProgramLogger() = log4cxx::Logger::getLogger(program);
  ProgramLogger()->setLevel(log4cxx::Level::getInfo());
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
  for (const Field& field : fields) {
    log4cxx::MDC::put(field.name, field.value);
  }
  logger->forcedLog(ToLog4cxx(level), message);
  for (const Field& field : fields) {
    log4cxx::MDC::remove(field.name);
  }
}

}  // namespace kingcupstair::logging
