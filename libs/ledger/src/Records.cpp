#include "amaranthwind/ledger/Records.h"

namespace amaranthwind::ledger {

namespace {

constexpr std::string_view kAccepted = "a/";
constexpr std::string_view kCancelled = "c/";
constexpr std::string_view kBegun = "b/";
constexpr std::string_view kStep = "s/";
/** Before the account in the value of a cancellation. */
constexpr std::string_view kCancelledBy = "1/";

std::string
Join(std::string_view aPrefix, std::string_view aRest)
{
  std::string joined(aPrefix);
  joined += aRest;
  return joined;
}

} // namespace

std::string
AcceptedKey(const base::JobId& aJob)
{
  return Join(kAccepted, aJob.View());
}

std::string
CancelledKey(const base::JobId& aJob)
{
  return Join(kCancelled, aJob.View());
}

std::string
BegunKey(const base::JobId& aJob)
{
  return Join(kBegun, aJob.View());
}

std::string
StepKey(const job::StepId& aStep)
{
  std::string key = Join(kStep, aStep.job.View());
  key += '.';
  key += std::to_string(aStep.occurrence);
  key += '.';
  key += std::to_string(aStep.step);
  return key;
}

std::string
CancelledValue(const base::AccountId& aAccount)
{
  return Join(kCancelledBy, aAccount.View());
}

base::AccountId
CancellingAccount(std::string_view aValue)
{
  return base::AccountId(aValue.starts_with(kCancelledBy)
                           ? aValue.substr(kCancelledBy.size())
                           : std::string_view());
}

RecordKey
ParseKey(std::string_view aKey)
{
  RecordKey parsed;
  if (aKey.starts_with(kAccepted)) {
    parsed.kind = RecordKind::Accepted;
    parsed.step.job = base::JobId(aKey.substr(kAccepted.size()));
  } else if (aKey.starts_with(kCancelled)) {
    parsed.kind = RecordKind::Cancelled;
    parsed.step.job = base::JobId(aKey.substr(kCancelled.size()));
  } else if (aKey.starts_with(kBegun)) {
    parsed.kind = RecordKind::Begun;
    parsed.step.job = base::JobId(aKey.substr(kBegun.size()));
  } else if (aKey.starts_with(kStep)) {
    // A step key has the form of a task id without its index.
    auto task = job::ParseTaskId(std::string(aKey.substr(kStep.size())) + ".0");
    if (task.has_value()) {
      parsed.kind = RecordKind::Step;
      parsed.step = std::move(task.value().step);
    }
  }
  return parsed;
}

} // namespace amaranthwind::ledger
