#pragma once

#include "amaranthwind/settings/LogSettings.h"

#include <string_view>

namespace amaranthwind::telemetry {

using settings::LogFormat;
using settings::LogLevel;

/** Where log lines go. Thread-safe. */
class LogSink
{
public:
  virtual ~LogSink() = default;
  /** Called for every line before it is formatted, so it must be cheap. */
  virtual bool IsEnabled(LogLevel aLevel) const noexcept = 0;
  /** How the lines that it is given should look. */
  virtual LogFormat Format() const noexcept { return LogFormat::Text; }
  /** Writes one line without its end. Must not throw. */
  virtual void Write(LogLevel aLevel, std::string_view aLine) noexcept = 0;
};

} // namespace amaranthwind::telemetry
