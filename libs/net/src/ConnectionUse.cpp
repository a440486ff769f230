#include "amaranthwind/net/ConnectionUse.h"

namespace amaranthwind::net {

std::optional<std::size_t>
ChooseToClose(std::span<const ConnectionUse> aConnections, Shortage aShortage)
{
  std::optional<std::size_t> chosen;
  for (std::size_t i = 0; i < aConnections.size(); ++i) {
    const ConnectionUse& each = aConnections[i];
    if (each.isHandling ||
        (aShortage == Shortage::BufferedBytes && each.bufferedBytes == 0)) {
      continue;
    }
    if (!chosen || each.lastActivity < aConnections[*chosen].lastActivity) {
      chosen = i;
    }
  }
  return chosen;
}

} // namespace amaranthwind::net
