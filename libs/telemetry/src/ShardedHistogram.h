#pragma once

#include <prometheus/client_metric.h>
#include <prometheus/collectable.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace amaranthwind::telemetry {

/**
 * Bucket counts of one histogram series. prometheus::Histogram takes a lock for
 * each observation; these counts are atomics, sharded so that threads rarely
 * write to the same cache line.
 */
struct ShardedHistogram
{
public:
  static constexpr std::size_t kMaxBounds = 24;

  explicit ShardedHistogram(std::span<const double> aBounds);

  std::span<const double> Bounds() const noexcept { return this->bounds; }
  void Observe(double aValue) noexcept;
  /**
   * The sample count equals the sum of the buckets; the sample sum may already
   * include newer observations.
   */
  prometheus::ClientMetric::Histogram Collect() const;

private:
  static constexpr std::size_t kShards = 8;
  static constexpr std::size_t kCacheLine = 64;

  struct alignas(kCacheLine) Shard
  {
    std::array<std::atomic<std::uint64_t>, kMaxBounds + 1> counts{};
    std::atomic<double> sum{ 0 };
  };

  static std::size_t ShardOfThread() noexcept;

  std::vector<double> bounds;
  std::array<Shard, kShards> shards;
};

} // namespace amaranthwind::telemetry
