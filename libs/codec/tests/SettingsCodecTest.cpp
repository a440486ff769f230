#include "amaranthwind/codec/SettingsCodec.h"
#include "amaranthwind/codec/NoteCodec.h"

#include "amaranthwind/policy/ApplyNote.h"

#include <doctest/doctest.h>

#include <chrono>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::codec;
using namespace std::chrono_literals;
using base::Error;
using base::ErrorCode;

namespace {

std::string
ReadSample(std::string_view aName)
{
  std::ifstream file(std::string(SAMPLES_DIR) + "/" + std::string(aName));
  REQUIRE(file.good());
  return { std::istreambuf_iterator<char>(file), {} };
}

constexpr std::string_view kEntry =
  R"({"id":"e","region":"r","zone":"z","innerListen":"10.0.0.1:0",)"
  R"("adminListen":"0.0.0.0:1","httpListen":"[::]:80",)"
  R"("logService":"[::1]:9000")";

constexpr std::string_view kTarget =
  R"({"id":"t","region":"r","zone":"z","innerListen":"10.0.0.1:7100",)"
  R"("adminListen":"127.0.0.1:1","bootstrap":["10.0.0.2:7100"],)"
  R"("rack":"k","serviceAddress":"127.0.0.1:80")";

/** Formats one error per line for failure messages. */
std::string
DescribeAll(const std::vector<Error>& aErrors)
{
  std::string text;
  for (const Error& error : aErrors) {
    text += base::Describe(error) + '\n';
  }
  return text;
}

} // namespace

// Guards against samples that no longer match the code.
TEST_CASE("every sample is accepted")
{
  const auto entry = DecodeEntrySettings(ReadSample("entry.json"));
  REQUIRE(entry.has_value());
  CHECK(entry.value().coordinatedZones.size() == 3);
  const auto executor = DecodeTargetSettings(ReadSample("executor.json"));
  REQUIRE(executor.has_value());
  CHECK(executor.value().slots == 8);
  const auto worker = DecodeTargetSettings(ReadSample("worker.json"));
  REQUIRE(worker.has_value());
  CHECK(worker.value().resources.accelerators == 8);
  const auto scheduler = DecodeSchedulerSettings(ReadSample("scheduler.json"));
  REQUIRE(scheduler.has_value());
  CHECK(scheduler.value().node.log.format == settings::LogFormat::Json);
  CHECK(DecodeAgentSettings(ReadSample("agent.json")).has_value());
  for (const auto* name : { "note-bonsai-andino.json", "note-rotaform.json" }) {
    CAPTURE(name);
    const auto note = DecodeNote(ReadSample(name));
    REQUIRE(note.has_value());
    const auto policy = policy::ApplyNote({}, note.value());
    REQUIRE(policy.has_value());
    CHECK(policy.value().accounts.size() == 4);
  }
}

// Guards against a default that differs from docs/settings.md.
TEST_CASE("settings that are left out have the documented defaults")
{
  const auto decoded = DecodeEntrySettings(std::string(kEntry) + "}");
  REQUIRE(decoded.has_value());
  const settings::EntrySettings& entry = decoded.value();
  CHECK(entry.common.ioThreads == 2);
  CHECK(entry.common.bootstrap.empty());
  CHECK(entry.common.log.level == settings::LogLevel::Info);
  CHECK(entry.coordinatedZones == std::vector{ base::ZoneId("z") });
  CHECK(entry.limits.maxBodyBytes == 262'144);
  CHECK(entry.limits.maxHeaderBytes == 16'384);
  CHECK(entry.limits.maxConnections == 10'000);
  CHECK(entry.limits.idleTimeout == 60s);
  CHECK(entry.noticePeriod == 2s);
  CHECK(entry.logRetention == 24h);
}

// Guards against making an operator correct a file one error at a time.
TEST_CASE("all errors in a settings file are reported at once")
{
  const auto entry = DecodeEntrySettings(
    R"({"id":"","region":"r","zone":7,"innerListen":"0.0.0.0:1",)"
    R"("adminListen":"localhost:1","ioThreads":65,"httpListen":"1.2.3.4:65536",)"
    R"("logService":"1.2.3.4:0","bootstrap":["1.2.3.4:1","1.2.3.4"],)"
    R"("logLevel":"loud","coordinatedZones":["z",""],"limits":{"maxBodyBytes":1,"maxBodies":1}})");
  REQUIRE(entry.has_error());
  CHECK(DescribeAll(entry.error()) ==
        DescribeAll({
          { ErrorCode::OutOfRange, "id" },
          { ErrorCode::WrongType, "zone" },
          { ErrorCode::OutOfRange, "innerListen" },
          { ErrorCode::OutOfRange, "adminListen" },
          { ErrorCode::OutOfRange, "ioThreads" },
          { ErrorCode::OutOfRange, "bootstrap[1]" },
          { ErrorCode::OutOfRange, "logLevel" },
          { ErrorCode::OutOfRange, "httpListen" },
          { ErrorCode::OutOfRange, "logService" },
          { ErrorCode::OutOfRange, "coordinatedZones[1]" },
          { ErrorCode::OutOfRange, "limits.maxBodyBytes" },
          { ErrorCode::UnknownField, "limits.maxBodies" },
        }));
}

// Guards against a daemon that starts with settings for another kind of target.
TEST_CASE("invalid settings of a target are rejected")
{
  struct Case
  {
    std::string_view rest;
    std::vector<Error> errors;
  };
  const std::vector<Case> cases{
    { R"(,"kind":"worker","resources":{"accelerators":8}})", {} },
    { R"(,"kind":"executor","slots":8,"connections":64})", {} },
    { R"(,"kind":"worker","slots":8})",
      { { ErrorCode::MissingField, "resources" },
        { ErrorCode::UnknownField, "slots" } } },
    { R"(,"kind":"executor","slots":0,"resources":{}})",
      { { ErrorCode::OutOfRange, "slots" },
        { ErrorCode::MissingField, "connections" },
        { ErrorCode::UnknownField, "resources" } } },
    { R"(,"kind":"worker","resources":{"accelerators":-1,"gpus":8}})",
      { { ErrorCode::OutOfRange, "resources.accelerators" },
        { ErrorCode::UnknownField, "resources.gpus" } } },
    { R"(,"id":"u"})", { { ErrorCode::DuplicateKey, "id" } } },
    { "",
      { { ErrorCode::Truncated,
          "serviceAddress at byte " + std::to_string(kTarget.size()) } } },
  };
  for (const Case& each : cases) {
    CAPTURE(each.rest);
    const auto target =
      DecodeTargetSettings(std::string(kTarget) + std::string(each.rest));
    CHECK(target.has_value() == each.errors.empty());
    if (target.has_error()) {
      CHECK(DescribeAll(target.error()) == DescribeAll(each.errors));
    }
  }
  const auto alone = DecodeTargetSettings("[]");
  REQUIRE(alone.has_error());
  CHECK(DescribeAll(alone.error()) == "wrong-type: document\n");
}

TEST_CASE("all errors in the settings of a scheduler or agent are reported")
{
  const auto scheduler = DecodeSchedulerSettings(
    R"({"id":"s","region":"r","zone":"","innerListen":"0.0.0.0:1",)"
    R"("adminListen":"127.0.0.1:1","clientListen":"127.0.0.1:2",)"
    R"("readyListen":"x","logService":"127.0.0.1:0","maxLeaseMs":10,)"
    R"("logRecordBytes":100,"logAppendBytes":2147483648,)"
    R"("logFormat":"xml","unknown":1})");
  REQUIRE(scheduler.has_error());
  const std::string faults = DescribeAll(scheduler.error());
  for (const char* path : { "zone",
                            "innerListen",
                            "readyListen",
                            "logService",
                            "maxLeaseMs",
                            "logRecordBytes",
                            "logAppendBytes",
                            "logFormat",
                            "unknown" }) {
    CAPTURE(path);
    CHECK(faults.find(path) != std::string::npos);
  }
  const auto agent = DecodeAgentSettings(R"({"id":"a"})");
  REQUIRE(agent.has_error());
  CHECK(agent.error().size() == 6);
}
