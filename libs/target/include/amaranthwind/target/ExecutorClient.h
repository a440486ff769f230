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

/** Outcome of a request to the executor. */
struct ExecutorResult
{
  /** HTTP status of the response; 0 if there was none. */
  std::uint16_t status = 0;
  std::vector<std::byte> body;
  /** Reason why there was no response. */
  base::Error error;
  /** False if the request is known not to have reached the executor. */
  bool mayHaveRun = true;
};

using ExecutorResultHandler = std::function<void(ExecutorResult)>;

/** Client of the local executor. Thread-safe. */
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
