#include "Scenario.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace amaranthwind;
using namespace amaranthwind::endtoend;
using harness::Deployment;
using namespace std::chrono_literals;

// Guards against concurrent operators overwriting each other's release notes.
// An accepted note is in force everywhere within seconds and never reverts.
TEST_CASE("of concurrent notes one is accepted and the others get a conflict")
{
  Deployment deployment({ .entries = 2, .executors = 0, .workers = 0 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  constexpr std::size_t kOperators = 4;
  std::vector<Deployment::ToolResult> results(kOperators);
  std::vector<std::thread> operators;
  operators.reserve(kOperators);
  for (std::size_t i = 0; i < kOperators; ++i) {
    operators.emplace_back([&, i] {
      results[i] = deployment.PublishNote(
        MakeAccountNote(1, "account-" + std::to_string(i)));
    });
  }
  for (auto& thread : operators) {
    thread.join();
  }
  int accepted = 0;
  for (const auto& result : results) {
    CAPTURE(result.output);
    if (result.exit == 0) {
      ++accepted;
    } else {
      CHECK(result.exit == 1);
      CHECK(result.output.find("base-version-conflict") != std::string::npos);
    }
  }
  CHECK(accepted == 1);
  CHECK(WaitForPolicyVersion(deployment, 2));
}

// Guards against a note that takes effect twice or is reported as lost when the
// append response is lost. An accepted note is in force everywhere within
// seconds and never reverts.
TEST_CASE("a note is accepted once when the append response is lost")
{
  Deployment deployment({ .entries = 2, .executors = 0, .workers = 0 });
  REQUIRE(deployment.Start());
  deployment.ControlLog(R"({"mode":"lose-answers"})");
  const auto published = deployment.PublishNote(kNote);
  CAPTURE(published.output);
  CHECK(published.exit == 0);
  CHECK(WaitForPolicyVersion(deployment, 1));
  deployment.ControlLog(R"({"mode":"up"})");
  REQUIRE(deployment.PublishNote(MakeAccountNote(1, "next")).exit == 0);
  CHECK(WaitForPolicyVersion(deployment, 2));
}

// Guards against an entry that starts with an old policy, or with none, because
// the log is down. An accepted release note is in force everywhere within
// seconds and never reverts.
TEST_CASE(
  "an entry that starts during a log outage gets the policy from a peer")
{
  Deployment deployment({ .entries = 2, .executors = 1, .workers = 0 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  REQUIRE(WaitForPolicyVersion(deployment, 1));
  deployment.ControlLog(R"({"mode":"down"})");
  deployment.entries[1].process->Kill();
  deployment.Restart(deployment.entries[1]);
  CHECK(Deployment::WaitUntil(
    [&] { return deployment.IsReady(deployment.entries[1]); }));
  CHECK(GetPolicyVersion(deployment, deployment.entries[1]) == 1);
  CHECK(Deployment::WaitUntil([&] {
    const auto result =
      deployment.Send(deployment.entries[1].http,
                      Deployment::MakeRequest("lamps", "quote", "x"));
    return result.response.has_value() && result.response.value().status == 200;
  }));
}

// Guards against an entry that reports ready without a policy.
TEST_CASE("an entry that reaches neither the log nor a peer is not ready")
{
  Deployment deployment({ .entries = 1, .executors = 0, .workers = 0 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  REQUIRE(WaitForPolicyVersion(deployment, 1));
  deployment.ControlLog(R"({"mode":"down"})");
  deployment.entries[0].process->Kill();
  deployment.Restart(deployment.entries[0]);
  REQUIRE(Deployment::WaitUntil([&] {
    return deployment.Get(deployment.entries[0].admin, "/live")
      .response.has_value();
  }));
  const auto answer = deployment.Send(
    deployment.entries[0].http, Deployment::MakeRequest("lamps", "quote", "x"));
  REQUIRE(answer.response.has_value());
  CHECK(answer.response.value().status == 503);
  CHECK_FALSE(deployment.IsReady(deployment.entries[0]));
  deployment.ControlLog(R"({"mode":"up"})");
  CHECK(WaitForPolicyVersion(deployment, 1));
  CHECK(Deployment::WaitUntil(
    [&] { return deployment.IsReady(deployment.entries[0]); }));
}

// Guards against a policy version that decreases when a paused entry resumes.
// An accepted release note is in force everywhere within seconds and never
// reverts.
TEST_CASE("a resumed entry catches up and its policy version never decreases")
{
  Deployment deployment({ .entries = 2, .executors = 0, .workers = 0 });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  REQUIRE(WaitForPolicyVersion(deployment, 1));
  deployment.entries[1].process->Signal(SIGSTOP);
  REQUIRE(deployment.PublishNote(MakeAccountNote(1, "second")).exit == 0);
  REQUIRE(deployment.PublishNote(MakeAccountNote(2, "third")).exit == 0);
  deployment.entries[1].process->Signal(SIGCONT);
  std::uint64_t highest = 0;
  CHECK(Deployment::WaitUntil([&] {
    const auto version = GetPolicyVersion(deployment, deployment.entries[1]);
    CHECK(version >= highest);
    highest = std::max(highest, version);
    return highest == 3;
  }));
}

// Guards against state that is lost when the log expires old records.
TEST_CASE(
  "a restarted entry restores its state from checkpoints when records expire")
{
  Deployment deployment(
    { .entries = 1, .executors = 0, .workers = 2, .logRetention = 4s });
  REQUIRE(deployment.Start());
  REQUIRE(deployment.PublishNote(kNote).exit == 0);
  REQUIRE(WaitForPolicyVersion(deployment, 1));
  REQUIRE(SubmitGang(deployment,
                     deployment.entries[0],
                     { .id = "done", .members = 2, .runMs = 10 }));
  REQUIRE(WaitForPhase(deployment, deployment.entries[0], "done", "ended"));
  // Expire records until only the newest checkpoints and little else remain.
  REQUIRE(Deployment::WaitUntil([&] {
    deployment.ControlLog(R"({"keepRecords":2})");
    const auto notes =
      deployment.Get(deployment.log.http, "/streams/notes/records?from=0");
    const auto cell =
      deployment.Get(deployment.log.http, "/streams/cells/tw-1/records?from=0");
    return notes.response.value().status == 410 &&
           cell.response.value().status == 410;
  }));
  deployment.entries[0].process->Kill();
  deployment.Restart(deployment.entries[0]);
  CHECK(WaitForPolicyVersion(deployment, 1));
  CHECK(WaitForPhase(deployment, deployment.entries[0], "done", "ended"));
  CHECK(SubmitGang(deployment,
                   deployment.entries[0],
                   { .id = "after", .members = 2, .runMs = 10 }));
  CHECK(WaitForPhase(deployment, deployment.entries[0], "after", "ended"));
}
