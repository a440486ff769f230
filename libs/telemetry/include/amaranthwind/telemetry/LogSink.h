#pragma once

#include "amaranthwind/settings/LogSettings.h"

#include <string_view>

namespace amaranthwind::telemetry {

using settings::LogLevel;

/** Where log lines go. Thread-safe. */
class LogSink
{
public:
  virtual ~LogSink() = default;
  /** Called for every line before it is formatted, so it must be cheap. */
  virtual bool IsEnabled(LogLevel aLevel) const noexcept = 0;
  /** Writes one line without its end. Must not throw. */
  virtual void Write(LogLevel aLevel, std::string_view aLine) noexcept = 0;
};

} // namespace amaranthwind::telemetry
