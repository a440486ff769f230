#pragma once

#include "amaranthwind/agent/WorkerAgent.h"
#include "amaranthwind/base/Executor.h"
#include "amaranthwind/journal/KeyedLog.h"
#include "amaranthwind/telemetry/Logger.h"

#include <memory>

namespace amaranthwind::net {
class IoPool;
}

namespace amaranthwind::agent {

/**
 * Connection of a worker's daemon to the coordinator: learns who coordinates
 * from the log or from any entry that it is connected to, stays connected, and
 * passes orders on to the agent. Lives on one executor.
 */
class CoordinatorLink final : public CoordinatorPort
{
public:
  /** All references must outlive the link. */
  CoordinatorLink(const base::Clock& aClock,
                  base::Executor& aExecutor,
                  net::IoPool& aPool,
                  journal::KeyedLog& aLog,
                  telemetry::Logger& aLogger);
  ~CoordinatorLink() override;

  /** @param aAgent Gets the orders; must outlive the link. */
  void Start(WorkerAgent& aAgent);
  /** On the executor. */
  void Stop();

  void SendReport(std::uint64_t aSequence,
                  base::FencingToken aToken,
                  const dispatch::WorkerReport& aReport) override;
  void SendOutcome(const ledger::WorkerLife& aLife,
                   const job::TaskRun& aRun,
                   dispatch::OrderOutcome aOutcome) override;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace amaranthwind::agent
