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
  --check-settings  Report every error in the file and exit.

Shuts down gracefully on SIGTERM or SIGINT. SIGHUP checks the settings file again and
logs whether it changed; changes take effect at the next start. Exit codes: 0 stopped or valid
settings, 1 could not start, 2 invalid settings or arguments.
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

/** Blocks the signals in all threads, so that sigwait() receives them. */
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
LogSettingsOf(const Settings& aSettings)
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
LoadSettings(const std::string& aPath, Decoder<Settings> aDecode)
{
  const auto text = ReadFile(aPath);
  if (!text) {
    return boost::outcome_v2::failure(std::vector{
      base::Error{ base::ErrorCode::UnknownPath, "settings " + aPath } });
  }
  return aDecode(*text);
}

/** Logs whether the settings file has changed since the start. */
template<typename Settings>
void
CheckReload(const codec::CheckedResult<Settings>& aNew,
            const Settings& aActive,
            telemetry::Logger& aLogger)
{
  if (aNew.has_error()) {
    for (const auto& error : aNew.error()) {
      aLogger.Error("invalid settings ignored",
                    { { "error", base::Describe(error) } });
    }
  } else if (aNew.value() == aActive) {
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
  telemetry::Log4cplusSink sink(LogSettingsOf(aSettings));
  telemetry::Logger logger(sink, clock, "process");
  Daemon daemon(aSettings, clock, sink);
  const auto started = daemon.Start();
  if (started.has_error()) {
    std::cerr << "amaranthwindd: " << base::Describe(started.error()) << "\n";
    return kExitStartFailed;
  }
  int signal = 0;
  while (sigwait(&signals, &signal) == 0 && signal == SIGHUP) {
    CheckReload(LoadSettings(aPath, aDecode), aSettings, logger);
  }
  daemon.Stop();
  return 0;
}

template<typename Daemon, typename Settings>
int
Run(const std::string& aPath, Decoder<Settings> aDecode, bool aIsCheckOnly)
{
  const auto settings = LoadSettings(aPath, aDecode);
  if (settings.has_error()) {
    for (const auto& error : settings.error()) {
      std::cerr << "amaranthwindd: " << base::Describe(error) << "\n";
    }
    return kExitWrongSettings;
  }
  if (aIsCheckOnly) {
    std::cout << "settings are valid\n";
    return 0;
  }
  return RunDaemon<Daemon>(settings.value(), aPath, aDecode);
}

/** Path of the settings file; empty if none is given. */
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
  const bool isCheckOnly = aArguments["--check-settings"].asBool();
  if (aArguments["entry"].asBool()) {
    return Run<entry::EntryDaemon>(
      path, codec::DecodeEntrySettings, isCheckOnly);
  }
  if (aArguments["scheduler"].asBool()) {
    return Run<platform::SchedulerDaemon>(
      path, codec::DecodeSchedulerSettings, isCheckOnly);
  }
  if (aArguments["agent"].asBool()) {
    return Run<platform::AgentDaemon>(
      path, codec::DecodeAgentSettings, isCheckOnly);
  }
  return Run<target::TargetDaemon>(
    path, codec::DecodeTargetSettings, isCheckOnly);
}

} // namespace

int
main(int argc, char** argv)
{
  auto arguments =
    docopt::docopt(kUsage, { argv + 1, argv + argc }, true, "amaranthwindd");
  const int code = Main(arguments);
  std::cout.flush();
  // Skips the destructors of static objects: one in log4cplus waits for
  // threads, which could keep the daemon running beyond its shutdown grace
  // period.
  std::quick_exit(code);
}
