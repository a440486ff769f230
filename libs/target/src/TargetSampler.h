#pragma once

#include "TargetDump.h"
#include "amaranthwind/admin/Readiness.h"
#include "amaranthwind/admin/TotalCounter.h"
#include "amaranthwind/telemetry/Logger.h"
#include "amaranthwind/telemetry/StandardMetrics.h"

namespace amaranthwind::target {

/** Exports counters and state of the daemon's components as metrics. */
class TargetSampler final : public admin::MetricsSampler
{
public:
  /** All references must outlive the admin server. */
  TargetSampler(telemetry::Metrics& aMetrics,
                const TargetParts& aParts,
                const admin::Readiness& aReadiness,
                const telemetry::Logger& aLogger);

  void SampleMetrics() override;

private:
  const TargetParts parts;
  const admin::Readiness& readiness;
  const telemetry::Logger& logger;
  const telemetry::ProcessMetrics process;
  const telemetry::TargetMetrics target;
  admin::TotalCounter lateResponses;
  admin::TotalCounter unmatchedResponses;
  admin::TotalCounter silentConnections;
  admin::TotalCounter bytesSent;
  admin::TotalCounter bytesReceived;
  admin::TotalCounter suppressedLogLines;
};

} // namespace amaranthwind::target
