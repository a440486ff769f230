#pragma once

#include <cstdint>
#include <memory>

namespace amaranthwind::gang {

enum class FirstRankPhase : std::uint8_t
{
  Collecting, // Waits for all members to commit.
  Released,
  Running,
  Stopping,
  Ended,
};

enum class FirstRankTrigger : std::uint8_t
{
  AllCommitted,
  AllRunning,
  StopNeeded,
  AllEnded,
  TaskAdopted, // The daemon was started while the gang was running.
};

/**
 * Actions of the first rank's transitions. They must not trigger another
 * transition of it.
 */
class FirstRankActions
{
public:
  virtual ~FirstRankActions() = default;
  virtual void SendRelease() = 0;
  virtual void ReportStarted() = 0;
  virtual void SendStop() = 0;
  virtual void ReportEnded() = 0;
};

/**
 * State machine by which rank 0 controls the whole gang. The transition table
 * is in the .cpp file.
 */
class FirstRankLifeCycle
{
public:
  FirstRankLifeCycle();
  ~FirstRankLifeCycle();
  FirstRankLifeCycle(FirstRankLifeCycle&&) noexcept;
  FirstRankLifeCycle& operator=(FirstRankLifeCycle&&) noexcept;

  /** A trigger without a row for the current phase has no effect. */
  void Process(FirstRankTrigger aTrigger, FirstRankActions& aActions);
  FirstRankPhase Phase() const noexcept;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::gang
