// Reports the worker's state to the coordinator.

#include "AgentState.h"

#include <algorithm>

namespace amaranthwind::agent {

using namespace std::chrono_literals;

namespace {

/** Changes within this time are batched into one report. */
constexpr Duration kReportDelay = 3ms;
/** Added for each run, since the coordinator has to look at all of them. */
constexpr Duration kReportDelayPerRun = 50us;
/** Limit of reports that are kept. */
constexpr std::size_t kMaxSentReports = 32;

} // namespace

void
WorkerAgent::State::ReportChange()
{
  if (this->lastAnsweredReport < this->lastReport) {
    // A coordinator that is late would only get more work from more reports.
    this->hasUnreportedChange = true;
    return;
  }
  this->ScheduleReport();
}

void
WorkerAgent::State::ScheduleReport()
{
  if (!std::exchange(this->isReportScheduled, true)) {
    const auto runs = static_cast<int>(this->listedTasks.size() +
                                       this->unacknowledgedEnds.size());
    this->RunAfterDelay(kReportDelay + kReportDelayPerRun * runs,
                        [](State& aSelf) { aSelf.SendReport(); });
  }
}

void
WorkerAgent::State::ReportLoop()
{
  this->SendReport();
  this->RunAfterDelay(this->options.reportInterval,
                      [](State& aSelf) { aSelf.ReportLoop(); });
}

void
WorkerAgent::State::SendReport()
{
  this->isReportScheduled = false;
  this->hasUnreportedChange = false;
  this->LimitPastEnds();
  this->ForgetLateStarts();
  if (!this->hasRegistered || (this->workerInfo && !this->hasTaskList) ||
      this->HasUncancelledRequests()) {
    // Without a report, the coordinator keeps its current state; a task that is
    // missing from a report counts as gone.
    return;
  }
  dispatch::WorkerReport report;
  report.agent = this->options.id;
  report.worker = this->workerInfo;
  if (report.worker) {
    // Without this, a worker would stay cold while its registrations fail.
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->clock.Now() - this->registeredAt);
    auto& coldFor = report.worker->coldFor;
    coldFor = std::max(coldFor - age, std::chrono::milliseconds::zero());
  }
  for (const auto& [run, task] : this->listedTasks) {
    report.running.push_back(task);
    report.running.back().hasBegun = true;
  }
  for (const auto& [run, state] : this->runs) {
    if (!this->listedTasks.contains(run) && !state.isCancellationOnly) {
      report.running.push_back({ run, {}, 0 });
    }
  }
  for (const auto& [number, end] : this->unacknowledgedEnds) {
    report.ended.push_back(end);
  }
  report.pastEnds = this->pastEnds.List();
  report.mayHaveMoreEnds = this->mayHaveMoreEnds;
  report.receivedOrder = this->receivedOrder;
  if (this->sentReports.size() >= kMaxSentReports) {
    this->sentReports.erase(this->sentReports.begin());
  }
  this->sentReports[++this->lastReport] = { this->clock.Now(),
                                            this->incarnationNumber };
  this->coordinator.SendReport(this->lastReport, this->token, report);
}

std::string
ToLogText(const TaskRun& aRun)
{
  return job::ToText(aRun.task) + "#" + std::to_string(aRun.run);
}

} // namespace amaranthwind::agent
