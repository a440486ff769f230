#include "amaranthwind/codec/ErrorCodec.h"
#include "amaranthwind/codec/JobCodec.h"
#include "amaranthwind/codec/JsonRecordCodec.h"
#include "amaranthwind/codec/NoteCodec.h"
#include "amaranthwind/codec/SettingsCodec.h"

#include "Samples.h"

#include "amaranthwind/base/Random.h"

#include <doctest/doctest.h>

#include <fstream>
#include <functional>
#include <iterator>
#include <span>
#include <string>
#include <string_view>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::codec;
using base::ErrorCode;

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kMutantsPerDocument = 2000;

std::string
Text(const std::vector<std::byte>& aBytes)
{
  return { reinterpret_cast<const char*>(aBytes.data()), aBytes.size() };
}

std::span<const std::byte>
Bytes(std::string_view aText)
{
  return std::as_bytes(std::span(aText));
}

/** Applies one random mutation at a random position. */
std::string
Mutate(std::string aText, base::RandomEngine& aRandom)
{
  constexpr std::string_view kTokens = "{}[]\",:0-9e.\\tnu\xC3\x00 ";
  const std::size_t at = aRandom() % (aText.size() + 1);
  const std::size_t length = aRandom() % (aText.size() - at + 1);
  switch (aRandom() % 5) {
    case 0:
      return aText.substr(0, at);
    case 1:
      if (at < aText.size()) {
        aText[at] = static_cast<char>(aText[at] ^ (1U << (aRandom() % 8)));
      }
      return aText;
    case 2:
      return aText.insert(at, aText.substr(at, length));
    case 3:
      return aText.insert(at, 1, kTokens[aRandom() % kTokens.size()]);
    default:
      return aText.erase(at, length % 16);
  }
}

/** Checks that the error is one for invalid input and has a subject. */
void
CheckError(const base::Error& aError)
{
  CHECK(aError.code <= ErrorCode::Truncated);
  CHECK_FALSE(aError.subject.empty());
}

/**
 * Passes mutants of aText to aCheck, which returns whether the decoder accepted
 * them. Some must be accepted; otherwise the mutations exercise only the
 * parser.
 */
void
CheckMutants(const std::string& aText,
             const std::function<bool(std::string_view)>& aCheck)
{
  base::RandomEngine random(kSeed);
  REQUIRE(aCheck(aText));
  int accepted = 0;
  for (int i = 0; i < kMutantsPerDocument; ++i) {
    std::string mutant = Mutate(aText, random);
    if (i % 2 == 1) {
      mutant = Mutate(std::move(mutant), random);
    }
    CAPTURE(i);
    CAPTURE(mutant);
    accepted += aCheck(mutant) ? 1 : 0;
  }
  CHECK(accepted > 0);
  CHECK(accepted < kMutantsPerDocument);
}

/** Checks the error list of decoded settings, which have no encoder. */
template<typename T>
bool
CheckSettings(const CheckedResult<T>& aDecoded)
{
  if (aDecoded.has_error()) {
    CHECK_FALSE(aDecoded.error().empty());
    for (const base::Error& error : aDecoded.error()) {
      CheckError(error);
    }
  }
  return aDecoded.has_value();
}

std::string
ReadSample(std::string_view aName)
{
  std::ifstream file(std::string(SAMPLES_DIR) + "/" + std::string(aName));
  return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace

// Guards against corrupt records that crash the process or that do not
// round-trip once accepted.
TEST_CASE("mutated records round-trip or give a typed error")
{
  const JsonRecordCodec codec;
  for (const journal::Record& record : SampleRecords()) {
    CheckMutants(Text(codec.Encode(record)), [&](std::string_view aText) {
      const auto decoded = codec.Decode(Bytes(aText));
      if (decoded.has_error()) {
        CheckError(decoded.error());
        return false;
      }
      const auto again = codec.Decode(codec.Encode(decoded.value()));
      REQUIRE(again.has_value());
      CHECK(again.value() == decoded.value());
      return true;
    });
  }
}

// Guards against corrupt notes or requests that crash the process.
TEST_CASE("mutated notes, policies and jobs give a value or a typed error")
{
  CheckMutants(EncodeNote(SampleNote()), [](std::string_view aText) {
    const auto note = DecodeNote(aText);
    if (note.has_error()) {
      CheckError(note.error());
      return false;
    }
    const auto again = DecodeNote(EncodeNote(note.value()));
    CHECK((again.has_value() && again.value() == note.value()));
    return true;
  });
  CheckMutants(EncodePolicy(SamplePolicy()), [](std::string_view aText) {
    const auto policy = DecodePolicy(aText);
    if (policy.has_error()) {
      CheckError(policy.error());
      return false;
    }
    const auto again = DecodePolicy(EncodePolicy(policy.value()));
    CHECK((again.has_value() && again.value() == policy.value()));
    return true;
  });
  job::JobSpec spec;
  spec.kind = base::WorkKindId("k");
  spec.shape.perMember.accelerators = 1;
  spec.payload = "text é";
  CheckMutants(EncodeJobSpec(spec), [](std::string_view aText) {
    const auto decoded = DecodeJobSpec(aText);
    if (decoded.has_error()) {
      CheckError(decoded.error());
    }
    return decoded.has_value();
  });
  const std::string reply =
    EncodeErrorReply({ { ErrorCode::QueueFull, "kind=k" }, true, {} });
  CheckMutants(reply, [](std::string_view aText) {
    const auto decoded = DecodeErrorReply(aText);
    if (decoded.has_error()) {
      CheckError(decoded.error());
    }
    return decoded.has_value();
  });
}

// Guards against corrupt settings files that crash the process without an
// error.
TEST_CASE("mutated settings give a value or typed errors")
{
  CheckMutants(ReadSample("entry.json"), [](std::string_view aText) {
    return CheckSettings(DecodeEntrySettings(aText));
  });
  for (const auto* name : { "executor.json", "worker.json" }) {
    CheckMutants(ReadSample(name), [](std::string_view aText) {
      return CheckSettings(DecodeTargetSettings(aText));
    });
  }
}
