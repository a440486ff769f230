#include "harness/Process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstring>
#include <stdexcept>
#include <thread>
#include <vector>

namespace amaranthwind::harness {

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 10 };
constexpr mode_t kLogMode = 0644;

} // namespace

Process::Process(std::span<const std::string> aCommand,
                 const std::string& aLogFile)
{
  std::vector<char*> arguments;
  arguments.reserve(aCommand.size() + 1);
  for (const auto& argument : aCommand) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   aLogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   kLogMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int result = posix_spawn(
    &this->pid, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (result != 0) {
    throw std::runtime_error(aCommand[0] + ": " + std::strerror(result));
  }
}

Process::~Process()
{
  this->Kill();
}

void
Process::Signal(int aSignal) const
{
  if (!this->exit) {
    kill(this->pid, aSignal);
  }
}

std::optional<int>
Process::WaitFor(std::chrono::milliseconds aLimit)
{
  const auto end = std::chrono::steady_clock::now() + aLimit;
  while (!this->exit) {
    int status = 0;
    if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
      this->exit = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    } else if (std::chrono::steady_clock::now() >= end) {
      return std::nullopt;
    } else {
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  return this->exit;
}

void
Process::Kill()
{
  if (this->exit) {
    return;
  }
  kill(this->pid, SIGKILL);
  int status = 0;
  waitpid(this->pid, &status, 0);
  this->exit = -SIGKILL;
}

} // namespace amaranthwind::harness
