#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/StrongId.h"
#include "amaranthwind/telemetry/LogSink.h"
#include "amaranthwind/telemetry/RateLimit.h"

#include <array>
#include <atomic>
#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace amaranthwind::telemetry {

/**
 * A "key=value" field of a log line. Key and text are referenced, not owned.
 */
struct LogField
{
  LogField(std::string_view aKey, std::string_view aValue)
    : key(aKey)
    , value(aValue)
  {
  }
  LogField(std::string_view aKey, const char* aValue)
    : LogField(aKey, std::string_view(aValue))
  {
  }
  LogField(std::string_view aKey, std::signed_integral auto aValue)
    : key(aKey)
    , value(std::int64_t{ aValue })
  {
  }
  LogField(std::string_view aKey, std::unsigned_integral auto aValue)
    : key(aKey)
    , value(std::uint64_t{ aValue })
  {
  }
  template<typename Tag>
  LogField(std::string_view aKey, const base::StrongId<Tag>& aId)
    : LogField(aKey, aId.View())
  {
  }
  template<typename Tag, typename Value>
  LogField(std::string_view aKey, base::StrongNumber<Tag, Value> aNumber)
    : LogField(aKey, aNumber.Get())
  {
  }

  std::string_view key;
  std::variant<std::string_view, std::int64_t, std::uint64_t> value;
};

/**
 * Source location of a log call. Replaces std::source_location, which clang 14
 * does not provide with the standard library of g++ 12.
 */
struct LogSite
{
  const char* file;
  std::uint32_t line;

  /** As a default argument, evaluates to the location of the caller. */
  static constexpr LogSite Current(
    const char* aFile = __builtin_FILE(),
    std::uint32_t aLine = __builtin_LINE()) noexcept
  {
    return { aFile, aLine };
  }
};

/** Maximum number of lines per call site and component in one window. */
struct LogLimits
{
  std::uint32_t perSite = 10;
  std::uint32_t perComponent = 100;
  base::Duration window = std::chrono::seconds(10);
};

/**
 * Logger of one component. A line consists of the component name, a short
 * message without a trailing period, and fields:
 *
 *     routing: target left target=w-17 zone=tw-1
 *
 * or, if the format of the sink is JSON, one object with the members "timeMs",
 * "level", "component", "event" and the fields.
 *
 * Lines are rate-limited per call site and per component. The first line
 * written after lines were suppressed reports their number, as in
 * "suppressed=12". The logger itself takes no lock. Thread-safe.
 */
class Logger
{
public:
  using Fields = std::initializer_list<LogField>;

  /** aSink and aClock must outlive the logger. */
  Logger(LogSink& aSink,
         const base::Clock& aClock,
         std::string_view aComponent,
         LogLimits aLimits = {});

  void Debug(std::string_view aMessage,
             Fields aFields = {},
             LogSite aSite = LogSite::Current());
  void Info(std::string_view aMessage,
            Fields aFields = {},
            LogSite aSite = LogSite::Current());
  void Warning(std::string_view aMessage,
               Fields aFields = {},
               LogSite aSite = LogSite::Current());
  void Error(std::string_view aMessage,
             Fields aFields = {},
             LogSite aSite = LogSite::Current());

  /** Total number of suppressed lines, exported as a metric. */
  std::uint64_t SuppressedLines() const noexcept;

private:
  /** Call sites beyond this number share the rate limit of the last slot. */
  static constexpr std::size_t kMaxSites = 128;

  struct Site
  {
    std::atomic<std::uint64_t> key{ 0 };
    RateLimit limit;
  };

  void Log(LogLevel aLevel,
           std::string_view aMessage,
           Fields aFields,
           LogSite aSite);
  std::string FormatJson(LogLevel aLevel,
                         std::string_view aMessage,
                         Fields aFields,
                         std::uint64_t aSuppressed) const;
  Site& FindSite(LogSite aSite) noexcept;

  LogSink& sink;
  const base::Clock& clock;
  const std::string component;
  const LogLimits limits;
  RateLimit componentLimit;
  std::atomic<std::uint64_t> suppressedLines{ 0 };
  std::array<Site, kMaxSites> sites;
};

} // namespace amaranthwind::telemetry
