#pragma once

namespace amaranthwind::base {

/**
 * RCU read-side critical section. Registers the calling thread on first use.
 * May be nested. Takes no lock and writes no shared memory.
 */
class RcuReadSection
{
public:
  RcuReadSection() noexcept;
  ~RcuReadSection();
  RcuReadSection(const RcuReadSection&) = delete;
  RcuReadSection& operator=(const RcuReadSection&) = delete;
};

/** Waits for a grace period: until all current read sections have ended. */
void
WaitForRcuReaders();

} // namespace amaranthwind::base
