#include "amaranthwind/telemetry/Logger.h"
#include "amaranthwind/telemetry/Metrics.h"

#include <benchmark/benchmark.h>

#include <array>

using namespace amaranthwind;
using namespace amaranthwind::telemetry;

namespace {

constexpr std::array<double, 6> kBounds{ 0.001, 0.01, 0.1, 0.5, 1, 10 };

/** Discards lines, to measure the cost of the Logger alone. */
class NullSink final : public LogSink
{
public:
  bool IsEnabled(LogLevel) const noexcept override { return true; }
  void Write(LogLevel, std::string_view aLine) noexcept override
  {
    benchmark::DoNotOptimize(aLine.data());
  }
};

void
IncrementCounter(benchmark::State& aState)
{
  static Metrics metrics;
  const Counter counter = metrics.MakeCounter({ "n_total", "" });
  for (auto step : aState) {
    (void)step;
    counter.Increment();
  }
}
BENCHMARK(IncrementCounter)->Threads(1)->Threads(4);

void
ObserveHistogram(benchmark::State& aState)
{
  static Metrics metrics;
  const Histogram histogram =
    metrics.MakeHistogram({ "h_seconds", "" }, kBounds);
  for (auto step : aState) {
    (void)step;
    histogram.Observe(0.05);
  }
}
BENCHMARK(ObserveHistogram)->Threads(1)->Threads(4);

void
SuppressedLine(benchmark::State& aState)
{
  static NullSink sink;
  static const base::SystemClock clock;
  static Logger logger(sink, clock, "benchmark");
  for (auto step : aState) {
    (void)step;
    logger.Info("repeated", { { "id", "w-1" } });
  }
}
BENCHMARK(SuppressedLine)->Threads(1)->Threads(4);

} // namespace

BENCHMARK_MAIN();
