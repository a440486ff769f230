#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/dispatch/WorkerReport.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string_view>
#include <vector>

namespace amaranthwind::agent {

/** Ended tasks of one life of the worker, by number. */
using EndsByNumber = std::map<std::uint64_t, dispatch::EndedTask>;

/**
 * Listed ends of lives of the worker that are over. The worker can list them no
 * more, so that only the agent can tell a coordinator that was away.
 */
class PastEnds
{
public:
  /** Ends that are given up although no coordinator has acknowledged them. */
  struct Discarded
  {
    ledger::WorkerIncarnation life;
    std::size_t count = 0;
    std::string_view reason;
  };

  /** Keeps the ends of a life that is over. */
  void Add(const ledger::WorkerIncarnation& aLife,
           EndsByNumber aEnds,
           base::TimePoint aNow);
  /** Removes and returns the ends of a life that goes on. */
  EndsByNumber Take(const ledger::WorkerIncarnation& aLife);
  /** Removes the ends up to the number and returns how many there were. */
  std::size_t Acknowledge(const ledger::WorkerIncarnation& aLife,
                          std::uint64_t aNumber);
  /**
   * Removes ends that are too old or too many, because coordinators of earlier
   * versions acknowledge none of them.
   */
  std::vector<Discarded> Limit(base::TimePoint aNow);

  /** In order of their lives and numbers. */
  std::vector<dispatch::PastEnd> List() const;
  std::size_t Size() const noexcept { return this->size; }

private:
  struct Life
  {
    ledger::WorkerIncarnation id;
    /** When it was over. */
    base::TimePoint since;
    EndsByNumber ends;
  };

  /** Oldest first; none is without ends. */
  std::deque<Life> lives;
  std::size_t size = 0;
};

} // namespace amaranthwind::agent
