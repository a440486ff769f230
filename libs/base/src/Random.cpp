#include "amaranthwind/base/Random.h"

#include <cstddef>
#include <string>

namespace amaranthwind::base {

namespace {

constexpr std::size_t kIdDigits = 32;
constexpr std::size_t kDigitsPerWord = 16;
constexpr unsigned kBitsPerDigit = 4;
constexpr std::uint64_t kDigitMask = 0xF;

thread_local RandomEngine* scopedSeeds = nullptr;

} // namespace

std::uint64_t
MakeSeed()
{
  if (scopedSeeds != nullptr) {
    return (*scopedSeeds)();
  }
  std::random_device device;
  const std::uint64_t high = device();
  return (high << 32U) | device();
}

ScopedSeeds::ScopedSeeds(std::uint64_t aSeed)
  : random(aSeed)
{
  scopedSeeds = &this->random;
}

ScopedSeeds::~ScopedSeeds()
{
  scopedSeeds = nullptr;
}

RecordId
MakeRecordId(RandomEngine& aRandom)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(kIdDigits);
  while (text.size() < kIdDigits) {
    std::uint64_t word = aRandom();
    for (std::size_t i = 0; i < kDigitsPerWord; ++i) {
      text.push_back(kDigits[word & kDigitMask]);
      word >>= kBitsPerDigit;
    }
  }
  return RecordId(text);
}

} // namespace amaranthwind::base
