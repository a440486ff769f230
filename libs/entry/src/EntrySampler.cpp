#include "EntrySampler.h"

#include <array>
#include <utility>

namespace amaranthwind::entry {

using telemetry::TargetState;

EntrySampler::EntrySampler(telemetry::Metrics& aMetrics,
                           const EntryComponents& aComponents,
                           const admin::Readiness& aReadiness,
                           const frontend::HttpServer& aServer,
                           std::vector<const telemetry::Logger*> aLoggers)
  : components(aComponents)
  , readiness(aReadiness)
  , server(aServer)
  , loggers(std::move(aLoggers))
  , process(aMetrics)
  , policy(aMetrics)
  , entry(aMetrics)
  , lateResponses(this->process.lateResponses)
  , unmatchedResponses(this->process.unmatchedResponses)
  , silentConnections(this->process.silentConnections)
  , bytesSent(this->process.bytesSent)
  , bytesReceived(this->process.bytesReceived)
  , suppressedLogLines(this->process.suppressedLogLines)
  , refusedConnections(this->entry.refusedConnections)
{
}

void
EntrySampler::SampleMetrics()
{
  this->process.ready.Set(this->readiness.CheckReadiness() ? 0 : 1);
  this->SamplePolicy();
  this->SampleTargets();
  this->SampleConnections();
  std::uint64_t suppressed = 0;
  for (const auto* logger : this->loggers) {
    suppressed += logger->SuppressedLines();
  }
  this->suppressedLogLines.SetTotal(suppressed);
}

void
EntrySampler::SamplePolicy()
{
  const auto offset = this->components.policy.Offset().Get();
  const auto peer =
    this->components.membership.Status()->highestPeerOffset.Get();
  this->policy.version.Set(
    static_cast<double>(this->components.policy.Current()->version.Get()));
  this->process.noteOffset.Set(static_cast<double>(offset));
  this->policy.offsetLag.Set(peer > offset ? static_cast<double>(peer - offset)
                                           : 0);
  this->entry.logAvailable.Set(this->components.policy.IsLogReachable() ? 1
                                                                        : 0);
}

void
EntrySampler::SampleTargets()
{
  std::array<std::uint32_t, telemetry::kTargetStates> counts{};
  const auto count = [&](TargetState aState) -> std::uint32_t& {
    return counts[static_cast<std::size_t>(aState)];
  };
  for (const auto& target : this->components.membership.Status()->targets) {
    switch (target.state) {
      case membership::TargetState::Active:
        ++count(TargetState::Available);
        break;
      case membership::TargetState::Draining:
        ++count(TargetState::Draining);
        break;
      case membership::TargetState::Suspect:
      case membership::TargetState::Lost:
        ++count(TargetState::Silent);
        break;
      case membership::TargetState::Announced:
      case membership::TargetState::Left:
        break;
    }
  }
  {
    const auto routes = this->components.membership.CurrentRoutes();
    for (const auto& route : routes->snapshot->Serving()) {
      const bool isEjected =
        route.state != nullptr &&
        route.state->CurrentHealth() == routing::Health::Ejected;
      if (isEjected && count(TargetState::Available) > 0) {
        --count(TargetState::Available);
        ++count(TargetState::Ejected);
      }
    }
  }
  for (std::size_t i = 0; i < counts.size(); ++i) {
    this->entry.Targets(static_cast<TargetState>(i)).Set(counts[i]);
  }
}

void
EntrySampler::SampleConnections()
{
  const auto counters = this->components.node.Counters();
  this->process.peerConnections.Set(static_cast<double>(counters.connections));
  this->lateResponses.SetTotal(counters.lateReplies);
  this->unmatchedResponses.SetTotal(counters.unmatchedReplies);
  this->silentConnections.SetTotal(counters.silentConnections);
  this->bytesSent.SetTotal(counters.bytesSent);
  this->bytesReceived.SetTotal(counters.bytesReceived);
  this->entry.callerConnections.Set(
    static_cast<double>(this->server.Connections()));
  this->refusedConnections.SetTotal(this->server.RefusedConnections());
}

} // namespace amaranthwind::entry
