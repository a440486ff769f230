#include "TargetSampler.h"

#include <algorithm>

namespace amaranthwind::target {

TargetSampler::TargetSampler(telemetry::Metrics& aMetrics,
                             const TargetParts& aParts,
                             const admin::Readiness& aReadiness,
                             const telemetry::Logger& aLogger)
  : parts(aParts)
  , readiness(aReadiness)
  , logger(aLogger)
  , process(aMetrics)
  , target(aMetrics)
  , lateResponses(this->process.lateResponses)
  , unmatchedResponses(this->process.unmatchedResponses)
  , silentConnections(this->process.silentConnections)
  , bytesSent(this->process.bytesSent)
  , bytesReceived(this->process.bytesReceived)
  , suppressedLogLines(this->process.suppressedLogLines)
{
}

void
TargetSampler::SampleMetrics()
{
  const auto counters = this->parts.node.Counters();
  this->process.ready.Set(this->readiness.CheckReadiness() ? 0 : 1);
  this->process.noteOffset.Set(
    static_cast<double>(this->parts.noteOffset.load()));
  this->process.peerConnections.Set(static_cast<double>(counters.connections));
  this->lateResponses.SetTotal(counters.lateReplies);
  this->unmatchedResponses.SetTotal(counters.unmatchedReplies);
  this->silentConnections.SetTotal(counters.silentConnections);
  this->bytesSent.SetTotal(counters.bytesSent);
  this->bytesReceived.SetTotal(counters.bytesReceived);
  this->suppressedLogLines.SetTotal(this->logger.SuppressedLines());

  const auto status = this->parts.status.Get();
  const auto& gangs = status->gangs.gangs;
  const auto promised =
    std::count_if(gangs.begin(), gangs.end(), [](const auto& aGang) {
      return aGang.phase == gang::MemberPhase::Promised;
    });
  this->target.keys.Set(static_cast<double>(status->requests.keys));
  this->target.busySlots.Set(status->requests.running);
  this->target.reservations.Set(static_cast<double>(promised));
  this->target.runningTasks.Set(
    static_cast<double>(status->gangs.tasks.size()));
  this->target.draining.Set(status->isDraining ? 1 : 0);
}

} // namespace amaranthwind::target
