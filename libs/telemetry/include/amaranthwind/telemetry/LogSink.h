#pragma once

#include "amaranthwind/settings/LogSettings.h"

#include <string_view>

namespace amaranthwind::telemetry {

using settings::LogFormat;
using settings::LogLevel;

/** Destination of log lines. Thread-safe. */
class LogSink
{
public:
  virtual ~LogSink() = default;
  /** Called for every line before it is formatted; must be cheap. */
  virtual bool IsEnabled(LogLevel aLevel) const noexcept = 0;
  /** Format in which Write() expects its lines. */
  virtual LogFormat Format() const noexcept { return LogFormat::Text; }
  /** Writes one line, given without a line terminator. Must not throw. */
  virtual void Write(LogLevel aLevel, std::string_view aLine) noexcept = 0;
};

} // namespace amaranthwind::telemetry
