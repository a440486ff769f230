// The part of CellService that answers callers.

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
NotRun(ErrorCode aCode, std::string_view aSubject)
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
CellService::NotCoordinator() const
{
  return boost::outcome_v2::failure(
    NotRun(ErrorCode::NotReady, "coordinator of " + this->options.zone.Text()));
}

std::optional<JobView>
CellService::ViewOf(const base::JobId& aJob) const
{
  const auto* state = this->replay.Find(aJob);
  if (state == nullptr) {
    const auto found = this->accepted.find(aJob);
    return found == this->accepted.end()
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
      NotRun(ErrorCode::QueueFull, this->options.zone.View())));
  }
}

void
CellService::SubmitOnLoop(const job::JobSpec& aSpec, const JobHandler& aHandler)
{
  if (!this->isActing.load()) {
    aHandler(this->NotCoordinator());
    return;
  }
  if (const auto known = this->ViewOf(aSpec.id)) {
    if (known->state.spec == aSpec) {
      aHandler(*known);
    } else {
      aHandler(boost::outcome_v2::failure(codec::ErrorReply{
        { ErrorCode::KeyReused, aSpec.id.Text() }, true, std::nullopt }));
    }
    return;
  }
  if (!this->accepting.insert(aSpec.id).second) {
    // The same submission is on its way; its outcome is not known yet.
    aHandler(boost::outcome_v2::failure(codec::ErrorReply{
      { ErrorCode::OutcomeUnknown, aSpec.id.Text() }, false, kRetryAfter }));
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
    // The caller hears of it when it is known whether the job is accepted.
    this->AppendOnce(std::move(aTask),
                     [this, aSpec, aHandler](journal::AppendTask aTried,
                                             const Result<LogOffset>& aAgain) {
                       this->OnAccepted(
                         aSpec, aHandler, std::move(aTried), aAgain);
                     });
    return;
  }
  this->accepting.erase(aSpec.id);
  if (aResult.has_error()) {
    if (aResult.error().code == ErrorCode::StaleToken) {
      this->Lead(gang::TokenLost{});
    }
    aHandler(boost::outcome_v2::failure(
      NotRun(aResult.error().code, this->options.zone.View())));
    return;
  }
  this->logger.Info("job is accepted",
                    { { "job", aSpec.id }, { "account", aSpec.account } });
  this->accepted[aSpec.id] = aSpec;
  this->recorder.OnAccepted(
    aSpec.id, this->UrgencyOf(aSpec.kind), this->clock.Now());
  this->follower.Wake();
  aHandler(MakeQueuedView(aSpec));
  this->Schedule(
    scheduling::JobSubmitted{ aSpec, this->UrgencyOf(aSpec.kind) });
}

void
CellService::Query(const base::JobId& aJob, JobHandler aHandler)
{
  this->loop.Post([this, aJob, handler = std::move(aHandler)] {
    if (auto view = this->ViewOf(aJob)) {
      handler(std::move(*view));
    } else {
      handler(boost::outcome_v2::failure(codec::ErrorReply{
        { ErrorCode::UnknownJob, aJob.Text() }, false, std::nullopt }));
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
    aHandler(this->NotCoordinator());
    return;
  }
  auto view = this->ViewOf(aJob);
  if (!view) {
    aHandler(boost::outcome_v2::failure(codec::ErrorReply{
      { ErrorCode::UnknownJob, aJob.Text() }, false, std::nullopt }));
    return;
  }
  if (view->state.phase == journal::JobPhase::Ended ||
      view->state.isCancelRequested) {
    aHandler(std::move(*view));
    return;
  }
  view->state.isCancelRequested = true;
  // The record stands in the log before any later decision on the job, since
  // the writer keeps the order. Told only afterwards, the scheduler could start
  // an attempt whose commit the log then takes for an abort.
  this->AppendUntilDone(journal::JobCancelledRecord{ this->token, aJob },
                        [aHandler, answer = *view] { aHandler(answer); });
  this->Schedule(scheduling::JobCancelled{ aJob });
}

// Status

} // namespace amaranthwind::entry
