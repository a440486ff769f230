#pragma once

#include "amaranthwind/gang/Messages.h"

#include <cstdint>
#include <memory>

namespace amaranthwind::gang {

enum class MemberStep : std::uint8_t
{
  CommitSeen,
  AbortSeen,
  ReleaseSeen,
  StopSeen,
  TaskStartSeen,
  TaskEndSeen,
  TaskFound, // By a daemon that starts while the task runs.
};

/** What the transitions of a member do. They must not step the life cycle. */
class MemberActions
{
public:
  virtual ~MemberActions() = default;
  /** Frees what the attempt holds of the worker. */
  virtual void Free() = 0;
  virtual void SendCommitted() = 0;
  virtual void StartTask() = 0;
  virtual void StopTask() = 0;
};

/** State machine of one member of one attempt; the table is in the .cpp file.
 */
class MemberLifeCycle
{
public:
  MemberLifeCycle();
  ~MemberLifeCycle();
  MemberLifeCycle(MemberLifeCycle&&) noexcept;
  MemberLifeCycle& operator=(MemberLifeCycle&&) noexcept;

  /** A step without a row in the table does nothing. */
  void Process(MemberStep aStep, MemberActions& aActions);
  MemberPhase Phase() const noexcept;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::gang
