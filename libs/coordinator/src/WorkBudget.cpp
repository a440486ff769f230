#include "WorkBudget.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace amaranthwind::coordinator {

using base::ErrorCode;
using base::Fail;
using base::Result;

namespace {

/** Entries in the tables of jobs, apart from the texts of the job. */
constexpr std::size_t kJobBytes = 2048;
/** A step's specification, state and record, apart from its tasks. */
constexpr std::size_t kStepBytes = 512;
/** A task's state and its decoded record. */
constexpr std::size_t kTaskBytes = 560;
/** What an account may use of what is free. */
constexpr std::size_t kAccountShare = 2;
/** Part of the limit that may be accepted and not read from the log yet. */
constexpr std::size_t kReservedDivisor = 8;
/**
 * An append that was not answered may still take effect for seconds. After this
 * time its job is either known or was never accepted.
 */
constexpr base::Duration kMaxAppendDelay = std::chrono::seconds(60);

} // namespace

std::size_t
FootprintOf(const job::WorkflowSpec& aSpec)
{
  std::size_t texts = aSpec.payload.size();
  std::size_t occurrence = 0;
  for (const job::StepSpec& step : aSpec.steps) {
    texts += step.requiredLabel.size() + step.dataRack.View().size() +
             step.dependsOn.size() * sizeof(step.dependsOn[0]);
    occurrence += kStepBytes + step.count * kTaskBytes;
  }
  return kJobBytes + texts + occurrence * aSpec.Occurrences();
}

WorkBudget::WorkBudget(const base::Clock& aClock, std::size_t aLimit)
  : clock(aClock)
  , limit(aLimit)
{
}

Result<void>
WorkBudget::Reserve(const job::WorkflowSpec& aSpec)
{
  const std::size_t bytes = FootprintOf(aSpec);
  const std::lock_guard lock(this->mutex);
  this->RemoveExpired();
  const auto known = this->jobs.find(aSpec.id);
  if (known != this->jobs.end()) {
    ++known->second.submissions;
    return base::success();
  }
  BOOST_OUTCOME_TRY(this->CheckRoom(aSpec.account, bytes));
  if (!this->reservations.empty() &&
      this->reserved + bytes > this->limit / kReservedDivisor) {
    return Fail(ErrorCode::QueueFull, "jobs being accepted");
  }
  this->Add(aSpec.id, { aSpec.account, bytes, true, 1, std::nullopt });
  return base::success();
}

Result<void>
WorkBudget::Check(const base::JobId& aJob)
{
  const std::lock_guard lock(this->mutex);
  const auto known = this->jobs.find(aJob);
  if (known == this->jobs.end() || !known->second.isReserved) {
    return base::success();
  }
  const Entry entry = known->second;
  this->Remove(aJob);
  auto result = this->CheckRoom(entry.account, entry.bytes);
  this->Add(aJob, entry);
  return result;
}

bool
WorkBudget::OnSubmitted(const base::JobId& aJob, bool aMayBeInLog)
{
  const std::lock_guard lock(this->mutex);
  const auto known = this->jobs.find(aJob);
  if (known == this->jobs.end()) {
    return aMayBeInLog;
  }
  Entry& entry = known->second;
  if (!entry.isReserved) {
    return true;
  }
  entry.submissions -= std::min(entry.submissions, 1U);
  if (aMayBeInLog) {
    entry.mayAppearUntil = this->clock.Now() + kMaxAppendDelay;
  }
  if (entry.submissions > 0 || entry.mayAppearUntil) {
    return true;
  }
  this->Remove(aJob);
  return false;
}

void
WorkBudget::OnJob(const base::JobId& aJob, const job::WorkflowSpec& aSpec)
{
  const std::lock_guard lock(this->mutex);
  const auto known = this->jobs.find(aJob);
  if (known != this->jobs.end() && !known->second.isReserved) {
    return;
  }
  this->Remove(aJob);
  this->Add(aJob,
            { aSpec.account, FootprintOf(aSpec), false, 0, std::nullopt });
}

void
WorkBudget::OnForgotten(const base::JobId& aJob)
{
  const std::lock_guard lock(this->mutex);
  const auto known = this->jobs.find(aJob);
  if (known != this->jobs.end() && !known->second.isReserved) {
    this->Remove(aJob);
  }
}

bool
WorkBudget::WasRead(const base::JobId& aJob) const
{
  const std::lock_guard lock(this->mutex);
  const auto known = this->jobs.find(aJob);
  return known != this->jobs.end() && !known->second.isReserved;
}

std::size_t
WorkBudget::Used() const
{
  const std::lock_guard lock(this->mutex);
  return this->used;
}

Result<void>
WorkBudget::CheckRoom(const base::AccountId& aAccount, std::size_t aBytes) const
{
  if (aBytes > kAccountShare * (this->limit - std::min(this->limit, aBytes))) {
    return Fail(ErrorCode::TooLarge, "steps");
  }
  const auto found = this->usedBy.find(aAccount);
  const std::size_t ofAccount =
    aBytes + (found == this->usedBy.end() ? 0 : found->second);
  const std::size_t free =
    this->limit - std::min(this->limit, this->used + aBytes);
  if (ofAccount > kAccountShare * free) {
    return Fail(ErrorCode::QueueFull, "accepted jobs");
  }
  return base::success();
}

void
WorkBudget::Add(const base::JobId& aJob, Entry aEntry)
{
  this->used += aEntry.bytes;
  this->usedBy[aEntry.account] += aEntry.bytes;
  if (aEntry.isReserved) {
    this->reserved += aEntry.bytes;
    this->reservations.insert(aJob);
  }
  this->jobs.emplace(aJob, std::move(aEntry));
}

void
WorkBudget::Remove(const base::JobId& aJob)
{
  const auto found = this->jobs.find(aJob);
  if (found == this->jobs.end()) {
    return;
  }
  const Entry& entry = found->second;
  this->used -= entry.bytes;
  const auto account = this->usedBy.find(entry.account);
  account->second -= entry.bytes;
  if (account->second == 0) {
    this->usedBy.erase(account);
  }
  if (entry.isReserved) {
    this->reserved -= entry.bytes;
    this->reservations.erase(aJob);
  }
  this->jobs.erase(found);
}

void
WorkBudget::RemoveExpired()
{
  const base::TimePoint now = this->clock.Now();
  const std::vector<base::JobId> ids(this->reservations.begin(),
                                     this->reservations.end());
  for (const auto& id : ids) {
    const Entry& entry = this->jobs.at(id);
    if (entry.submissions == 0 && entry.mayAppearUntil &&
        *entry.mayAppearUntil <= now) {
      this->Remove(id);
    }
  }
}

} // namespace amaranthwind::coordinator
