#include "harness/Address.h"

#include <unistd.h>

#include <atomic>

namespace amaranthwind::harness {

std::string
AllocateAddress()
{
  constexpr unsigned kHostsPerOctet = 250;
  constexpr unsigned kFirstPort = 20'000;
  static const auto pid = static_cast<unsigned>(getpid());
  static std::atomic<unsigned> nextPort{ kFirstPort };
  const unsigned thirdOctet = 1 + pid / kHostsPerOctet % kHostsPerOctet;
  const unsigned fourthOctet = 1 + pid % kHostsPerOctet;
  return "127.7." + std::to_string(thirdOctet) + "." +
         std::to_string(fourthOctet) + ":" +
         std::to_string(nextPort.fetch_add(1));
}

} // namespace amaranthwind::harness
