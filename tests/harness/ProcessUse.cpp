#include "harness/ProcessUse.h"

#include <sys/resource.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <system_error>
#include <thread>
#include <utility>

namespace amaranthwind::harness {

namespace {

std::string
ProcPath(pid_t aProcess, const char* aName)
{
  return "/proc/" + std::to_string(aProcess) + "/" + aName;
}

} // namespace

std::size_t
PeakMemoryOf(pid_t aProcess)
{
  std::ifstream status(ProcPath(aProcess, "status"));
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmHWM:")) {
      return std::stoul(line.substr(line.find_first_of("0123456789")));
    }
  }
  return 0;
}

std::size_t
SettledPeakMemoryOf(pid_t aProcess)
{
  constexpr auto kSettleTime = std::chrono::seconds(2);
  constexpr int kMaxRounds = 30;
  std::size_t peak = PeakMemoryOf(aProcess);
  for (int i = 0; i < kMaxRounds; ++i) {
    std::this_thread::sleep_for(kSettleTime);
    if (std::exchange(peak, PeakMemoryOf(aProcess)) == peak) {
      break;
    }
  }
  return peak;
}

std::size_t
DescriptorsOf(pid_t aProcess)
{
  const std::filesystem::directory_iterator entries(ProcPath(aProcess, "fd"));
  return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::chrono::milliseconds
ProcessorTimeOf(pid_t aProcess)
{
  std::ifstream stat(ProcPath(aProcess, "stat"));
  std::string text;
  std::getline(stat, text);
  // The second field, the name in parentheses, may contain spaces.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  constexpr int kFieldsBeforeTimes = 11;
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) {
    fields >> skipped;
  }
  long user = 0;
  long system = 0;
  fields >> user >> system;
  return std::chrono::milliseconds((user + system) * 1000 /
                                   sysconf(_SC_CLK_TCK));
}

void
LimitDescriptors(pid_t aProcess, std::size_t aLimit)
{
  const rlimit limit{ aLimit, aLimit };
  if (prlimit(aProcess, RLIMIT_NOFILE, &limit, nullptr) != 0) {
    throw std::system_error(errno, std::generic_category(), "prlimit");
  }
}

} // namespace amaranthwind::harness
