#pragma once

#include "amaranthwind/base/ProgressExecutor.h"
#include "amaranthwind/journal/KeyedLog.h"
#include "amaranthwind/membership/LeaderElection.h"
#include "amaranthwind/telemetry/Logger.h"

#include <memory>
#include <string_view>

namespace amaranthwind::coordinator {

inline constexpr std::string_view kHeartbeatKey = "pulse";

/**
 * Writes the heartbeats of a leader on an executor of its own, so that they do
 * not wait behind its decisions. They say how long those have made no progress,
 * so that a leader that is stuck is replaced as soon as one that has failed.
 * Thread-safe.
 */
class HeartbeatWriter
{
public:
  /** @param aDecisions Executor of the work that must make progress. */
  HeartbeatWriter(const membership::LeaderElectionOptions& aOptions,
                  base::ProgressExecutor& aDecisions,
                  base::Executor& aExecutor,
                  journal::KeyedLog& aLog,
                  telemetry::Logger& aLogger);
  ~HeartbeatWriter();
  HeartbeatWriter(const HeartbeatWriter&) = delete;
  HeartbeatWriter& operator=(const HeartbeatWriter&) = delete;

  /** Begins a term. */
  void Start(base::FencingToken aToken, bool aIsSettled);
  /** See membership::LeaderPulse::isSettled. */
  void MarkSettled();
  void Stop();

private:
  struct State;
  std::shared_ptr<State> state;
};

} // namespace amaranthwind::coordinator
