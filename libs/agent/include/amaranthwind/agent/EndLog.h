#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Result.h"
#include "amaranthwind/dispatch/EndRecord.h"

#include <functional>
#include <span>

namespace amaranthwind::agent {

struct EndAppendConditions
{
  /** Without an answer for this long, the result is AppendUnconfirmed. */
  base::Duration timeout{};
  /** The previous append had no answer: its connection may be dead. */
  bool isRepeat = false;
};

/** Durable log of the ends that agents record. */
class EndLog
{
public:
  virtual ~EndLog() = default;

  /**
   * Appends all records or none; they are of one agent, and at least one. The
   * handler is called once, on any thread. Errors: LogUnavailable (not
   * appended), AppendUnconfirmed (may be appended now or later), TooLarge.
   */
  virtual void Append(std::span<const dispatch::EndRecord> aRecords,
                      const EndAppendConditions& aConditions,
                      std::function<void(base::Result<void>)> aHandler) = 0;
};

} // namespace amaranthwind::agent
