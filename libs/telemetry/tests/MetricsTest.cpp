#include "amaranthwind/telemetry/Metrics.h"
#include "amaranthwind/telemetry/StandardMetrics.h"

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::telemetry;
using namespace std::chrono_literals;

namespace {

constexpr std::array<double, 2> kBounds{ 0.5, 1.0 };

bool
HasLine(const std::string& aText, const std::string& aLine)
{
  return ("\n" + aText).find("\n" + aLine + "\n") != std::string::npos;
}

} // namespace

// Guards against output that a Prometheus server cannot parse.
TEST_CASE("metrics are rendered in the Prometheus text format")
{
  Metrics metrics;
  const std::array<MetricLabel, 1> quote{ { { "kind", "quote" } } };
  metrics.MakeCounter({ "requests_total", "Requests." }, quote).Increment(3);
  metrics.MakeGauge({ "queue_length", "Length." }).Set(7);
  metrics.MakeGauge({ "queue_length", "Length." }).Add(-2);
  const Histogram wait =
    metrics.MakeHistogram({ "wait_seconds", "Wait." }, kBounds, quote);
  wait.Observe(500ms);
  wait.Observe(750ms);
  wait.Observe(2.0);
  Counter{}.Increment();
  const std::string text = metrics.Render();
  CAPTURE(text);
  for (const auto* line :
       { "# HELP amaranthwind_requests_total Requests.",
         "# TYPE amaranthwind_requests_total counter",
         R"(amaranthwind_requests_total{kind="quote"} 3)",
         "amaranthwind_queue_length 5",
         "# TYPE amaranthwind_wait_seconds histogram",
         R"(amaranthwind_wait_seconds_bucket{kind="quote",le="0.5"} 1)",
         R"(amaranthwind_wait_seconds_bucket{kind="quote",le="1"} 2)",
         R"(amaranthwind_wait_seconds_bucket{kind="quote",le="+Inf"} 3)",
         R"(amaranthwind_wait_seconds_count{kind="quote"} 3)",
         R"(amaranthwind_wait_seconds_sum{kind="quote"} 3.25)" }) {
    CAPTURE(line);
    CHECK(HasLine(text, line));
  }
}

// Guards against registering a metric that cannot be exported.
TEST_CASE("invalid registrations are rejected")
{
  Metrics metrics;
  metrics.MakeCounter({ "a_total", "" });
  const std::array<MetricLabel, 1> le{ { { "le", "1" } } };
  const std::array<double, 2> falling{ 1.0, 0.5 };
  CHECK_THROWS_AS(metrics.MakeGauge({ "a_total", "" }), std::invalid_argument);
  CHECK_THROWS_AS(metrics.MakeCounter({ "a-b", "" }), std::invalid_argument);
  CHECK_THROWS_AS(metrics.MakeCounter({ "b_total", "" }, le),
                  std::invalid_argument);
  CHECK_THROWS_AS(metrics.MakeHistogram({ "c", "" }, falling),
                  std::invalid_argument);
  CHECK(metrics.Render().find("amaranthwind_c") == std::string::npos);
}

// Guards against unbounded memory use as accounts keep being added.
TEST_CASE("the number of series of a family is bounded")
{
  Metrics metrics;
  for (std::size_t i = 0; i < Metrics::kMaxSeries + 10; ++i) {
    const std::string account = std::to_string(i);
    const std::array<MetricLabel, 1> labels{ { { "account", account } } };
    metrics.MakeCounter({ "n_total", "" }, labels).Increment();
    metrics.MakeHistogram({ "h", "" }, kBounds, labels).Observe(0.1);
  }
  const std::string text = metrics.Render();
  CHECK(HasLine(text, R"(amaranthwind_n_total{account="0"} 1)"));
  CHECK(HasLine(text, R"(amaranthwind_n_total{account="other"} 10)"));
  CHECK(HasLine(text, R"(amaranthwind_h_count{account="other"} 10)"));
}

// Guards against lost updates and data races between requests and a scrape.
TEST_CASE("concurrent updates are all counted")
{
  constexpr int kThreads = 4;
  constexpr int kUpdates = 5000;
  Metrics metrics;
  const Counter counter = metrics.MakeCounter({ "n_total", "" });
  const Gauge gauge = metrics.MakeGauge({ "g", "" });
  const Histogram histogram = metrics.MakeHistogram({ "h", "" }, kBounds);
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (int j = 0; j < kUpdates; ++j) {
        counter.Increment();
        gauge.Add(j % 2 == 0 ? 1 : -1);
        histogram.Observe(0.5);
        if (j % 500 == 0) {
          const std::string value = std::to_string(j);
          const std::array<MetricLabel, 1> label{ { { "j", value } } };
          metrics.MakeCounter({ "late_total", "" }, label).Increment();
          metrics.MakeHistogram({ "late", "" }, kBounds, label).Observe(1);
          CHECK_FALSE(metrics.Render().empty());
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::string text = metrics.Render();
  CHECK(HasLine(text, "amaranthwind_n_total 20000"));
  CHECK(HasLine(text, "amaranthwind_g 0"));
  CHECK(HasLine(text, "amaranthwind_h_count 20000"));
  CHECK(HasLine(text, "amaranthwind_h_sum 10000"));
  CHECK(HasLine(text, R"(amaranthwind_late_total{j="500"} 4)"));
}

// Guards against names that conflict or violate the Prometheus conventions.
TEST_CASE("the standard metrics register together under conventional names")
{
  Metrics metrics;
  const ProcessMetrics process(metrics);
  const RequestMetrics requests(metrics, base::WorkKindId("quote"));
  const AccountMetrics account(metrics, base::AccountId("a"));
  const CellMetrics cell(metrics, base::ZoneId("z"));
  const EntryMetrics entry(metrics);
  const PolicyMetrics policy(metrics);
  const AppendMetrics log(metrics);
  const TargetMetrics target(metrics);
  requests.Outcome(RequestOutcome::NotRun).Increment();
  cell.Attempts(GangResult::Preempted).Increment(2);
  entry.Targets(TargetState::Silent).Set(3);
  log.Appends(AppendResult::Unconfirmed).Increment(4);
  target.Tasks(GangResult::Failed).Increment(5);
  const std::string text = metrics.Render();
  for (const auto* line :
       { R"(amaranthwind_requests_total{kind="quote",outcome="not_run"} 1)",
         R"(amaranthwind_gang_attempts_total{result="preempted",zone="z"} 2)",
         R"(amaranthwind_targets{state="silent"} 3)",
         R"(amaranthwind_log_appends_total{result="unconfirmed"} 4)",
         R"(amaranthwind_tasks_total{result="failed"} 5)" }) {
    CAPTURE(line);
    CHECK(HasLine(text, line));
  }
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    CAPTURE(line);
    if (line.starts_with("# TYPE ")) {
      const bool isCounter = line.ends_with(" counter");
      CHECK(isCounter == (line.find("_total ") != std::string::npos));
      CHECK((!line.ends_with(" histogram") ||
             line.find("_seconds ") != std::string::npos));
    }
  }
}
