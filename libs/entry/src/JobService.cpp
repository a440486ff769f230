#include "JobService.h"

#include "HttpReplies.h"
#include "amaranthwind/codec/JobCodec.h"

#include <algorithm>
#include <utility>

namespace amaranthwind::entry {

using base::ErrorCode;
using base::Fail;
using frontend::HttpRequest;
using frontend::HttpResponder;
using frontend::HttpResponse;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr base::Duration kForwardTimeout = 20s;
constexpr std::uint16_t kStatusOk = 200;
constexpr std::uint16_t kStatusCreated = 201;
constexpr std::uint16_t kStatusAccepted = 202;
constexpr std::uint16_t kStatusNotFound = 404;

std::string_view
ToText(scheduling::WaitReason aReason)
{
  switch (aReason) {
    case scheduling::WaitReason::CannotFitNow:
      return "cannot-fit-now";
    case scheduling::WaitReason::UntilGuaranteeReturns:
      return "until-guarantee-returns";
    case scheduling::WaitReason::BehindReservation:
      return "behind-reservation";
    case scheduling::WaitReason::ReclaimPending:
      return "reclaim-pending";
  }
  return {};
}

HttpResponse
MakeJobResponse(std::uint16_t aStatus, const JobView& aView)
{
  HttpResponse response;
  response.status = aStatus;
  response.body = codec::EncodeJobState(
    aView.state, aView.wait ? ToText(aView.wait->reason) : std::string_view{});
  return response;
}

HttpResponse
MakeResponse(std::uint16_t aStatus, const JobResult& aResult)
{
  return aResult.has_value() ? MakeJobResponse(aStatus, aResult.value())
                             : MakeErrorResponse(aResult.error());
}

HttpResponse
MakeFailure(const base::Error& aError, bool aIsNotRun)
{
  return MakeErrorResponse({ aError, aIsNotRun, std::nullopt });
}

bool
IsBeingAccepted(const JobResult& aResult)
{
  return aResult.has_error() &&
         aResult.error().error.code == ErrorCode::OutcomeUnknown;
}

} // namespace

JobService::JobService(const base::ZoneId& aDefaultZone,
                       std::span<const std::unique_ptr<CellService>> aCells,
                       PolicyKeeper& aPolicy,
                       MembershipService& aMembership,
                       protocol::Node& aNode)
  : defaultZone(aDefaultZone)
  , cells(aCells)
  , policy(aPolicy)
  , membership(aMembership)
  , node(aNode)
  , random(base::MakeSeed())
{
}

void
JobService::Handle(const HttpRequest& aRequest, const HttpResponder& aRespond)
{
  this->Dispatch(aRequest, aRespond, false);
}

void
JobService::Dispatch(const HttpRequest& aRequest,
                     const HttpResponder& aRespond,
                     bool aIsForwarded)
{
  const std::string_view path = aRequest.path;
  if (path == kJobsPath && aRequest.method == "POST") {
    this->Submit(aRequest, aRespond, aIsForwarded);
    return;
  }
  if (path.size() > kJobsPath.size() + 1 && path[kJobsPath.size()] == '/') {
    const auto id = path.substr(kJobsPath.size() + 1);
    if (aRequest.method == "GET") {
      this->Query(id, aRequest, aRespond, aIsForwarded);
      return;
    }
    if (aRequest.method == "DELETE") {
      this->Cancel(id, aRequest, aRespond, aIsForwarded);
      return;
    }
  }
  aRespond(MakeFailure({ ErrorCode::UnknownPath, std::string(path) }, true));
}

base::Result<job::JobSpec>
JobService::ParseSpec(const HttpRequest& aRequest)
{
  const auto account = aRequest.Header("X-Client-Account");
  if (account.empty()) {
    return Fail(ErrorCode::MissingField, "X-Client-Account");
  }
  const auto caller = aRequest.Header("X-Caller");
  if (caller.empty()) {
    return Fail(ErrorCode::MissingField, "X-Caller");
  }
  BOOST_OUTCOME_TRY(auto spec, codec::DecodeJobSpec(aRequest.body));
  if (!spec.account.IsEmpty() && spec.account.View() != account) {
    return Fail(ErrorCode::OutOfRange, "account");
  }
  if (!spec.caller.IsEmpty() && spec.caller.View() != caller) {
    return Fail(ErrorCode::OutOfRange, "caller");
  }
  spec.account = base::AccountId(account);
  spec.caller = base::CallerId(caller);
  if (spec.id.IsEmpty()) {
    std::lock_guard lock(this->randomMutex);
    spec.id = base::JobId(base::MakeRecordId(this->random).View());
  }
  const auto inForce = this->policy.Current();
  if (inForce->FindAccount(spec.account) == nullptr) {
    return Fail(ErrorCode::UnknownAccount, account);
  }
  const auto* kind = inForce->FindKind(spec.kind);
  if (kind == nullptr || kind->workClass != policy::WorkClass::Gang) {
    return Fail(ErrorCode::UnknownKind, spec.kind.View());
  }
  spec.maxRuns = std::min(spec.maxRuns, kind->maxRuns);
  spec.isPreemptible = spec.isPreemptible || kind->isPreemptible;
  spec.zone = this->ChooseZone(spec);
  return spec;
}

base::ZoneId
JobService::ChooseZone(const job::JobSpec& aSpec) const
{
  return aSpec.zone.IsEmpty() ? this->defaultZone : aSpec.zone;
}

void
JobService::Submit(const HttpRequest& aRequest,
                   const HttpResponder& aRespond,
                   bool aIsForwarded)
{
  auto spec = this->ParseSpec(aRequest);
  if (spec.has_error()) {
    aRespond(MakeFailure(spec.error(), true));
    return;
  }
  const base::ZoneId zone = spec.value().zone;
  CellService* cell = FindCell(this->cells, zone);
  if (cell != nullptr && cell->IsActing()) {
    const std::string location = "/v1/jobs/" + spec.value().id.Text();
    cell->Submit(std::move(spec.value()),
                 [aRespond, location](const JobResult& aResult) {
                   auto response = MakeResponse(kStatusCreated, aResult);
                   response.headers.push_back({ "Location", location });
                   aRespond(std::move(response));
                 });
    return;
  }
  // Forwards the assigned id, so that the other entry does not choose another.
  const std::string body = codec::EncodeJobSpec(spec.value());
  if (aIsForwarded || !this->Forward(zone, aRequest, body, aRespond)) {
    aRespond(MakeErrorResponse(
      { { ErrorCode::NotReady, "coordinator of " + zone.Text() }, true, 1s }));
  }
}

void
JobService::FindJob(
  std::size_t aCell,
  const base::JobId& aJob,
  std::function<void(CellService*, const JobResult&)> aHandler)
{
  CellService* cell = this->cells[aCell].get();
  cell->Query(aJob,
              [this, aCell, aJob, cell, handler = std::move(aHandler)](
                const JobResult& aResult) {
                const bool isLast = aCell + 1 == this->cells.size();
                if (aResult.has_value() || IsBeingAccepted(aResult) || isLast) {
                  handler(aResult.has_value() ? cell : nullptr, aResult);
                } else {
                  this->FindJob(aCell + 1, aJob, handler);
                }
              });
}

void
JobService::Query(std::string_view aId,
                  const HttpRequest& aRequest,
                  const HttpResponder& aRespond,
                  bool aIsForwarded)
{
  this->FindJob(
    0,
    base::JobId(aId),
    [this, aRequest, aRespond, aIsForwarded](CellService* aCell,
                                             const JobResult& aResult) {
      if (aCell == nullptr) {
        this->AnswerUnknown(aResult, aRequest, aRespond, aIsForwarded);
        return;
      }
      // Only the coordinator knows why a job is waiting. If it can't be
      // reached, the state from the log is returned.
      const bool shouldForward =
        !aCell->IsActing() && !aIsForwarded &&
        aResult.value().state.phase == journal::JobPhase::Queued;
      if (!shouldForward ||
          !this->Forward(aCell->Zone(), aRequest, {}, aRespond)) {
        aRespond(MakeResponse(kStatusOk, aResult));
      }
    });
}

void
JobService::Cancel(std::string_view aId,
                   const HttpRequest& aRequest,
                   const HttpResponder& aRespond,
                   bool aIsForwarded)
{
  const base::JobId job(aId);
  this->FindJob(
    0,
    job,
    [this, job, aRequest, aRespond, aIsForwarded](CellService* aCell,
                                                  const JobResult& aResult) {
      if (aCell == nullptr) {
        this->AnswerUnknown(aResult, aRequest, aRespond, aIsForwarded);
        return;
      }
      const auto& spec = aResult.value().state.spec;
      if (aRequest.Header("X-Client-Account") != spec.account.View()) {
        // Does not reveal that another account's job exists.
        aRespond(MakeFailure({ ErrorCode::UnknownJob, job.Text() }, false));
        return;
      }
      if (aCell->IsActing()) {
        aCell->Cancel(job, [aRespond](const JobResult& aCancelled) {
          aRespond(MakeResponse(kStatusAccepted, aCancelled));
        });
      } else if (aIsForwarded ||
                 !this->Forward(aCell->Zone(), aRequest, {}, aRespond)) {
        aRespond(MakeErrorResponse(
          { { ErrorCode::NotReady, "coordinator of " + spec.zone.Text() },
            true,
            1s }));
      }
    });
}

void
JobService::AnswerUnknown(const JobResult& aResult,
                          const HttpRequest& aRequest,
                          const HttpResponder& aRespond,
                          bool aIsForwarded)
{
  if (IsBeingAccepted(aResult)) {
    aRespond(MakeErrorResponse(aResult.error()));
  } else {
    this->QueryCoordinators(0, aRequest, aRespond, aIsForwarded);
  }
}

void
JobService::QueryCoordinators(std::size_t aCell,
                              const HttpRequest& aRequest,
                              const HttpResponder& aRespond,
                              bool aIsForwarded)
{
  // A job that another entry has just accepted may not have been read from the
  // log here yet, so "unknown-job" could be wrong.
  for (std::size_t i = aCell; i < this->cells.size() && !aIsForwarded; ++i) {
    const bool isSent =
      !this->cells[i]->IsActing() &&
      this->Forward(this->cells[i]->Zone(),
                    aRequest,
                    {},
                    [this, i, aRequest, aRespond](HttpResponse aResponse) {
                      if (aResponse.status == kStatusNotFound) {
                        this->QueryCoordinators(
                          i + 1, aRequest, aRespond, false);
                      } else {
                        aRespond(std::move(aResponse));
                      }
                    });
    if (isSent) {
      return;
    }
  }
  const std::string_view path = aRequest.path;
  const auto id = path.substr(path.rfind('/') + 1);
  aRespond(MakeFailure({ ErrorCode::UnknownJob, std::string(id) }, true));
}

bool
JobService::Forward(const base::ZoneId& aZone,
                    const HttpRequest& aRequest,
                    std::string_view aBody,
                    const HttpResponder& aRespond)
{
  const auto coordinator = this->membership.FindCell(aZone);
  if (!coordinator || this->links == nullptr) {
    return false;
  }
  const auto known = this->links->Links();
  const auto link =
    std::find_if(known.begin(), known.end(), [&](const auto& aLink) {
      return aLink.entry.id == coordinator->coordinator.id;
    });
  if (link == known.end()) {
    return false;
  }
  protocol::ForwardJob forward;
  forward.method = aRequest.method;
  forward.path = aRequest.path;
  forward.account = base::AccountId(aRequest.Header("X-Client-Account"));
  forward.caller = base::CallerId(aRequest.Header("X-Caller"));
  forward.body = aBody;
  this->node.Call(
    link->connection,
    forward,
    kForwardTimeout,
    [aRespond](const protocol::CallResult& aResult) {
      const auto* reply =
        aResult.reply == nullptr
          ? nullptr
          : std::get_if<protocol::ForwardJobReply>(aResult.reply);
      if (reply == nullptr) {
        const bool isNotRun =
          aResult.reply == nullptr && !aResult.failure.mayHaveBeenSent;
        aRespond(MakeFailure(
          { isNotRun ? ErrorCode::NotReady : ErrorCode::OutcomeUnknown,
            "coordinator" },
          isNotRun));
        return;
      }
      HttpResponse response;
      response.status = reply->status;
      response.body = reply->body;
      aRespond(std::move(response));
    });
  return true;
}

void
JobService::HandleForwarded(protocol::ConnectionId aConnection,
                            protocol::CorrelationId aCorrelation,
                            const protocol::ForwardJob& aForward)
{
  HttpRequest request;
  request.method = aForward.method;
  request.path = aForward.path;
  request.headers.push_back({ "X-Client-Account", aForward.account.Text() });
  request.headers.push_back({ "X-Caller", aForward.caller.Text() });
  request.body = aForward.body;
  this->Dispatch(
    request,
    [this, aConnection, aCorrelation](HttpResponse aResponse) {
      protocol::ForwardJobReply reply;
      reply.status = aResponse.status;
      reply.body = std::move(aResponse.body);
      this->node.Reply(aConnection, aCorrelation, reply);
    },
    true);
}

} // namespace amaranthwind::entry
