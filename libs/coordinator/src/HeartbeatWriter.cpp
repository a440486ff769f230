#include "HeartbeatWriter.h"

#include "amaranthwind/codec/ClaimCodec.h"
#include "amaranthwind/membership/LeaderTopic.h"

#include <atomic>
#include <mutex>
#include <optional>
#include <utility>

namespace amaranthwind::coordinator {

using membership::LeaderPulse;

struct HeartbeatWriter::State : std::enable_shared_from_this<State>
{
  State(const membership::LeaderElectionOptions& aOptions,
        base::ProgressExecutor& aDecisions,
        base::Executor& aExecutor,
        journal::KeyedLog& aLog,
        telemetry::Logger& aLogger)
    : interval(aOptions.pulseInterval)
    , maxStall(aOptions.leaderTimeout)
    , decisions(aDecisions)
    , executor(aExecutor)
    , log(aLog)
    , logger(aLogger)
  {
  }

  void WriteNow(base::FencingToken aToken)
  {
    this->executor.Post([weak = this->weak_from_this(), aToken] {
      if (const auto self = weak.lock()) {
        self->Write(aToken);
      }
    });
  }

  void WritePeriodically(base::FencingToken aToken)
  {
    if (!this->Write(aToken)) {
      return;
    }
    // An idle executor that does not run this task counts as stalled.
    this->decisions.Post([] {});
    this->executor.RunAfter(this->interval,
                            [weak = this->weak_from_this(), aToken] {
                              if (const auto self = weak.lock()) {
                                self->WritePeriodically(aToken);
                              }
                            });
  }

  /** False if the term has ended. */
  bool Write(base::FencingToken aToken)
  {
    LeaderPulse pulse;
    {
      const std::lock_guard lock(this->mutex);
      if (!this->term || this->term->token != aToken) {
        return false;
      }
      pulse = *this->term;
    }
    pulse.stalledFor = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->decisions.StalledFor());
    const bool isStalled = pulse.stalledFor >= this->maxStall;
    if (isStalled != this->wasStalled.exchange(isStalled) && isStalled) {
      this->logger.Warning(
        "leader heartbeat withheld: decisions stalled",
        { { "token", aToken }, { "stalledMs", pulse.stalledFor.count() } });
    }
    if (!isStalled) {
      this->Append(pulse);
    }
    return true;
  }

  void Append(const LeaderPulse& aPulse)
  {
    const journal::KeyedValue record{ std::string(kHeartbeatKey),
                                      codec::EncodePulse(aPulse) };
    this->log.Append({ std::string(membership::kLeaderTopic), 1 },
                     std::span(&record, 1),
                     {},
                     [weak = this->weak_from_this()](const auto& aResult) {
                       // Not retried; the next heartbeat follows.
                       const auto self = weak.lock();
                       if (self != nullptr && aResult.has_error()) {
                         self->logger.Warning(
                           "failed to append leader heartbeat",
                           { { "error", base::Describe(aResult.error()) } });
                       }
                     });
  }

  const base::Duration interval;
  const base::Duration maxStall;
  base::ProgressExecutor& decisions;
  base::Executor& executor;
  journal::KeyedLog& log;
  telemetry::Logger& logger;
  std::atomic<bool> wasStalled{ false };
  std::mutex mutex;
  /** Protected by the mutex. */
  std::optional<LeaderPulse> term;
};

HeartbeatWriter::HeartbeatWriter(
  const membership::LeaderElectionOptions& aOptions,
  base::ProgressExecutor& aDecisions,
  base::Executor& aExecutor,
  journal::KeyedLog& aLog,
  telemetry::Logger& aLogger)
  : state(
      std::make_shared<State>(aOptions, aDecisions, aExecutor, aLog, aLogger))
{
}

HeartbeatWriter::~HeartbeatWriter()
{
  this->Stop();
}

void
HeartbeatWriter::Start(base::FencingToken aToken, bool aIsSettled)
{
  {
    const std::lock_guard lock(this->state->mutex);
    this->state->term = LeaderPulse{ aToken, aIsSettled };
  }
  this->state->executor.Post([weak = std::weak_ptr(this->state), aToken] {
    if (const auto self = weak.lock()) {
      self->WritePeriodically(aToken);
    }
  });
}

void
HeartbeatWriter::MarkSettled()
{
  const std::lock_guard lock(this->state->mutex);
  if (this->state->term && !this->state->term->isSettled) {
    this->state->term->isSettled = true;
    // The successor should know even if this entry fails now.
    this->state->WriteNow(this->state->term->token);
  }
}

void
HeartbeatWriter::Stop()
{
  const std::lock_guard lock(this->state->mutex);
  this->state->term.reset();
}

} // namespace amaranthwind::coordinator
