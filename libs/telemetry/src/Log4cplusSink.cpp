#include "amaranthwind/telemetry/Log4cplusSink.h"

#include "amaranthwind/base/BoundedQueue.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/hierarchy.h>
#include <log4cplus/layout.h>
#include <log4cplus/log4cplus.h>
#include <log4cplus/logger.h>
#include <log4cplus/loglevel.h>

#include <atomic>
#include <chrono>
#include <exception>
#include <string>
#include <thread>
#include <utility>

namespace amaranthwind::telemetry {

namespace {

/** Capacity of the line queue; at most a few hundred kilobytes. */
constexpr std::size_t kQueueLines = 2048;
constexpr base::Duration kPopTimeout = std::chrono::hours(1);
/** JSON lines already contain the time and the level. */
constexpr const char* kJsonLayout = "%m%n";

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
  // A separate hierarchy leaves the loggers of an embedding program unchanged.
  log4cplus::Hierarchy hierarchy;
  log4cplus::Logger logger = this->hierarchy.getRoot();
  LogLevel level = LogLevel::Info;
  LogFormat format = LogFormat::Text;

  struct Line
  {
    LogLevel level;
    std::string text;
  };
  base::BoundedQueue<Line> queue{ kQueueLines };
  std::atomic<std::uint64_t> dropped{ 0 };
  std::thread writer;

  void WriteQueuedLines()
  {
    while (true) {
      auto line = this->queue.PopFor(kPopTimeout);
      if (line) {
        this->logger.forcedLog(ToLog4cplus(line->level), line->text);
      } else if (this->queue.IsClosed()) {
        return;
      }
    }
  }
};

Log4cplusSink::Log4cplusSink(const settings::LogSettings& aSettings)
{
  // There is no matching deinitialize(): it waits for the threads of the
  // log4cplus pool, which has blocked process exit until the process was
  // killed.
  log4cplus::initialize();
  this->impl = std::make_unique<Impl>();
  // The pool, four threads by default, only serves asynchronous appenders,
  // which are not used.
  log4cplus::setThreadPoolSize(1);
  this->impl->level = aSettings.level;
  this->impl->format = aSettings.format;
  const bool isJson = aSettings.format == LogFormat::Json;
  // Flush each line: the last lines before a crash are the most useful.
  log4cplus::SharedAppenderPtr appender(
    new log4cplus::ConsoleAppender(!isJson, true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
    isJson ? kJsonLayout : aSettings.layout));
  this->impl->logger.addAppender(std::move(appender));
  this->impl->logger.setLogLevel(ToLog4cplus(aSettings.level));
  this->impl->writer = std::thread([this] { this->impl->WriteQueuedLines(); });
}

Log4cplusSink::~Log4cplusSink()
{
  this->impl->queue.Close();
  this->impl->writer.join();
  this->impl->hierarchy.shutdown();
}

bool
Log4cplusSink::IsEnabled(LogLevel aLevel) const noexcept
{
  return aLevel >= this->impl->level;
}

LogFormat
Log4cplusSink::Format() const noexcept
{
  return this->impl->format;
}

std::uint64_t
Log4cplusSink::DroppedLines() const noexcept
{
  return this->impl->dropped.load(std::memory_order_relaxed);
}

void
Log4cplusSink::Write(LogLevel aLevel, std::string_view aLine) noexcept
{
  try {
    if (!this->impl->queue.TryPush({ aLevel, std::string(aLine) })) {
      this->impl->dropped.fetch_add(1, std::memory_order_relaxed);
    }
  } catch (const std::exception&) {
    // Failure to queue a line must not terminate the process.
    return;
  }
}

} // namespace amaranthwind::telemetry
