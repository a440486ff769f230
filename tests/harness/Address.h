#pragma once

#include <string>

namespace amaranthwind::harness {

/**
 * An address that no other test process uses: each process has a loopback IP of
 * its own, and hands out ports below those that the system gives to clients.
 */
std::string
FreeAddress();

} // namespace amaranthwind::harness
