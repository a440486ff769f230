#pragma once

#include <cstdint>
#include <memory>

namespace amaranthwind::gang {

enum class FirstRankPhase : std::uint8_t
{
  Collecting, // Waits until all members have committed.
  Released,
  Running,
  Stopping,
  Over,
};

enum class FirstRankStep : std::uint8_t
{
  AllCommitted,
  AllRunning,
  StopNeeded,
  AllEnded,
  TaskFound, // By a daemon that starts while the gang runs.
};

/** What the transitions of the first rank do. They must not step it. */
class FirstRankActions
{
public:
  virtual ~FirstRankActions() = default;
  virtual void SendRelease() = 0;
  virtual void ReportStarted() = 0;
  virtual void SendStop() = 0;
  virtual void ReportEnded() = 0;
};

/** What rank 0 does for the whole gang; the table is in the .cpp file. */
class FirstRankLifeCycle
{
public:
  FirstRankLifeCycle();
  ~FirstRankLifeCycle();
  FirstRankLifeCycle(FirstRankLifeCycle&&) noexcept;
  FirstRankLifeCycle& operator=(FirstRankLifeCycle&&) noexcept;

  /** A step without a row in the table does nothing. */
  void Process(FirstRankStep aStep, FirstRankActions& aActions);
  FirstRankPhase Phase() const noexcept;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::gang
