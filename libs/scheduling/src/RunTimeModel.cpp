#include "amaranthwind/scheduling/RunTimeModel.h"

#include <algorithm>

namespace amaranthwind::scheduling {

RunTimeIndex
RunTimeModel::Find(const base::AccountId& aAccount,
                   const base::WorkKindId& aKind)
{
  const auto [found, isNew] = this->indices.try_emplace(
    std::pair(aAccount, aKind), static_cast<RunTimeIndex>(this->rows.size()));
  if (isNew) {
    this->rows.emplace_back();
  }
  return found->second;
}

void
RunTimeModel::Add(RunTimeIndex aIndex, base::Duration aRunTime)
{
  Row& row = this->rows[aIndex];
  if (row.samples.size() < this->kMaxSamples) {
    row.samples.push_back(aRunTime);
  } else {
    row.samples[row.next] = aRunTime;
    row.next = (row.next + 1) % this->kMaxSamples;
  }
  std::vector<base::Duration> sorted = row.samples;
  std::sort(sorted.begin(), sorted.end());
  row.estimate.median = sorted[sorted.size() / 2];
  row.estimate.high = sorted[sorted.size() * 9 / 10];
  if (sorted.size() < 10) {
    // With so few samples, the maximum underestimates the 90th percentile.
    row.estimate.high = sorted.back() * 2;
  }
}

RunTimeEstimate
RunTimeModel::Estimate(RunTimeIndex aIndex, base::Duration aDeclared) const
{
  const Row& row = this->rows[aIndex];
  if (row.samples.size() >= this->kMinSamples) {
    return row.estimate;
  }
  return { aDeclared, aDeclared * this->kDeclaredErrorFactor };
}

} // namespace amaranthwind::scheduling
