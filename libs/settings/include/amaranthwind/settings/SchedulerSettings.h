#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/settings/LogSettings.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace amaranthwind::settings {

/** What the roles `scheduler` and `agent` of `amaranthwindd` share. */
struct NodeSettings
{
  /** Name of the VM. */
  std::string id;
  base::RegionId region;
  base::ZoneId zone;
  /** Where /live, /ready, /metrics and /dump are served, "IP:port". */
  std::string adminListen;
  /** The platform's log, "IP:port". */
  std::string logService;
  /** Longest time that a worker keeps tasks without a renewal. */
  base::Duration maxLease = std::chrono::seconds(6);
  LogSettings log;

  bool operator==(const NodeSettings&) const = default;
};

/** Settings of `amaranthwindd` in the role scheduler. */
struct SchedulerSettings
{
  NodeSettings node;
  /** Where daemons of workers and other schedulers connect, "IP:port". */
  std::string innerListen;
  /** Where callers connect, "IP:port". */
  std::string clientListen;
  /** Where the load balancer asks for readiness, "IP:port". */
  std::string readyListen;
  /** Longest time that a worker needs to stop a task. */
  base::Duration stopTime = std::chrono::milliseconds(900);
  /** A withdrawn key must not be served later than this. */
  base::Duration revokeLimit = std::chrono::milliseconds(5000);
  /** How long it still serves after it became not ready on a stop. */
  base::Duration noticePeriod = std::chrono::milliseconds(2500);
  /** How long the state of an ended job is kept. */
  base::Duration jobRetention = std::chrono::seconds(180);

  bool operator==(const SchedulerSettings&) const = default;
};

/** Settings of `amaranthwindd` in the role agent. */
struct AgentSettings
{
  NodeSettings node;
  /** Where the worker on the VM registers, "IP:port". */
  std::string registrationListen;
  /** Where the worker takes orders, "IP:port". */
  std::string workerAddress;

  bool operator==(const AgentSettings&) const = default;
};

} // namespace amaranthwind::settings
