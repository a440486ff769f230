#pragma once

#include "amaranthwind/telemetry/LogSink.h"

#include <cstdint>
#include <memory>

namespace amaranthwind::telemetry {

/**
 * Writes lines with log4cplus, on a thread of its own: the caller only puts the
 * line into a bounded queue. A line that finds the queue full is dropped and
 * counted, so that a reader of the log that stands still holds nothing up. Only
 * one may exist at a time.
 */
class Log4cplusSink final : public LogSink
{
public:
  explicit Log4cplusSink(const settings::LogSettings& aSettings);
  ~Log4cplusSink() override;
  Log4cplusSink(const Log4cplusSink&) = delete;
  Log4cplusSink& operator=(const Log4cplusSink&) = delete;

  bool IsEnabled(LogLevel aLevel) const noexcept override;
  LogFormat Format() const noexcept override;
  void Write(LogLevel aLevel, std::string_view aLine) noexcept override;
  /** Lines that found the queue full. */
  std::uint64_t DroppedLines() const noexcept;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::telemetry
