#pragma once

#include <cstdint>
#include <string>

namespace amaranthwind::settings {

/** Minimum severity of a line to be written. */
enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

/** Format and destination of log lines. */
enum class LogFormat : std::uint8_t
{
  /** "component: message key=value" in the layout, to standard error. */
  Text,
  /** One JSON object per line, to standard output. */
  Json,
};

/** Logging settings of a process. */
struct LogSettings
{
  LogLevel level = LogLevel::Info;
  LogFormat format = LogFormat::Text;
  /**
   * log4cplus pattern for LogFormat::Text. The default writes UTC time, level,
   * thread and message.
   */
  std::string layout = "%d{%Y-%m-%dT%H:%M:%S.%q}Z %-5p [%t] %m%n";

  bool operator==(const LogSettings&) const = default;
};

} // namespace amaranthwind::settings
