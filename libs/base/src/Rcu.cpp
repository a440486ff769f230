#include "amaranthwind/base/Rcu.h"

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace amaranthwind::base {

namespace {

class ThreadRegistration
{
public:
  ThreadRegistration() { urcu_memb_register_thread(); }
  ~ThreadRegistration() { urcu_memb_unregister_thread(); }
  ThreadRegistration(const ThreadRegistration&) = delete;
  ThreadRegistration& operator=(const ThreadRegistration&) = delete;
};

void
EnsureThreadIsRegistered()
{
  thread_local ThreadRegistration registration;
  (void)registration;
}

#if defined(__SANITIZE_THREAD__)
// ThreadSanitizer does not see the barriers inside liburcu. A read section
// that ends happens before the grace period that waits for it.
char gracePeriodEdge;
#endif

} // namespace

RcuReadSection::RcuReadSection() noexcept
{
  EnsureThreadIsRegistered();
  urcu_memb_read_lock();
}

RcuReadSection::~RcuReadSection()
{
#if defined(__SANITIZE_THREAD__)
  __tsan_release(&gracePeriodEdge);
#endif
  urcu_memb_read_unlock();
}

void
WaitForRcuReaders()
{
  urcu_memb_synchronize_rcu();
#if defined(__SANITIZE_THREAD__)
  __tsan_acquire(&gracePeriodEdge);
#endif
}

} // namespace amaranthwind::base
