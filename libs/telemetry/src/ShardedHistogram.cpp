#include "ShardedHistogram.h"

#include <algorithm>
#include <limits>
#include <stdexcept>

namespace amaranthwind::telemetry {

ShardedHistogram::ShardedHistogram(std::span<const double> aBounds)
  : bounds(aBounds.begin(), aBounds.end())
{
  const bool isIncreasing =
    std::adjacent_find(aBounds.begin(), aBounds.end(), std::greater_equal{}) ==
    aBounds.end();
  if (aBounds.size() > kMaxBounds || !isIncreasing) {
    throw std::invalid_argument(
      "histogram bounds must be strictly increasing and at most 24");
  }
}

void
ShardedHistogram::Observe(double aValue) noexcept
{
  // Upper bounds are inclusive: "le" means less than or equal.
  const auto bucket = static_cast<std::size_t>(
    std::lower_bound(this->bounds.begin(), this->bounds.end(), aValue) -
    this->bounds.begin());
  Shard& shard = this->shards[ShardOfThread()];
  shard.counts[bucket].fetch_add(1, std::memory_order_relaxed);
  shard.sum.fetch_add(aValue, std::memory_order_relaxed);
}

prometheus::ClientMetric::Histogram
ShardedHistogram::Collect() const
{
  prometheus::ClientMetric::Histogram out;
  for (std::size_t i = 0; i <= this->bounds.size(); ++i) {
    for (const Shard& shard : this->shards) {
      out.sample_count += shard.counts[i].load(std::memory_order_relaxed);
    }
    out.bucket.push_back({ out.sample_count,
                           i < this->bounds.size()
                             ? this->bounds[i]
                             : std::numeric_limits<double>::infinity() });
  }
  for (const Shard& shard : this->shards) {
    out.sample_sum += shard.sum.load(std::memory_order_relaxed);
  }
  return out;
}

std::size_t
ShardedHistogram::ShardOfThread() noexcept
{
  static std::atomic<std::size_t> threadCount{ 0 };
  thread_local const std::size_t shard = threadCount.fetch_add(1) % kShards;
  return shard;
}

} // namespace amaranthwind::telemetry
