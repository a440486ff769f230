#pragma once

#include "amaranthwind/base/Error.h"

#include <optional>

namespace amaranthwind::admin {

/** Reports whether a process is ready to accept work. Thread-safe. */
class Readiness
{
public:
  virtual ~Readiness() = default;
  /** Empty if ready, else NotReady (subject: what is missing) or Draining. */
  virtual std::optional<base::Error> CheckReadiness() const = 0;
};

} // namespace amaranthwind::admin
