#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstddef>

namespace amaranthwind::harness {

/** Peak of the resident memory of the process in KiB; 0 if it has ended. */
std::size_t
PeakMemoryOf(pid_t aProcess);

/** As PeakMemoryOf(), once it no longer rises, or after a minute. */
std::size_t
SettledPeakMemoryOf(pid_t aProcess);

/** Number of open descriptors of the process. */
std::size_t
DescriptorsOf(pid_t aProcess);

/** Processor time that the process has used so far; 0 if it has ended. */
std::chrono::milliseconds
ProcessorTimeOf(pid_t aProcess);

/** Lowers the number of descriptors that the process may have open. */
void
LimitDescriptors(pid_t aProcess, std::size_t aLimit);

} // namespace amaranthwind::harness
