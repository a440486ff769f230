#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Error.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string_view>
#include <vector>

namespace amaranthwind::target {

/** How a request to the executor ended. */
struct ExecutorResult
{
  /** HTTP status of the executor; 0 if there was no answer. */
  std::uint16_t status = 0;
  std::vector<std::byte> body;
  /** Why there was no answer. */
  base::Error error;
  /** False: the request certainly never reached the executor. */
  bool mayHaveRun = true;
};

using ExecutorResultHandler = std::function<void(ExecutorResult)>;

/** The local executor. Thread-safe. */
class ExecutorClient
{
public:
  virtual ~ExecutorClient() = default;

  /** aHandler is called once, on any thread. */
  virtual void Run(std::string_view aKind,
                   std::span<const std::byte> aBody,
                   base::Duration aTimeout,
                   ExecutorResultHandler aHandler) = 0;
};

} // namespace amaranthwind::target
