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
 * Renders the state of all registered sources as one JSON document:
 *
 *     {"process": "entry-1", "sections": [{"name": "routing", "values": {...},
 *      "tables": {"targets": {"columns": [...], "rows": [[...], ...]}},
 *      "truncated": false}, ...]}
 *
 * The size is bounded: the remaining bytes are divided equally among the
 * remaining sections. No lock is held while a source writes.
 * Thread-safe.
 */
class StateDump
{
public:
  static constexpr std::size_t kDefaultMaxBytes = std::size_t{ 4 } << 20U;

  explicit StateDump(std::string_view aProcess,
                     std::size_t aMaxBytes = kDefaultMaxBytes);

  /** Adds a source. Sections appear in the order of these calls. */
  void Add(std::shared_ptr<const DumpSource> aSource);

  /** Renders at most aMaxBytes plus a few hundred bytes per section. */
  std::string Render() const;

private:
  const std::string process;
  const std::size_t maxBytes;
  mutable std::mutex mutex;
  std::vector<std::shared_ptr<const DumpSource>> sources;
};

} // namespace amaranthwind::telemetry
