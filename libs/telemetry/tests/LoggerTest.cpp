#include "amaranthwind/telemetry/Logger.h"
#include "amaranthwind/telemetry/Log4cplusSink.h"

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/base/ManualClock.h"

#include <doctest/doctest.h>

#include <chrono>
#include <iostream>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::telemetry;
using namespace std::chrono_literals;

namespace {

class MemorySink final : public LogSink
{
public:
  bool IsEnabled(LogLevel aLevel) const noexcept override
  {
    return aLevel >= LogLevel::Info;
  }
  void Write(LogLevel, std::string_view aLine) noexcept override
  {
    std::lock_guard lock(this->mutex);
    this->lines.emplace_back(aLine);
  }

  LogFormat Format() const noexcept override { return this->format; }

  std::vector<std::string> lines;
  LogFormat format = LogFormat::Text;

private:
  std::mutex mutex;
};

} // namespace

// Guards against log injection through field values.
TEST_CASE("a line has a prefix, a message and escaped fields")
{
  MemorySink sink;
  base::ManualClock clock;
  Logger logger(sink, clock, "routing");
  logger.Info("target left",
              { { "target", base::TargetId("w-1") },
                { "offset", base::LogOffset(7) },
                { "delta", -3 },
                { "note", "a \"b\"\nrouting: forged" },
                { "empty", "" } });
  logger.Debug("not written");
  REQUIRE(sink.lines.size() == 1);
  CHECK(sink.lines[0] == R"(routing: target left target=w-1 offset=7 delta=-3 )"
                         R"(note="a \"b\"\x0arouting: forged" empty="")");
}

// Guards against one repeating call site flooding the log.
TEST_CASE("lines above the limit of a call site are suppressed and counted")
{
  MemorySink sink;
  base::ManualClock clock;
  Logger logger(sink, clock, "net", { 2, 100, 10s });
  const auto logOnce = [&] { logger.Warning("connection lost"); };
  for (int i = 0; i < 5; ++i) {
    logOnce();
  }
  logger.Warning("other site");
  CHECK(logger.SuppressedLines() == 3);
  clock.Advance(10s);
  logOnce();
  logOnce();
  CHECK(sink.lines ==
        std::vector<std::string>{ "net: connection lost",
                                  "net: connection lost",
                                  "net: other site",
                                  "net: connection lost suppressed=3",
                                  "net: connection lost" });
}

// Guards against many call sites together flooding the log in an outage.
TEST_CASE("lines above the limit of a component are suppressed and counted")
{
  MemorySink sink;
  base::ManualClock clock;
  Logger logger(sink, clock, "net", { 10, 3, 10s });
  for (int round = 0; round < 2; ++round) {
    for (int i = 0; i < 2; ++i) {
      logger.Info("first");
    }
    for (int i = 0; i < 3; ++i) {
      logger.Info("second");
    }
    clock.Advance(10s);
  }
  CHECK(sink.lines == std::vector<std::string>{ "net: first",
                                                "net: first",
                                                "net: second",
                                                "net: first suppressed=2",
                                                "net: first",
                                                "net: second" });
}

// Guards against lines lost or counted twice when threads log concurrently.
TEST_CASE("written and suppressed lines of concurrent threads add up")
{
  constexpr int kThreads = 4;
  constexpr int kLines = 1000;
  MemorySink sink;
  base::ManualClock clock;
  Logger logger(sink, clock, "net", { 50, 1000, 1s });
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (int j = 0; j < kLines; ++j) {
        logger.Info("busy", { { "line", j } });
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(sink.lines.size() == 50);
  CHECK(logger.SuppressedLines() == kThreads * kLines - 50);
}

// Guards against a sink that ignores the configured level or layout.
TEST_CASE("the log4cplus sink follows the settings")
{
  std::ostringstream captured;
  std::streambuf* const previous = std::cerr.rdbuf(captured.rdbuf());
  {
    Log4cplusSink sink({ LogLevel::Warning, LogFormat::Text, "%p|%m%n" });
    base::ManualClock clock;
    Logger logger(sink, clock, "net");
    logger.Info("not written");
    logger.Warning("kept", { { "peer", "a" } });
    logger.Error("kept too");
  }
  std::cerr.rdbuf(previous);
  CHECK(captured.str() == "WARN|net: kept peer=a\nERROR|net: kept too\n");
}

// Guards against JSON lines that a log collector cannot parse.
TEST_CASE("a JSON line is one object with its fields")
{
  MemorySink sink;
  sink.format = LogFormat::Json;
  base::ManualClock clock;
  Logger logger(sink, clock, "coordinator");
  logger.Info("task placed",
              { { "job", base::JobId("j\"x") }, { "run", 2U }, { "d", -1 } });
  REQUIRE(sink.lines.size() == 1);
  CHECK(sink.lines[0].find("\"level\":\"info\",\"component\":\"coordinator\","
                           "\"event\":\"task placed\",\"job\":\"j\\\"x\","
                           "\"run\":2,\"d\":-1}") != std::string::npos);
  CHECK(sink.lines[0].starts_with("{\"timeMs\":"));
}

// Guards against a daemon that blocks because nobody reads its log.
TEST_CASE("lines are dropped and counted when the queue is full")
{
  // A stream buffer that blocks writers while its mutex is held.
  struct BlockingBuffer final : std::stringbuf
  {
    std::mutex mutex;
    std::streamsize xsputn(const char*, std::streamsize aCount) override
    {
      std::lock_guard lock(this->mutex);
      return aCount;
    }
    int overflow(int aChar) override
    {
      std::lock_guard lock(this->mutex);
      return aChar;
    }
  };
  BlockingBuffer buffer;
  std::streambuf* const previous = std::cout.rdbuf(&buffer);
  {
    settings::LogSettings settings;
    settings.format = LogFormat::Json;
    Log4cplusSink sink(settings);
    {
      std::lock_guard lock(buffer.mutex);
      constexpr int kLines = 10'000;
      for (int i = 0; i < kLines; ++i) {
        sink.Write(LogLevel::Info, "line");
      }
      CHECK(sink.DroppedLines() > 0);
    }
  }
  std::cout.rdbuf(previous);
}
