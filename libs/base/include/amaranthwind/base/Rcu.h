#pragma once

namespace amaranthwind::base {

/**
 * Read-side critical section of read-copy-update. Registers the calling thread
 * on first use. May be nested. Costs no lock and no shared write.
 */
class RcuReadSection
{
public:
  RcuReadSection() noexcept;
  ~RcuReadSection();
  RcuReadSection(const RcuReadSection&) = delete;
  RcuReadSection& operator=(const RcuReadSection&) = delete;
};

/** Waits until every read section that is open now has ended. */
void
WaitForRcuReaders();

} // namespace amaranthwind::base
