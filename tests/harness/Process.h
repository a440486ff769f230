#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <span>
#include <string>

namespace amaranthwind::harness {

/** A child process with its output in a file. The destructor kills it. */
class Process
{
public:
  /** Throws std::runtime_error if it cannot be started. */
  Process(std::span<const std::string> aCommand, const std::string& aLogFile);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /** Sends a signal, unless the process has already been reaped. */
  void Signal(int aSignal) const;
  /** Exit code, or the negated signal; empty if it is still running. */
  std::optional<int> WaitFor(std::chrono::milliseconds aLimit);
  /** Sends SIGKILL and waits for the process to end. */
  void Kill();
  pid_t Pid() const noexcept { return this->pid; }

private:
  pid_t pid = -1;
  std::optional<int> exit;
};

} // namespace amaranthwind::harness
