#include "amaranthwind/codec/NoteCodec.h"

#include "Samples.h"

#include <doctest/doctest.h>

#include <string>
#include <string_view>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::codec;
using base::ErrorCode;

// Guards against publishing a note that differs from the operator's document.
TEST_CASE("a note and a policy round-trip")
{
  const auto note = DecodeNote(EncodeNote(SampleNote()));
  REQUIRE(note.has_value());
  CHECK(note.value() == SampleNote());
  const auto policy = DecodePolicy(EncodePolicy(SamplePolicy()));
  REQUIRE(policy.has_value());
  CHECK(policy.value() == SamplePolicy());
}

// Guards against requiring operators to specify optional fields.
TEST_CASE("optional fields of a note keep their defaults")
{
  const auto note =
    DecodeNote(R"({"base":3,"changes":[{"putAccount":{"id":"a"}},)"
               R"({"putKind":{"id":"k","class":"gang"}}]})");
  REQUIRE(note.has_value());
  policy::Account account;
  account.id = base::AccountId("a");
  policy::WorkKind kind;
  kind.id = base::WorkKindId("k");
  kind.workClass = policy::WorkClass::Gang;
  CHECK(note.value().base.Get() == 3);
  CHECK(std::get<policy::PutAccount>(note.value().changes[0]).account ==
        account);
  CHECK(std::get<policy::PutKind>(note.value().changes[1]).kind == kind);
}

// Guards against failed lookups in a policy that is not sorted.
TEST_CASE("a policy from a peer is sorted by id")
{
  const auto policy = DecodePolicy(
    R"({"version":1,"nextOffset":1,"accounts":[{"id":"b"},{"id":"a"}],)"
    R"("kinds":[]})");
  REQUIRE(policy.has_value());
  CHECK(policy.value().FindAccount(base::AccountId("a")) != nullptr);
  CHECK(policy.value().FindAccount(base::AccountId("b")) != nullptr);
}

// Guards against partly applying a note that contains a typo.
TEST_CASE("an invalid note gives one typed error with the path of the field")
{
  struct Case
  {
    std::string_view changes;
    ErrorCode code;
    std::string_view subject;
  };
  const std::vector<Case> cases{
    { "{}", ErrorCode::WrongType, "changes" },
    { "[]", ErrorCode::MissingField, "changes" },
    { "[{}]", ErrorCode::MissingField, "changes[0]" },
    { "[7]", ErrorCode::WrongType, "changes[0]" },
    { R"([{"withdrawAccount":"a"},{"withdrawKind":""}])",
      ErrorCode::OutOfRange,
      "changes[1].withdrawKind" },
    { R"([{"withdrawAccount":"a","withdrawKind":"k"}])",
      ErrorCode::DuplicateKey,
      "changes[0]" },
    { R"([{"putAcount":{"id":"a"}}])",
      ErrorCode::UnknownField,
      "changes[0].putAcount" },
    { R"([{"putAccount":{"id":"a","wieght":2}}])",
      ErrorCode::UnknownField,
      "changes[0].putAccount.wieght" },
    { R"([{"putAccount":{"id":"a","weight":"2"}}])",
      ErrorCode::WrongType,
      "changes[0].putAccount.weight" },
    { R"([{"putAccount":{"id":"a","weight":4294967296}}])",
      ErrorCode::OutOfRange,
      "changes[0].putAccount.weight" },
    { R"([{"putAccount":{"id":"a","weight":0}}])",
      ErrorCode::OutOfRange,
      "changes[0].weight" },
    { R"([{"putAccount":{"id":"a","id":"b"}}])",
      ErrorCode::DuplicateKey,
      "changes[0].putAccount.id" },
    { R"([{"putAccount":{"id":"a","guarantees":[{"zone":"z","shape":)"
      R"({"members":2,"perMember":{"accelerators":1},"adjacency":"near"}}]}}])",
      ErrorCode::OutOfRange,
      "changes[0].putAccount.guarantees[0].shape.adjacency" },
    { R"([{"putAccount":{"id":"a\n"}}])",
      ErrorCode::OutOfRange,
      "changes[0].putAccount.id" },
    { R"([{"putKind":{"id":"k"}}])",
      ErrorCode::MissingField,
      "changes[0].putKind.class" },
    { R"([{"putKind":{"id":"k","class":"request","queueLimitMs":1.5}}])",
      ErrorCode::WrongType,
      "changes[0].putKind.queueLimitMs" },
    { R"([{"putKind":{"id":"k","class":"request",)"
      R"("queueLimitMs":99999999999999}}])",
      ErrorCode::OutOfRange,
      "changes[0].putKind.queueLimitMs" },
    { R"([{"withdrawKind":"k"},{"withdrawKind":"k"}])",
      ErrorCode::DuplicateKey,
      "changes[1].kind:k" },
    { R"([{"withdrawKind":"k"])",
      ErrorCode::Malformed,
      "changes[0].withdrawKind at byte 40" },
    { R"([{"withdrawKind":"k"})",
      ErrorCode::Malformed,
      "changes[0] at byte 41" },
  };
  for (const Case& each : cases) {
    CAPTURE(each.changes);
    const auto note =
      DecodeNote(R"({"base":0,"changes":)" + std::string(each.changes) + "}");
    REQUIRE(note.has_error());
    CHECK(note.error().code == each.code);
    CHECK(note.error().subject == each.subject);
  }
  const auto twice = DecodePolicy(
    R"({"version":1,"nextOffset":1,"accounts":[{"id":"a"},{"id":"a"}],)"
    R"("kinds":[]})");
  REQUIRE(twice.has_error());
  CHECK(twice.error() == base::Error{ ErrorCode::DuplicateKey, "accounts.a" });
}
