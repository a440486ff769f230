#include "amaranthwind/codec/ErrorCodec.h"
#include "amaranthwind/codec/JobCodec.h"
#include "amaranthwind/codec/JsonRecordCodec.h"
#include "amaranthwind/codec/NoteCodec.h"
#include "amaranthwind/codec/SettingsCodec.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <string_view>

using namespace amaranthwind;
using namespace amaranthwind::codec;

namespace {

/** Aborts if an accepted document does not round-trip. */
void
Require(bool aCondition)
{
  if (!aCondition) {
    std::abort();
  }
}

} // namespace

/**
 * libFuzzer entry point: passes the input to every decoder. Build and run:
 *
 *     cmake -S . -B build-fuzz -G Ninja -DAMARANTHWIND_FUZZ=ON \
 *       -DAMARANTHWIND_TESTS=OFF -DCMAKE_CXX_COMPILER=clang++-14 \
 *       -DCMAKE_CXX_FLAGS=-Wno-unknown-warning-option \
 *       -DAMARANTHWIND_SANITIZE=fuzzer-no-link,address
 *     cmake --build build-fuzz --target codec_fuzz
 *     build-fuzz/libs/codec/codec_fuzz -max_total_time=60 samples
 */
extern "C" int
// NOLINTNEXTLINE(readability-identifier-naming): name required by libFuzzer.
LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string_view text(reinterpret_cast<const char*>(aData), aSize);
  const JsonRecordCodec records;
  const auto record = records.Decode(std::as_bytes(std::span(text)));
  if (record.has_value()) {
    const auto reencoded = records.Decode(records.Encode(record.value()));
    Require(reencoded.has_value() && reencoded.value() == record.value());
  }
  const auto note = DecodeNote(text);
  if (note.has_value()) {
    const auto reencoded = DecodeNote(EncodeNote(note.value()));
    Require(reencoded.has_value() && reencoded.value() == note.value());
  }
  const auto policy = DecodePolicy(text);
  if (policy.has_value()) {
    const auto reencoded = DecodePolicy(EncodePolicy(policy.value()));
    Require(reencoded.has_value() && reencoded.value() == policy.value());
  }
  const auto spec = DecodeJobSpec(text);
  if (spec.has_value()) {
    const auto reencoded = DecodeJobSpec(EncodeJobSpec(spec.value()));
    Require(reencoded.has_value() && reencoded.value() == spec.value());
  }
  (void)DecodeErrorReply(text);
  (void)DecodeEntrySettings(text);
  (void)DecodeTargetSettings(text);
  return 0;
}
