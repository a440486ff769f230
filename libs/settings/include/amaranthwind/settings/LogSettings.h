#pragma once

#include <cstdint>
#include <string>

namespace amaranthwind::settings {

/** Least severe level that is written. */
enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

/** How a log line looks and where it goes. */
enum class LogFormat : std::uint8_t
{
  /** "component: sentence key=value", by the layout, on standard error. */
  Text,
  /** One JSON object a line, on standard output. */
  Json,
};

/** What a process logs and how a line looks. */
struct LogSettings
{
  LogLevel level = LogLevel::Info;
  LogFormat format = LogFormat::Text;
  /** For LogFormat::Text; a log4cplus pattern: UTC time, level, thread,
   * message. */
  std::string layout = "%d{%Y-%m-%dT%H:%M:%S.%q}Z %-5p [%t] %m%n";

  bool operator==(const LogSettings&) const = default;
};

} // namespace amaranthwind::settings
