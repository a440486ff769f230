#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace amaranthwind::scheduling {

/** Row of an account and a kind of work; stays valid. */
using RunTimeIndex = std::uint32_t;

struct RunTimeEstimate
{
  base::Duration median{};
  /** Nine of ten runs end earlier. */
  base::Duration high{};
};

/**
 * Run times learned for each account and kind of work from the latest runs.
 * Declared run times are off by up to ten times, so that they count only until
 * kMinSamples runs have been seen.
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
    /** Ring of the latest run times. */
    std::vector<base::Duration> samples;
    std::size_t next = 0;
    RunTimeEstimate estimate;
  };

  std::vector<Row> rows;
  std::map<std::pair<base::AccountId, base::WorkKindId>, RunTimeIndex> indices;
};

} // namespace amaranthwind::scheduling
