#pragma once

#include "amaranthwind/telemetry/DumpWriter.h"

#include <string_view>

namespace amaranthwind::telemetry {

/** A component whose state can be included in a state dump. */
class DumpSource
{
public:
  virtual ~DumpSource() = default;

  /** Name of the section of the dump; must not change. */
  virtual std::string_view DumpName() const noexcept = 0;
  /**
   * Writes one snapshot of the state. Called on the thread that serves the dump
   * request, at any time and also under overload. Must neither wait for worker
   * threads nor block them: copy the state from an RCU cell, from atomics or
   * under a short lock first, and write it afterwards.
   */
  virtual void WriteDump(DumpWriter& aWriter) const = 0;
};

} // namespace amaranthwind::telemetry
