#pragma once

#include "amaranthwind/agent/WorkerAgent.h"
#include "amaranthwind/base/Executor.h"
#include "amaranthwind/journal/KeyedLog.h"
#include "amaranthwind/protocol/MessagePort.h"
#include "amaranthwind/telemetry/Logger.h"

#include <memory>

namespace amaranthwind::net {
class IoPool;
}

namespace amaranthwind::agent {

/**
 * Connection of a worker's daemon to the coordinator. Discovers the current
 * coordinator from the log or from the entry that it is connected to,
 * reconnects after failures, and dispatches the coordinator's messages to the
 * agent. Confined to one executor.
 */
class CoordinatorLink final : public CoordinatorPort
{
public:
  /** All references must outlive the link. */
  CoordinatorLink(const base::Clock& aClock,
                  base::Executor& aExecutor,
                  const protocol::MessagePortFactory& aMakePort,
                  journal::KeyedLog& aLog,
                  telemetry::Logger& aLogger);
  ~CoordinatorLink() override;

  /** Port factory for the connection to the coordinator. */
  static protocol::MessagePortFactory MakePorts(net::IoPool& aPool);

  /** aAgent receives the coordinator's messages; it must outlive the link. */
  void Start(WorkerAgent& aAgent);
  /** Must be called on the executor. */
  void Stop();

  void SendReport(std::uint64_t aSequence,
                  base::FencingToken aToken,
                  const dispatch::WorkerReport& aReport) override;
  void SendOutcome(const ledger::WorkerIncarnation& aIncarnation,
                   const job::TaskRun& aRun,
                   dispatch::OrderOutcome aOutcome) override;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

} // namespace amaranthwind::agent
