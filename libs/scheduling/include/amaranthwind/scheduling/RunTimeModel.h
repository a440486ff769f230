#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace amaranthwind::scheduling {

/** Row of an account and a kind of work; never invalidated. */
using RunTimeIndex = std::uint32_t;

struct RunTimeEstimate
{
  base::Duration median{};
  /** Run time that nine of ten runs are expected not to exceed. */
  base::Duration high{};
};

/**
 * Estimates the run time of each account and kind of work from its most recent
 * runs. Declared run times are wrong by a factor of up to ten, so they are used
 * only until kMinSamples runs were observed.
 */
class RunTimeModel
{
public:
  static constexpr std::size_t kMinSamples = 3;
  static constexpr std::size_t kMaxSamples = 32;
  static constexpr int kDeclaredErrorFactor = 10;

  RunTimeIndex Find(const base::AccountId& aAccount,
                    const base::WorkKindId& aKind);
  void Add(RunTimeIndex aIndex, base::Duration aRunTime);
  RunTimeEstimate Estimate(RunTimeIndex aIndex, base::Duration aDeclared) const;

private:
  struct Row
  {
    /** Ring buffer of the most recent run times. */
    std::vector<base::Duration> samples;
    std::size_t next = 0;
    RunTimeEstimate estimate;
  };

  std::vector<Row> rows;
  std::map<std::pair<base::AccountId, base::WorkKindId>, RunTimeIndex> indices;
};

} // namespace amaranthwind::scheduling
