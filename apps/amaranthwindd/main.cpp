#include "amaranthwind/base/Clock.h"
#include "amaranthwind/codec/SettingsCodec.h"
#include "amaranthwind/entry/EntryDaemon.h"
#include "amaranthwind/target/TargetDaemon.h"
#include "amaranthwind/telemetry/Log4cplusSink.h"

#include <docopt/docopt.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <string>

using namespace amaranthwind;

namespace {

constexpr char kUsage[] = R"(The daemon of amaranthwind.

Usage:
  amaranthwindd entry --settings=FILE [--check-settings]
  amaranthwindd target --settings=FILE [--check-settings]
  amaranthwindd --help

Options:
  --settings=FILE   JSON file, described in docs/settings.md.
  --check-settings  Report every fault of the file and end.

Ends gracefully on SIGTERM or SIGINT. Exit codes: 0 stopped or the settings
are right, 1 could not start, 2 wrong settings or arguments.
)";

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
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

template<typename Daemon, typename Settings>
int
RunDaemon(const Settings& aSettings)
{
  const auto signals = BlockStopSignals();
  base::SystemClock clock;
  telemetry::Log4cplusSink sink(aSettings.common.log);
  Daemon daemon(aSettings, clock, sink);
  const auto started = daemon.Start();
  if (started.has_error()) {
    std::cerr << "amaranthwindd: " << base::Describe(started.error()) << "\n";
    return kExitStartFailed;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  daemon.Stop();
  return 0;
}

template<typename Daemon, typename Settings>
int
Run(const codec::CheckedResult<Settings>& aSettings, bool aIsCheck)
{
  if (aSettings.has_error()) {
    for (const auto& error : aSettings.error()) {
      std::cerr << "amaranthwindd: " << base::Describe(error) << "\n";
    }
    return kExitWrongSettings;
  }
  if (aIsCheck) {
    std::cout << "settings are right\n";
    return 0;
  }
  return RunDaemon<Daemon>(aSettings.value());
}

int
Main(Arguments& aArguments)
{
  const std::string path = aArguments["--settings"].asString();
  const auto text = ReadFile(path);
  if (!text) {
    std::cerr << "amaranthwindd: cannot read " << path << "\n";
    return kExitWrongSettings;
  }
  const bool isCheck = aArguments["--check-settings"].asBool();
  if (aArguments["entry"].asBool()) {
    return Run<entry::EntryDaemon>(codec::DecodeEntrySettings(*text), isCheck);
  }
  return Run<target::TargetDaemon>(codec::DecodeTargetSettings(*text), isCheck);
}

} // namespace

int
main(int argc, char** argv)
{
  auto arguments =
    docopt::docopt(kUsage, { argv + 1, argv + argc }, true, "amaranthwindd");
  return Main(arguments);
}
