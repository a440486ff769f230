#include "amaranthwind/codec/ErrorCodec.h"
#include "amaranthwind/codec/JobCodec.h"

#include "Samples.h"

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
using base::ErrorCode;

// Guards against a job that runs with a different shape than requested.
TEST_CASE("a job specification round-trips")
{
  for (const auto& record : SampleRecords()) {
    if (const auto* body =
          std::get_if<journal::JobAcceptedRecord>(&record.body)) {
      const auto spec = DecodeJobSpec(EncodeJobSpec(body->spec));
      REQUIRE(spec.has_value());
      CHECK(spec.value() == body->spec);
    }
  }
}

// Guards against accepting a job that can never be placed or queried.
TEST_CASE("an invalid job specification gives one typed error")
{
  struct Case
  {
    std::string_view text;
    ErrorCode code;
    std::string_view subject;
  };
  const std::vector<Case> cases{
    { R"({"shape":{"members":1,"perMember":{"accelerators":1}}})",
      ErrorCode::MissingField,
      "kind" },
    { R"({"kind":"k"})", ErrorCode::MissingField, "shape" },
    { R"({"kind":"","shape":{"members":1,"perMember":{"accelerators":1}}})",
      ErrorCode::OutOfRange,
      "kind" },
    { R"({"kind":"k","shape":{"members":0,"perMember":{"accelerators":1}}})",
      ErrorCode::OutOfRange,
      "shape.members" },
    { R"({"kind":"k","caller":"a\u0007",)"
      R"("shape":{"members":1,"perMember":{"accelerators":1}}})",
      ErrorCode::OutOfRange,
      "caller" },
    { R"({"kind":"k","shape":{"members":4097,"perMember":{"accelerators":1}}})",
      ErrorCode::OutOfRange,
      "shape.members" },
    { R"({"kind":"k","shape":{"members":1,"perMember":{"accelerators":0}}})",
      ErrorCode::OutOfRange,
      "shape.perMember.accelerators" },
    { R"({"kind":"k","shape":{"members":1,"perMember":{"cores":1}}})",
      ErrorCode::MissingField,
      "shape.perMember.accelerators" },
    { R"({"kind":"k","maxRuns":0,)"
      R"("shape":{"members":1,"perMember":{"accelerators":1}}})",
      ErrorCode::OutOfRange,
      "maxRuns" },
    { R"({"kind":"k","id":"a/b",)"
      R"("shape":{"members":1,"perMember":{"accelerators":1}}})",
      ErrorCode::OutOfRange,
      "id" },
    { R"({"kind":"k","payload":"x","payloadBase64":"eA==",)"
      R"("shape":{"members":1,"perMember":{"accelerators":1}}})",
      ErrorCode::DuplicateKey,
      "payloadBase64" },
  };
  for (const Case& each : cases) {
    CAPTURE(each.text);
    const auto spec = DecodeJobSpec(each.text);
    REQUIRE(spec.has_error());
    CHECK(spec.error().code == each.code);
    CHECK(spec.error().subject == each.subject);
  }
}

// Guards against a job state without the reason why a queued job waits.
TEST_CASE("the state of a job includes its wait reason")
{
  journal::JobState state;
  state.spec.kind = base::WorkKindId("k");
  CHECK(EncodeJobState(state).find("waitReason") == std::string::npos);
  const std::string text = EncodeJobState(state, "reservation");
  CHECK(text.find(R"("phase":"queued")") != std::string::npos);
  CHECK(text.find(R"("waitReason":"reservation")") != std::string::npos);
}

// A request refused as "not run" must not have run. Guards against a response
// that misreports whether the request ran.
TEST_CASE("an error reply states whether the request ran")
{
  const ErrorReply reply{ { ErrorCode::QueueTimeout, "kind=quote-check" },
                          true,
                          1500ms };
  const std::string text = EncodeErrorReply(reply);
  CHECK(text == R"({"error":"queue-timeout","subject":"kind=quote-check",)"
                R"("notRun":true,"retryAfterMs":1500})");
  const auto decoded = DecodeErrorReply(text);
  REQUIRE(decoded.has_value());
  CHECK(decoded.value() == reply);
  CHECK(EncodeErrorReply({ { ErrorCode::OutcomeUnknown, "" }, false, {} }) ==
        R"({"error":"outcome-unknown","subject":"","notRun":false})");
  const auto bad = DecodeErrorReply(R"({"error":"no","subject":""})");
  REQUIRE(bad.has_error());
  CHECK(bad.error() == base::Error{ ErrorCode::OutOfRange, "error" });
}

// A request refused as "not run" must not have run. Guards against a status
// that means "not run" for a request that may have run, and against a status
// table in docs/api.md that differs from the code.
TEST_CASE("the status of every error is correct and documented")
{
  std::ifstream file(DOCS_DIR "/api.md");
  const std::string page(std::istreambuf_iterator<char>(file), {});
  REQUIRE_FALSE(page.empty());
  for (unsigned i = 0; i <= static_cast<unsigned>(ErrorCode::Internal); ++i) {
    const auto code = static_cast<ErrorCode>(i);
    const unsigned notRun = HttpStatus({ { code, "x" }, true, {} });
    const unsigned mayHaveRun = HttpStatus({ { code, "x" }, false, {} });
    CAPTURE(base::ToString(code));
    CHECK(mayHaveRun != 429);
    CHECK(mayHaveRun != 503);
    CHECK(notRun != 504);
    std::string row = "| `" + std::string(base::ToString(code)) + "` | " +
                      std::to_string(notRun);
    if (mayHaveRun != notRun) {
      row += " / " + std::to_string(mayHaveRun);
    }
    CAPTURE(row);
    CHECK(page.find(row + " |") != std::string::npos);
  }
}
