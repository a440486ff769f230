#include "amaranthwind/telemetry/Log4cplusSink.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/hierarchy.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/log4cplus.h>
#include <log4cplus/logger.h>
#include <log4cplus/loglevel.h>

#include <exception>
#include <string>
#include <utility>

namespace amaranthwind::telemetry {

namespace {

log4cplus::LogLevel
ToLog4cplus(LogLevel aLevel) noexcept
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

} // namespace

struct Log4cplusSink::Impl
{
  // Started first and shut down last.
  log4cplus::Initializer initializer;
  // A hierarchy of its own, so that an embedding program keeps its loggers.
  log4cplus::Hierarchy hierarchy;
  log4cplus::Logger logger = this->hierarchy.getRoot();
  LogLevel level = LogLevel::Info;
};

Log4cplusSink::Log4cplusSink(const settings::LogSettings& aSettings)
  : impl(std::make_unique<Impl>())
{
  // The pool only serves asynchronous appenders, which are not used; log4cplus
  // starts four threads for it.
  log4cplus::setThreadPoolSize(1);
  this->impl->level = aSettings.level;
  // Flushed at once: the last lines before a crash are the most useful.
  log4cplus::SharedAppenderPtr appender(
    new log4cplus::ConsoleAppender(true, true));
  appender->setLayout(
    std::make_unique<log4cplus::PatternLayout>(aSettings.layout));
  this->impl->logger.addAppender(std::move(appender));
  this->impl->logger.setLogLevel(ToLog4cplus(aSettings.level));
}

Log4cplusSink::~Log4cplusSink()
{
  this->impl->hierarchy.shutdown();
}

bool
Log4cplusSink::IsEnabled(LogLevel aLevel) const noexcept
{
  return aLevel >= this->impl->level;
}

void
Log4cplusSink::Write(LogLevel aLevel, std::string_view aLine) noexcept
{
  try {
    this->impl->logger.forcedLog(ToLog4cplus(aLevel), std::string(aLine));
  } catch (const std::exception&) {
    // A line that cannot be written must not stop the process.
    return;
  }
}

} // namespace amaranthwind::telemetry
