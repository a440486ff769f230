#pragma once

#include "amaranthwind/dispatch/Dispatcher.h"
#include "amaranthwind/telemetry/Logger.h"
#include "amaranthwind/telemetry/Metrics.h"

namespace amaranthwind::coordinator {

/** Logs the decisions of a dispatcher and counts them in metrics. */
class DecisionLog final : public dispatch::DispatchObserver
{
public:
  DecisionLog(telemetry::Logger& aLogger, telemetry::Metrics& aMetrics);

  /** Age of the message that the next decisions follow from. */
  void SetInputAge(base::Duration aAge) noexcept { this->inputAge = aAge; }

  void OnPlaced(const job::TaskRun& aRun,
                const base::AgentId& aAgent,
                base::Duration aWaited) override;
  void OnPlacementWithdrawn(const job::TaskRun& aRun,
                            const base::AgentId& aAgent,
                            std::string_view aReason) override;
  void OnRunTimeLearned(const dispatch::RunTimeOutcome& aOutcome) override;
  void OnStartRepeated(const job::TaskRun& aRun,
                       const base::AgentId& aAgent) override;
  void OnEnded(const job::TaskRun& aRun,
               const base::AgentId& aAgent,
               dispatch::EndKind aKind,
               std::uint32_t aFailures) override;
  void OnLateCompletion(const job::TaskRun& aRun,
                        const base::AgentId& aAgent,
                        std::uint32_t aLatest) override;
  void OnEndIgnored(const job::TaskRun& aRun,
                    const base::AgentId& aAgent,
                    dispatch::EndKind aKind,
                    std::string_view aReason) override;
  void OnStopping(const job::TaskRun& aRun,
                  const base::AgentId& aAgent,
                  std::string_view aReason,
                  double aLostWork) override;
  void OnLost(const job::TaskRun& aRun, std::string_view aReason) override;
  void OnWorkerChanged(const base::AgentId& aAgent,
                       std::string_view aChange) override;
  void OnJobEnded(const base::JobId& aJob,
                  std::string_view aOutcome,
                  base::Duration aAge) override;

private:
  telemetry::Logger& logger;
  telemetry::Counter placed;
  telemetry::Counter withdrawn;
  telemetry::Counter ended;
  telemetry::Counter stopped;
  telemetry::Counter lostWork;
  telemetry::Counter lost;
  telemetry::Histogram waitTime;
  telemetry::Histogram jobTime;
  /** Ratio of the run time to what was expected, the larger to the smaller. */
  telemetry::Histogram estimateError;
  telemetry::Histogram predictionError;
  base::Duration inputAge{};
};

/** Returns the name of the kind as it is logged, such as "done" or "failed". */
std::string_view
ToText(dispatch::EndKind aKind) noexcept;

} // namespace amaranthwind::coordinator
