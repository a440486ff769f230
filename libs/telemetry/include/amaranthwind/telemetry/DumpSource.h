#pragma once

#include "amaranthwind/telemetry/DumpWriter.h"

#include <string_view>

namespace amaranthwind::telemetry {

/** A part of a process that can show its state. */
class DumpSource
{
public:
  virtual ~DumpSource() = default;

  /** Name of its section; never changes. */
  virtual std::string_view DumpName() const noexcept = 0;
  /**
   * Writes one snapshot of the state. Called on the thread that answers the
   * dump, at any time and also under overload. It must not wait for the threads
   * that do the work, nor hold them up: it copies what it shows out of an RCU
   * cell, out of atomics or from under a short lock, and writes afterwards.
   */
  virtual void WriteDump(DumpWriter& aWriter) const = 0;
};

} // namespace amaranthwind::telemetry
