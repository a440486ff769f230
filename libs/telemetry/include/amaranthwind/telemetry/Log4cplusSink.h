#pragma once

#include "amaranthwind/telemetry/LogSink.h"

#include <cstdint>
#include <memory>

namespace amaranthwind::telemetry {

/**
 * Writes lines with log4cplus on a dedicated thread; the caller only pushes the
 * line into a bounded queue. Lines are dropped and counted when the queue is
 * full, so that a stalled reader of the log does not block the process. Only
 * one instance may exist at a time.
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
  /** Number of lines dropped because the queue was full. */
  std::uint64_t DroppedLines() const noexcept;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::telemetry
