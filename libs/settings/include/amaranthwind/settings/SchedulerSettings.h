#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/settings/LogSettings.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace amaranthwind::settings {

/**
 * Limits of what clients can occupy at a listener of a scheduler or an agent.
 * No client that keeps to the published limits (headers of 16 KiB, bodies of
 * 256 KiB, 3 s for the headers) reaches one of the defaults.
 */
struct ListenerLimits
{
  std::uint32_t maxBodyBytes = 256 * 1024;
  /** Of the request line and headers, and of the trailers. */
  std::uint32_t maxHeaderBytes = 16 * 1024;
  std::uint32_t maxConnections = 1024;
  /** Of the incomplete requests of all connections together. */
  std::uint32_t maxBufferedBytes = 16 * 1024 * 1024;
  /**
   * Of all listeners of the process together, that of the inner protocol among
   * them; the number of descriptors also limits the connections.
   */
  std::uint32_t maxTotalConnections = 2048;
  /** Of the incomplete requests and frames at all listeners together. */
  std::uint32_t maxTotalBufferedBytes = 16 * 1024 * 1024;
  /** Of the bodies of the requests that are being handled. */
  std::uint32_t maxHandledBytes = 8 * 1024 * 1024;
  base::Duration idleTimeout = std::chrono::seconds(30);
  /** From the first byte of a request to the end of its headers. */
  base::Duration headerTimeout = std::chrono::seconds(10);
  /** From the first byte of a request to its end. */
  base::Duration requestTimeout = std::chrono::seconds(20);
  /** Time in which a client takes a response. */
  base::Duration responseTimeout = std::chrono::seconds(10);

  bool operator==(const ListenerLimits&) const = default;
};

/** Settings that the roles scheduler and agent of `amaranthwindd` share. */
struct NodeSettings
{
  /** Name of the VM. */
  std::string id;
  base::RegionId region;
  base::ZoneId zone;
  /** Listen address of /live, /ready, /metrics and /dump, "IP:port". */
  std::string adminListen;
  /** Address of the platform's log service, "IP:port". */
  std::string logService;
  /** Longest time that a worker keeps tasks without a lease renewal. */
  base::Duration maxLease = std::chrono::seconds(6);
  LogSettings log;
  /** Of the listeners of the process. */
  ListenerLimits limits;

  bool operator==(const NodeSettings&) const = default;
};

/** Settings of `amaranthwindd` in the role scheduler. */
struct SchedulerSettings
{
  NodeSettings node;
  /** Listen address for agents and other schedulers, "IP:port". */
  std::string innerListen;
  /** Listen address for callers, "IP:port". */
  std::string clientListen;
  /** Listen address of the load balancer's readiness probe, "IP:port". */
  std::string readyListen;
  /** Largest record, and largest append, that the log service takes. */
  std::uint32_t logRecordBytes = 256U * 1024;
  std::uint32_t logAppendBytes = 2U * 1024 * 1024;
  /** Longest time that a worker needs to stop a task. */
  base::Duration stopTime = std::chrono::milliseconds(900);
  /** Time after its withdrawal by which an API key must be rejected. */
  base::Duration keyRevocationLimit = std::chrono::milliseconds(5000);
  /** Time after which a new configuration must be in force. */
  base::Duration configurationLimit = std::chrono::milliseconds(3000);
  /** Time after a job's cancellation by which none of its tasks may start. */
  base::Duration cancelLimit = std::chrono::milliseconds(3000);
  /**
   * Time after the request for the evacuation of a zone by which no task may
   * start there. Zero: requests for evacuations are ignored.
   */
  base::Duration evacuationLimit{};
  /** Learn run times from finished runs and use them to order and place. */
  bool learnsRunTimes = false;
  /** On a planned stop: how long it serves after it reports not ready. */
  base::Duration noticePeriod = std::chrono::milliseconds(2500);
  /** Retention time of the state of an ended job. */
  base::Duration jobRetention = std::chrono::seconds(180);
  /** Limit of the memory that all accepted jobs may take together. */
  std::uint32_t maxAcceptedBytes = 56 * 1024 * 1024;

  bool operator==(const SchedulerSettings&) const = default;
};

/** Settings of `amaranthwindd` in the role agent. */
struct AgentSettings
{
  NodeSettings node;
  /** Listen address for the registration of the VM's worker, "IP:port". */
  std::string registrationListen;
  /** Address at which the worker takes requests, "IP:port". */
  std::string workerAddress;

  bool operator==(const AgentSettings&) const = default;
};

} // namespace amaranthwind::settings
