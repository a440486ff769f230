#include "amaranthwind/ledger/JobTable.h"

#include <algorithm>
#include <set>
#include <utility>

namespace amaranthwind::ledger {

bool
JobEntry::HasBegun() const
{
  // The records of older versions tell it of runs that have ended only.
  const auto hasEnded = [](const TaskRecord& aTask) {
    return aTask.phase == TaskPhase::Done || aTask.failures > 0;
  };
  return this->hasBegunRecord ||
         std::any_of(
           this->steps.begin(), this->steps.end(), [&](const auto& aStep) {
             const auto& tasks = aStep.second.tasks;
             return std::any_of(tasks.begin(), tasks.end(), hasEnded);
           });
}

JobPhase
JobEntry::Phase() const
{
  if (this->spec == nullptr) {
    return JobPhase::Pending;
  }
  std::size_t done = 0;
  for (const auto& [key, record] : this->steps) {
    if (record.hasFailed) {
      return JobPhase::Failed;
    }
    const auto isDone = [](const TaskRecord& aTask) {
      return aTask.phase == TaskPhase::Done;
    };
    if (key.second < this->spec->steps.size() &&
        static_cast<std::size_t>(
          std::count_if(record.tasks.begin(), record.tasks.end(), isDone)) ==
          this->spec->steps[key.second].count) {
      ++done;
    }
  }
  if (done == this->spec->steps.size() * this->spec->Occurrences()) {
    return JobPhase::Completed;
  }
  if (this->isCancelRequested) {
    return JobPhase::Cancelled;
  }
  return this->HasBegun() ? JobPhase::Running : JobPhase::Pending;
}

JobTable::JobTable(const RecordCodec& aCodec)
  : codec(aCodec)
{
}

TableChanges
JobTable::Load(std::span<const journal::KeyedRecord> aNewest)
{
  auto previousJobs = std::exchange(this->jobs, {});
  TableChanges changes = this->Apply(aNewest);
  std::set<base::JobId> changed(changes.jobs.begin(), changes.jobs.end());
  for (const auto& [id, entry] : previousJobs) {
    changed.insert(id);
  }
  changes.jobs.assign(changed.begin(), changed.end());
  return changes;
}

TableChanges
JobTable::Apply(std::span<const journal::KeyedRecord> aRecords)
{
  TableChanges changes;
  for (const auto& record : aRecords) {
    const RecordKey key = ParseKey(record.key);
    if (key.kind == RecordKind::Other) {
      continue;
    }
    if (auto error = this->ApplyRecord(record)) {
      changes.undecodable.push_back(
        { record.key, record.offset, std::move(*error) });
    } else if (changes.jobs.empty() || changes.jobs.back() != key.step.job) {
      changes.jobs.push_back(key.step.job);
    }
  }
  return changes;
}

std::optional<base::Error>
JobTable::ApplyRecord(const journal::KeyedRecord& aRecord)
{
  const RecordKey key = ParseKey(aRecord.key);
  switch (key.kind) {
    case RecordKind::Accepted:
      return this->ApplyAccepted(key.step.job, aRecord);
    case RecordKind::Cancelled:
      if (aRecord.value.empty()) {
        const auto found = this->jobs.find(key.step.job);
        if (found != this->jobs.end() && found->second.spec == nullptr) {
          this->jobs.erase(found);
        }
      } else {
        JobEntry& entry = this->jobs[key.step.job];
        entry.isCancelRequested = true;
        entry.cancelledBy = CancellingAccount(aRecord.value);
      }
      return std::nullopt;
    case RecordKind::Begun:
      this->ApplyBegun(key.step.job, aRecord);
      return std::nullopt;
    case RecordKind::Step:
      return this->ApplyStep(key.step, aRecord);
    case RecordKind::Other:
      break;
  }
  return std::nullopt;
}

std::optional<base::Error>
JobTable::ApplyAccepted(const base::JobId& aJob,
                        const journal::KeyedRecord& aRecord)
{
  if (aRecord.value.empty()) {
    this->jobs.erase(aJob);
    return std::nullopt;
  }
  JobEntry& entry = this->jobs[aJob];
  entry.isAccepted = true;
  if (entry.spec != nullptr) {
    // A resubmission of the same job; the first record wins.
    return std::nullopt;
  }
  auto spec = this->codec.DecodeWorkflow(aRecord.value);
  if (spec.has_error()) {
    return spec.error();
  }
  spec.value().id = aJob;
  entry.spec =
    std::make_shared<const job::WorkflowSpec>(std::move(spec.value()));
  entry.acceptedOffset = aRecord.offset;
  return std::nullopt;
}

void
JobTable::ApplyBegun(const base::JobId& aJob,
                     const journal::KeyedRecord& aRecord)
{
  if (!aRecord.value.empty()) {
    this->jobs[aJob].hasBegunRecord = true;
    return;
  }
  const auto found = this->jobs.find(aJob);
  if (found != this->jobs.end()) {
    found->second.hasBegunRecord = false;
    this->EraseIfEmpty(found);
  }
}

void
JobTable::EraseIfEmpty(Jobs::iterator aEntry)
{
  const JobEntry& entry = aEntry->second;
  if (!entry.isAccepted && !entry.isCancelRequested && !entry.hasBegunRecord &&
      entry.steps.empty()) {
    this->jobs.erase(aEntry);
  }
}

std::optional<base::Error>
JobTable::ApplyStep(const job::StepId& aStep,
                    const journal::KeyedRecord& aRecord)
{
  const std::pair key{ aStep.occurrence, aStep.step };
  if (aRecord.value.empty()) {
    const auto found = this->jobs.find(aStep.job);
    if (found != this->jobs.end()) {
      found->second.steps.erase(key);
      this->EraseIfEmpty(found);
    }
    return std::nullopt;
  }
  auto step = this->codec.DecodeStep(aRecord.value);
  if (step.has_error()) {
    return step.error();
  }
  step.value().id = aStep;
  this->jobs[aStep.job].steps[key] = std::move(step.value());
  return std::nullopt;
}

const JobEntry*
JobTable::Find(const base::JobId& aJob) const
{
  const auto found = this->jobs.find(aJob);
  return found == this->jobs.end() || found->second.spec == nullptr
           ? nullptr
           : &found->second;
}

void
JobTable::ForEach(
  const std::function<void(const base::JobId&, const JobEntry&)>& aVisit) const
{
  for (const auto& [id, entry] : this->jobs) {
    if (entry.spec != nullptr) {
      aVisit(id, entry);
    }
  }
}

const JobEntry*
JobTable::FindEarlyCancellation(const base::JobId& aJob) const
{
  const auto found = this->jobs.find(aJob);
  return found == this->jobs.end() || !found->second.IsEarlyCancellation()
           ? nullptr
           : &found->second;
}

void
JobTable::ForEachEarlyCancellation(
  const std::function<void(const base::JobId&, const JobEntry&)>& aVisit) const
{
  for (const auto& [id, entry] : this->jobs) {
    if (entry.IsEarlyCancellation()) {
      aVisit(id, entry);
    }
  }
}

void
JobTable::ForEachOrphan(
  const std::function<void(const base::JobId&, const JobEntry&)>& aVisit) const
{
  for (const auto& [id, entry] : this->jobs) {
    if (!entry.isAccepted && !entry.IsEarlyCancellation()) {
      aVisit(id, entry);
    }
  }
}

} // namespace amaranthwind::ledger
