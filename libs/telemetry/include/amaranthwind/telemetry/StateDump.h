#pragma once

#include "amaranthwind/telemetry/DumpSource.h"

#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthwind::telemetry {

/**
 * Renders the state of all sources of a process as one JSON document:
 *
 *     {"process": "entry-1", "sections": [{"name": "routing", "values": {...},
 *      "tables": {"targets": {"columns": [...], "rows": [[...], ...]}},
 *      "truncated": false}, ...]}
 *
 * The document is bounded: each section may use an equal share of what the
 * sections before it left over. No lock is held while a source writes.
 * Thread-safe.
 */
class StateDump
{
public:
  static constexpr std::size_t kDefaultMaxBytes = std::size_t{ 4 } << 20U;

  explicit StateDump(std::string_view aProcess,
                     std::size_t aMaxBytes = kDefaultMaxBytes);

  /** Sources are kept in the order in which they were added. */
  void Add(std::shared_ptr<const DumpSource> aSource);

  /** At most the bound and a few hundred bytes for each section. */
  std::string Render() const;

private:
  const std::string process;
  const std::size_t maxBytes;
  mutable std::mutex mutex;
  std::vector<std::shared_ptr<const DumpSource>> sources;
};

} // namespace amaranthwind::telemetry
