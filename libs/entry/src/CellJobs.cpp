// The part of CellService that handles callers' requests.

#include "CellService.h"

#include <utility>

namespace amaranthwind::entry {

using base::ErrorCode;
using base::LogOffset;
using base::Result;
using protocol::ConnectionId;
using namespace std::chrono_literals;

namespace {

constexpr base::Duration kRetryAfter = 2s;

codec::ErrorReply
MakeNotRunReply(ErrorCode aCode, std::string_view aSubject)
{
  return { { aCode, std::string(aSubject) }, true, kRetryAfter };
}

JobView
MakeQueuedView(const job::JobSpec& aSpec)
{
  JobView view;
  view.state.spec = aSpec;
  return view;
}

} // namespace

JobResult
CellService::MakeNotCoordinatorError() const
{
  return boost::outcome_v2::failure(MakeNotRunReply(
    ErrorCode::NotReady, "coordinator of " + this->options.zone.Text()));
}

JobResult
CellService::MakeUnknownJobError(const base::JobId& aJob) const
{
  if (this->acceptingJobs.contains(aJob)) {
    // Its acceptance is being appended; the outcome is not known yet.
    return boost::outcome_v2::failure(codec::ErrorReply{
      { ErrorCode::OutcomeUnknown, aJob.Text() }, false, kRetryAfter });
  }
  return boost::outcome_v2::failure(codec::ErrorReply{
    { ErrorCode::UnknownJob, aJob.Text() }, false, std::nullopt });
}

std::optional<JobView>
CellService::FindJobView(const base::JobId& aJob) const
{
  const auto* state = this->replay.Find(aJob);
  if (state == nullptr) {
    const auto found = this->acceptedJobs.find(aJob);
    return found == this->acceptedJobs.end()
             ? std::nullopt
             : std::optional(MakeQueuedView(found->second));
  }
  JobView view{ *state, std::nullopt };
  if (this->scheduler && state->phase == journal::JobPhase::Queued) {
    const auto wait = this->scheduler->ExplainWait(this->clock.Now(), aJob);
    if (wait.has_value()) {
      view.wait = wait.value();
    }
  }
  return view;
}

void
CellService::Submit(job::JobSpec aSpec, const JobHandler& aHandler)
{
  const bool isAccepted =
    this->loop.TryPost([this, spec = std::move(aSpec), aHandler] {
      this->SubmitOnLoop(spec, aHandler);
    });
  if (!isAccepted) {
    aHandler(boost::outcome_v2::failure(
      MakeNotRunReply(ErrorCode::QueueFull, this->options.zone.View())));
  }
}

void
CellService::SubmitOnLoop(const job::JobSpec& aSpec, const JobHandler& aHandler)
{
  if (!this->isActing.load()) {
    aHandler(this->MakeNotCoordinatorError());
    return;
  }
  if (const auto known = this->FindJobView(aSpec.id)) {
    if (known->state.spec == aSpec) {
      aHandler(*known);
    } else {
      aHandler(boost::outcome_v2::failure(codec::ErrorReply{
        { ErrorCode::KeyReused, aSpec.id.Text() }, true, std::nullopt }));
    }
    return;
  }
  if (!this->acceptingJobs.insert(aSpec.id).second) {
    aHandler(this->MakeUnknownJobError(aSpec.id));
    return;
  }
  this->AppendOnce(
    this->MakeTask(journal::JobAcceptedRecord{ this->token, aSpec }, true),
    [this, aSpec, aHandler](journal::AppendTask aTask,
                            const Result<LogOffset>& aResult) {
      this->OnAccepted(aSpec, aHandler, std::move(aTask), aResult);
    });
}

void
CellService::OnAccepted(const job::JobSpec& aSpec,
                        const JobHandler& aHandler,
                        journal::AppendTask aTask,
                        const Result<LogOffset>& aResult)
{
  if (aResult.has_error() &&
      aResult.error().code == ErrorCode::AppendUnconfirmed) {
    // Retries until it is known whether the job is accepted; the caller gets
    // its response only then.
    this->AppendOnce(
      std::move(aTask),
      [this, aSpec, aHandler](journal::AppendTask aTried,
                              const Result<LogOffset>& aRetryResult) {
        this->OnAccepted(aSpec, aHandler, std::move(aTried), aRetryResult);
      });
    return;
  }
  this->acceptingJobs.erase(aSpec.id);
  if (aResult.has_error()) {
    if (aResult.error().code == ErrorCode::StaleToken) {
      this->HandleGangEvent(gang::TokenLost{});
    }
    aHandler(boost::outcome_v2::failure(
      MakeNotRunReply(aResult.error().code, this->options.zone.View())));
    return;
  }
  this->logger.Info("job accepted",
                    { { "job", aSpec.id }, { "account", aSpec.account } });
  this->acceptedJobs[aSpec.id] = aSpec;
  this->recorder.OnAccepted(
    aSpec.id, this->UrgencyOf(aSpec.kind), this->clock.Now());
  this->follower.Wake();
  aHandler(MakeQueuedView(aSpec));
  this->HandleSchedulingEvent(
    scheduling::JobSubmitted{ aSpec, this->UrgencyOf(aSpec.kind) });
}

void
CellService::Query(const base::JobId& aJob, JobHandler aHandler)
{
  this->loop.Post([this, aJob, handler = std::move(aHandler)] {
    if (auto view = this->FindJobView(aJob)) {
      handler(std::move(*view));
    } else {
      handler(this->MakeUnknownJobError(aJob));
    }
  });
}

void
CellService::Cancel(const base::JobId& aJob, JobHandler aHandler)
{
  this->loop.Post([this, aJob, handler = std::move(aHandler)] {
    this->CancelOnLoop(aJob, handler);
  });
}

void
CellService::CancelOnLoop(const base::JobId& aJob, const JobHandler& aHandler)
{
  if (!this->isActing.load()) {
    aHandler(this->MakeNotCoordinatorError());
    return;
  }
  auto view = this->FindJobView(aJob);
  if (!view) {
    aHandler(this->MakeUnknownJobError(aJob));
    return;
  }
  if (view->state.phase == journal::JobPhase::Ended ||
      view->state.isCancelRequested) {
    aHandler(std::move(*view));
    return;
  }
  view->state.isCancelRequested = true;
  // The writer keeps the order, so this record precedes any later decision on
  // the job in the log. The scheduler is notified at once: if it learned of the
  // cancellation only after the append, it could start an attempt in between,
  // whose commit the log would treat as an abort.
  this->AppendWithRetry(journal::JobCancelledRecord{ this->token, aJob },
                        [aHandler, reply = *view] { aHandler(reply); });
  this->HandleSchedulingEvent(scheduling::JobCancelled{ aJob });
}

} // namespace amaranthwind::entry
