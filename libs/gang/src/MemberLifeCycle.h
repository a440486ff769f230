#pragma once

#include "amaranthwind/gang/Messages.h"

#include <cstdint>
#include <memory>

namespace amaranthwind::gang {

enum class MemberTrigger : std::uint8_t
{
  CommitReceived,
  AbortReceived,
  ReleaseReceived,
  StopOrdered,
  TaskStartReported,
  TaskEndReported,
  TaskAdopted, // The daemon was started while the task was running.
};

/**
 * Actions of a member's transitions. They must not trigger another transition
 * of it.
 */
class MemberActions
{
public:
  virtual ~MemberActions() = default;
  /** Frees the worker's resources that the attempt has reserved. */
  virtual void FreeResources() = 0;
  virtual void SendCommitted() = 0;
  virtual void StartTask() = 0;
  virtual void StopTask() = 0;
};

/**
 * State machine of one member of one attempt. The transition table is in the
 * .cpp file.
 */
class MemberLifeCycle
{
public:
  MemberLifeCycle();
  ~MemberLifeCycle();
  MemberLifeCycle(MemberLifeCycle&&) noexcept;
  MemberLifeCycle& operator=(MemberLifeCycle&&) noexcept;

  /** A trigger without a row for the current phase has no effect. */
  void Process(MemberTrigger aTrigger, MemberActions& aActions);
  MemberPhase Phase() const noexcept;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::gang
