#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/fleet/Target.h"
#include "amaranthwind/gang/GangMember.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace amaranthwind::target {

/** State of the request server of an executor's daemon. */
struct RequestStatus
{
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  /** Requests that wait for the reply of their witness. */
  std::uint32_t claiming = 0;
  std::size_t keys = 0;
  std::size_t ledgerBytes = 0;
};

/** A task of the daemon on its worker. */
struct TaskStatus
{
  std::string id;
  gang::AttemptKey key;
  gang::Rank rank = 0;
  bool isStarted = false;
  bool isStopping = false;
};

/** State of the gang server of a worker's daemon. */
struct GangStatus
{
  std::vector<gang::MemberStatus> gangs;
  std::vector<TaskStatus> tasks;
};

/** Snapshot of a daemon that its event loop publishes for dump and metrics. */
struct TargetStatus
{
  fleet::Target target;
  bool isDraining = false;
  std::chrono::milliseconds heartbeatInterval{};
  RequestStatus requests;
  GangStatus gangs;
};

} // namespace amaranthwind::target
