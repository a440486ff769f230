#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <span>
#include <string>

namespace amaranthwind::harness {

/** A child process whose output goes to a file. Killed when destroyed. */
class Process
{
public:
  /** Throws std::runtime_error if it cannot be started. */
  Process(std::span<const std::string> aCommand, const std::string& aLogFile);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /** SIGTERM, SIGKILL, SIGSTOP, SIGCONT. */
  void Signal(int aSignal) const;
  /** Exit code, or minus the signal; nothing if it still runs then. */
  std::optional<int> WaitFor(std::chrono::milliseconds aLimit);
  /** SIGKILL, and waits. */
  void Kill();
  pid_t Pid() const noexcept { return this->pid; }

private:
  pid_t pid = -1;
  std::optional<int> exit;
};

} // namespace amaranthwind::harness
