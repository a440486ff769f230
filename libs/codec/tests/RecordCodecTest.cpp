#include "amaranthwind/codec/JsonRecordCodec.h"

#include "Samples.h"

#include <doctest/doctest.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::codec;
using base::ErrorCode;

namespace {

std::string
Text(const std::vector<std::byte>& aBytes)
{
  return { reinterpret_cast<const char*>(aBytes.data()), aBytes.size() };
}

base::Result<journal::Record>
Decode(std::string_view aText)
{
  return JsonRecordCodec{}.Decode(std::as_bytes(std::span(aText)));
}

} // namespace

// Guards against records that replay to a different state than was written.
TEST_CASE("every type of record round-trips")
{
  std::vector<bool> seen(std::variant_size_v<journal::RecordBody>);
  for (const journal::Record& record : SampleRecords()) {
    const std::string text = Text(JsonRecordCodec{}.Encode(record));
    CAPTURE(text);
    const auto decoded = Decode(text);
    REQUIRE(decoded.has_value());
    CHECK(decoded.value() == record);
    seen[record.body.index()] = true;
  }
  CHECK(seen == std::vector<bool>(seen.size(), true));
}

// Guards against ids that make a record unreadable for all later processes.
TEST_CASE("text that is not UTF-8 is replaced in ids and kept in payloads")
{
  journal::JobAcceptedRecord body;
  body.spec.id = base::JobId("a\xFFz");
  body.spec.payload = "a\xC0\xAFz";
  const auto bytes = JsonRecordCodec{}.Encode({ base::RecordId("r"), body });
  const auto decoded = JsonRecordCodec{}.Decode(bytes);
  REQUIRE(decoded.has_value());
  const auto& spec =
    std::get<journal::JobAcceptedRecord>(decoded.value().body).spec;
  CHECK(spec.id.View() == "a\xEF\xBF\xBDz");
  CHECK(spec.payload == body.spec.payload);
}

// Guards against writing records that exceed the limits of the reader.
TEST_CASE("long ids and the largest payload round-trip in a record")
{
  journal::JobAcceptedRecord body;
  body.spec.caller = base::CallerId(std::string(1000, 'c') + "\n");
  body.spec.payload = std::string(600'000, '\x01');
  const journal::Record record{ base::RecordId("r"), body };
  const auto decoded =
    JsonRecordCodec{}.Decode(JsonRecordCodec{}.Encode(record));
  REQUIRE(decoded.has_value());
  CHECK(decoded.value() == record);
}

// Guards against incompatible changes to the format of records in the log.
TEST_CASE("the format of a record is fixed")
{
  journal::GangDecisionRecord body;
  body.token = base::FencingToken(7);
  body.gang = { base::JobId("j"), base::Attempt(2) };
  body.isCommit = true;
  body.members.emplace_back("w");
  CHECK(Text(JsonRecordCodec{}.Encode({ base::RecordId("r"), body })) ==
        R"({"id":"r","type":"gang-decision","body":{"token":7,)"
        R"("gang":{"job":"j","attempt":2},"commit":true,"members":["w"]}})");
}

// Guards against accepting a corrupt record.
TEST_CASE("an invalid record gives one typed error with the path of the field")
{
  struct Case
  {
    std::string_view text;
    ErrorCode code;
    std::string_view subject;
  };
  const std::vector<Case> cases{
    { "", ErrorCode::Truncated, "at byte 0" },
    { "[]", ErrorCode::WrongType, "document" },
    { R"({"type":"epoch","body":{"writer":"e"}})",
      ErrorCode::MissingField,
      "id" },
    { R"({"id":"r","type":"epoch"})", ErrorCode::MissingField, "body" },
    { R"({"id":"r","type":"no","body":{}})", ErrorCode::OutOfRange, "type" },
    { R"({"id":"r","type":"epoch","body":{"writer":7}})",
      ErrorCode::WrongType,
      "body.writer" },
    { R"({"id":"r","type":"epoch","body":{"writer":"e","x":1}})",
      ErrorCode::UnknownField,
      "body.x" },
    { R"({"id":"r","type":"epoch","body":{"writer":"e","":1}})",
      ErrorCode::UnknownField,
      "body.\"\"" },
    { R"({"":{"id":1,"id":2}})", ErrorCode::DuplicateKey, "\"\".id" },
    { R"({"id":"r","type":"epoch","body":{"writer":"e","writer":"f"}})",
      ErrorCode::DuplicateKey,
      "body.writer" },
    { R"({"id":"r","type":"epoch","body":{"writer":"e"}} x)",
      ErrorCode::Malformed,
      "at byte 48" },
    { R"({"id":"r","type":"epoch","body":{"writer":"e)",
      ErrorCode::Truncated,
      "body.writer at byte 44" },
    { R"({"id":"r","type":"job-cancelled","body":{"token":-1,"job":"j"}})",
      ErrorCode::OutOfRange,
      "body.token" },
    { R"({"id":"r","type":"job-cancelled",)"
      R"("body":{"token":18446744073709551616,"job":"j"}})",
      ErrorCode::OutOfRange,
      "body.token" },
    { R"({"id":"r","type":"job-cancelled","body":{"token":1.5,"job":"j"}})",
      ErrorCode::WrongType,
      "body.token" },
    { R"({"id":"r","type":"checkpoint","body":{"token":1,"coversBelow":1,)"
      R"("index":2,"count":2,"jobs":[]}})",
      ErrorCode::OutOfRange,
      "body.index" },
    { R"({"id":"r","type":"gang-decision","body":{"token":1,"gang":)"
      R"({"job":"j","attempt":1},"commit":true,"members":["w",null]}})",
      ErrorCode::WrongType,
      "body.members[1]" },
    { R"({"id":"r","type":"job-accepted","body":{"token":1,"spec":{)"
      R"("kind":"k","shape":{"members":1,"perMember":{"accelerators":1}},)"
      R"("payloadBase64":"=A=="}}})",
      ErrorCode::Malformed,
      "body.spec.payloadBase64" },
  };
  for (const Case& each : cases) {
    CAPTURE(each.text);
    const auto decoded = Decode(each.text);
    REQUIRE(decoded.has_error());
    CHECK(decoded.error().code == each.code);
    CHECK(decoded.error().subject == each.subject);
  }
}

// Guards against documents that exhaust the stack or memory.
TEST_CASE("deeply nested and large documents are rejected")
{
  const auto deep = Decode(std::string(100'000, '['));
  REQUIRE(deep.has_error());
  CHECK(deep.error().code == ErrorCode::OutOfRange);
  CHECK(deep.error().subject.ends_with("nested too deep"));
  const auto large = Decode(std::string(5'000'000, ' '));
  REQUIRE(large.has_error());
  CHECK(large.error() == base::Error{ ErrorCode::TooLarge, "document" });
}

// Guards against mixing up the keys of nested objects.
TEST_CASE("duplicate keys are found beside equal keys of nested objects")
{
  const auto repeated = Decode(R"({"a":[{"b":0,"a":0},{"b":0}],"b":0,"a":0})");
  REQUIRE(repeated.has_error());
  CHECK(repeated.error() == base::Error{ ErrorCode::DuplicateKey, "a" });
  const auto nested = Decode(R"({"a":[{"b":0},{"c":{"b":0},"c":0}]})");
  REQUIRE(nested.has_error());
  CHECK(nested.error() == base::Error{ ErrorCode::DuplicateKey, "a[1].c" });
  const auto distinct = Decode(R"({"a":[{"a":0},{"a":{"a":0}}],"b":{"a":0}})");
  REQUIRE(distinct.has_error());
  CHECK(distinct.error().code != ErrorCode::DuplicateKey);
}

// Guards against missing a duplicate key in an object with many keys.
TEST_CASE("duplicate keys are found in an object with many keys")
{
  constexpr int kKeys = 100;
  std::string text = "{";
  for (int i = 0; i < kKeys; ++i) {
    text += "\"k" + std::to_string(i) + "\":0,";
  }
  for (const auto* key : { "k0", "k31", "k32", "k99" }) {
    const auto decoded = Decode(text + "\"" + key + "\":0}");
    REQUIRE(decoded.has_error());
    CHECK(decoded.error() == base::Error{ ErrorCode::DuplicateKey, key });
  }
  CHECK(Decode(text + "\"k100\":0}").error().code == ErrorCode::MissingField);
}
