#pragma once

#include "harness/PlatformDeployment.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthwind::endtoend {

/** Half of the memory of the smallest VM of a scheduler. */
inline constexpr std::size_t kMaxMemoryKiB = std::size_t{ 60 } * 1024;
/** Descriptors of the smallest VM of a scheduler, less those for files. */
inline constexpr std::size_t kMaxDescriptors = 2875;

/** The addresses on which the processes of a deployment listen. */
enum class Listener : std::uint8_t
{
  Clients,
  Readiness,
  Registration,
  SchedulerAdmin,
  AgentAdmin,
  Peers, // Schedulers and agents among themselves.
};

/** The listeners that speak HTTP. */
inline constexpr Listener kHttpListeners[] = { Listener::Clients,
                                               Listener::Readiness,
                                               Listener::Registration,
                                               Listener::SchedulerAdmin,
                                               Listener::AgentAdmin };

inline constexpr Listener kSchedulerListeners[] = { Listener::Clients,
                                                    Listener::Readiness,
                                                    Listener::SchedulerAdmin,
                                                    Listener::Peers };

/** A daemon of a deployment with an address that anybody can reach. */
struct Daemon
{
  std::string address;
  harness::Process* process = nullptr;
};

/** A deployment of one scheduler and one worker under hostile load. */
struct UntrustedFixture
{
  UntrustedFixture();

  Daemon At(Listener aListener);
  /**
   * Checks that the process of the listener lives within its memory and
   * descriptors, and that ordinary requests are answered.
   */
  void CheckHolds(Listener aListener);
  /** Each of a few connections sends 16 MiB. */
  void CheckFlood(Listener aListener,
                  std::string_view aHead,
                  std::string_view aRest);
  /** CheckFlood() at each listener that speaks HTTP. */
  void CheckHttpFlood(std::string_view aHead, std::string_view aRest);

  harness::PlatformDeployment deployment{ 1, 1 };
};

} // namespace amaranthwind::endtoend
