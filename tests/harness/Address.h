#pragma once

#include <string>

namespace amaranthwind::harness {

/**
 * Returns an address that no other test process uses. Each process has its own
 * loopback IP, and the ports are below the ephemeral range of the system.
 */
std::string
AllocateAddress();

} // namespace amaranthwind::harness
