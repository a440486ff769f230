#pragma once

#include "amaranthwind/base/Error.h"

#include <optional>

namespace amaranthwind::admin {

/** Tells whether a process may get work. Thread-safe. */
class Readiness
{
public:
  virtual ~Readiness() = default;
  /** Nothing if ready, else NotReady (what is missing) or Draining. */
  virtual std::optional<base::Error> WhyNotReady() const = 0;
};

} // namespace amaranthwind::admin
