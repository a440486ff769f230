#include "amaranthwind/base/Clock.h"
#include "amaranthwind/codec/SettingsCodec.h"
#include "amaranthwind/entry/EntryDaemon.h"
#include "amaranthwind/platform/AgentDaemon.h"
#include "amaranthwind/platform/SchedulerDaemon.h"
#include "amaranthwind/target/TargetDaemon.h"
#include "amaranthwind/telemetry/Log4cplusSink.h"
#include "amaranthwind/telemetry/Logger.h"

#include <docopt/docopt.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace amaranthwind;

namespace {

constexpr char kUsage[] = R"(The daemon of amaranthwind.

Usage:
  amaranthwindd entry --settings=FILE [--check-settings]
  amaranthwindd target --settings=FILE [--check-settings]
  amaranthwindd scheduler [--settings=FILE] [--check-settings]
  amaranthwindd agent [--settings=FILE] [--check-settings]
  amaranthwindd --help

Options:
  --settings=FILE   JSON file, described in docs/settings.md. The roles
                    scheduler and agent take it from AMARANTHWIND_CONFIG
                    if the option is missing.
  --check-settings  Report every fault of the file and end.

Ends gracefully on SIGTERM or SIGINT. SIGHUP checks the settings file again and
logs what changed; changes take effect at the next start. Exit codes: 0 stopped or the settings
are right, 1 could not start, 2 wrong settings or arguments.
)";

constexpr const char* kSettingsVariable = "AMARANTHWIND_CONFIG";
constexpr int kExitStartFailed = 1;
constexpr int kExitWrongSettings = 2;

using Arguments = std::map<std::string, docopt::value>;

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

/** Blocks the signals in all threads, so that sigwait() gets them. */
sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

template<typename Settings>
const settings::LogSettings&
LogOf(const Settings& aSettings)
{
  if constexpr (requires { aSettings.node; }) {
    return aSettings.node.log;
  } else {
    return aSettings.common.log;
  }
}

template<typename Settings>
using Decoder = codec::CheckedResult<Settings> (*)(std::string_view);

template<typename Settings>
codec::CheckedResult<Settings>
Load(const std::string& aPath, Decoder<Settings> aDecode)
{
  const auto text = ReadFile(aPath);
  if (!text) {
    return boost::outcome_v2::failure(std::vector{
      base::Error{ base::ErrorCode::UnknownPath, "settings " + aPath } });
  }
  return aDecode(*text);
}

/** Says what has become of the settings file since the start. */
template<typename Settings>
void
CheckReload(const codec::CheckedResult<Settings>& aNew,
            const Settings& aInForce,
            telemetry::Logger& aLogger)
{
  if (aNew.has_error()) {
    for (const auto& error : aNew.error()) {
      aLogger.Error("settings are wrong; those in force stay",
                    { { "error", base::Describe(error) } });
    }
  } else if (aNew.value() == aInForce) {
    aLogger.Info("settings reloaded", { { "change", "none" } });
  } else {
    aLogger.Warning("settings reloaded", { { "change", "at next start" } });
  }
}

template<typename Daemon, typename Settings>
int
RunDaemon(const Settings& aSettings,
          const std::string& aPath,
          Decoder<Settings> aDecode)
{
  const auto signals = BlockStopSignals();
  base::SystemClock clock;
  telemetry::Log4cplusSink sink(LogOf(aSettings));
  telemetry::Logger logger(sink, clock, "process");
  Daemon daemon(aSettings, clock, sink);
  const auto started = daemon.Start();
  if (started.has_error()) {
    std::cerr << "amaranthwindd: " << base::Describe(started.error()) << "\n";
    return kExitStartFailed;
  }
  int signal = 0;
  while (sigwait(&signals, &signal) == 0 && signal == SIGHUP) {
    CheckReload(Load(aPath, aDecode), aSettings, logger);
  }
  daemon.Stop();
  return 0;
}

template<typename Daemon, typename Settings>
int
Run(const std::string& aPath, Decoder<Settings> aDecode, bool aIsCheck)
{
  const auto settings = Load(aPath, aDecode);
  if (settings.has_error()) {
    for (const auto& error : settings.error()) {
      std::cerr << "amaranthwindd: " << base::Describe(error) << "\n";
    }
    return kExitWrongSettings;
  }
  if (aIsCheck) {
    std::cout << "settings are right\n";
    return 0;
  }
  return RunDaemon<Daemon>(settings.value(), aPath, aDecode);
}

/** Path of the settings file; empty if none is named. */
std::string
SettingsPath(Arguments& aArguments)
{
  if (const auto& option = aArguments["--settings"]; option.isString()) {
    return option.asString();
  }
  const char* fromEnvironment = std::getenv(kSettingsVariable);
  return fromEnvironment == nullptr ? std::string() : fromEnvironment;
}

int
Main(Arguments& aArguments)
{
  const std::string path = SettingsPath(aArguments);
  const bool isCheck = aArguments["--check-settings"].asBool();
  if (aArguments["entry"].asBool()) {
    return Run<entry::EntryDaemon>(path, codec::DecodeEntrySettings, isCheck);
  }
  if (aArguments["scheduler"].asBool()) {
    return Run<platform::SchedulerDaemon>(
      path, codec::DecodeSchedulerSettings, isCheck);
  }
  if (aArguments["agent"].asBool()) {
    return Run<platform::AgentDaemon>(
      path, codec::DecodeAgentSettings, isCheck);
  }
  return Run<target::TargetDaemon>(path, codec::DecodeTargetSettings, isCheck);
}

} // namespace

int
main(int argc, char** argv)
{
  auto arguments =
    docopt::docopt(kUsage, { argv + 1, argv + argc }, true, "amaranthwindd");
  const int code = Main(arguments);
  std::cout.flush();
  // Skips the destructors of static objects: log4cplus has one that waits for
  // threads, and a daemon that was told to stop must not outlive its grace.
  std::quick_exit(code);
}
