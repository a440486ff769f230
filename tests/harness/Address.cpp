#include "harness/Address.h"

#include <unistd.h>

#include <atomic>

namespace amaranthwind::harness {

std::string
FreeAddress()
{
  constexpr unsigned kHostsPerByte = 250;
  constexpr unsigned kFirstPort = 20'000;
  static const auto pid = static_cast<unsigned>(getpid());
  static std::atomic<unsigned> next{ kFirstPort };
  const unsigned third = 1 + pid / kHostsPerByte % kHostsPerByte;
  const unsigned fourth = 1 + pid % kHostsPerByte;
  return "127.7." + std::to_string(third) + "." + std::to_string(fourth) + ":" +
         std::to_string(next.fetch_add(1));
}

} // namespace amaranthwind::harness
