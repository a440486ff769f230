#pragma once

#include "amaranthwind/telemetry/LogSink.h"

#include <memory>

namespace amaranthwind::telemetry {

/**
 * Writes lines to standard error with log4cplus. A write takes the lock of the
 * log4cplus appender; the rate limits of Logger bound how often that happens.
 * Only one may exist at a time, because it starts and shuts down log4cplus.
 */
class Log4cplusSink final : public LogSink
{
public:
  explicit Log4cplusSink(const settings::LogSettings& aSettings);
  ~Log4cplusSink() override;
  Log4cplusSink(const Log4cplusSink&) = delete;
  Log4cplusSink& operator=(const Log4cplusSink&) = delete;

  bool IsEnabled(LogLevel aLevel) const noexcept override;
  void Write(LogLevel aLevel, std::string_view aLine) noexcept override;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::telemetry
