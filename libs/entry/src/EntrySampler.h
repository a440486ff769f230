#pragma once

#include "EntryDump.h"
#include "amaranthwind/admin/Readiness.h"
#include "amaranthwind/admin/TotalCounter.h"
#include "amaranthwind/frontend/HttpServer.h"
#include "amaranthwind/telemetry/Logger.h"
#include "amaranthwind/telemetry/StandardMetrics.h"

#include <vector>

namespace amaranthwind::entry {

/** Copies the counters that the entry's components keep into its metrics. */
class EntrySampler final : public admin::MetricsSampler
{
public:
  /** The references must outlive the admin server. */
  EntrySampler(telemetry::Metrics& aMetrics,
               const EntryComponents& aComponents,
               const admin::Readiness& aReadiness,
               const frontend::HttpServer& aServer,
               std::vector<const telemetry::Logger*> aLoggers);

  void SampleMetrics() override;

private:
  void SamplePolicy();
  void SampleTargets();
  void SampleConnections();

  const EntryComponents components;
  const admin::Readiness& readiness;
  const frontend::HttpServer& server;
  const std::vector<const telemetry::Logger*> loggers;
  const telemetry::ProcessMetrics process;
  const telemetry::PolicyMetrics policy;
  const telemetry::EntryMetrics entry;
  admin::TotalCounter lateResponses;
  admin::TotalCounter unmatchedResponses;
  admin::TotalCounter silentConnections;
  admin::TotalCounter bytesSent;
  admin::TotalCounter bytesReceived;
  admin::TotalCounter suppressedLogLines;
  admin::TotalCounter refusedConnections;
};

} // namespace amaranthwind::entry
