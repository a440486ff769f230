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
// ThreadSanitizer cannot see the barriers inside liburcu. This variable
// annotates that the end of a read section happens before the end of a grace
// period that waits for it.
char gracePeriodSync;
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
  __tsan_release(&gracePeriodSync);
#endif
  urcu_memb_read_unlock();
}

void
WaitForRcuReaders()
{
  urcu_memb_synchronize_rcu();
#if defined(__SANITIZE_THREAD__)
  __tsan_acquire(&gracePeriodSync);
#endif
}

} // namespace amaranthwind::base
