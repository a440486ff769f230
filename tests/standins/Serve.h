#pragma once

#include "amaranthwind/frontend/HttpServer.h"
#include "amaranthwind/net/IoPool.h"

#include <csignal>
#include <iostream>
#include <string_view>

namespace amaranthwind::standins {

/** Blocks the stop signals; must be called before any thread starts. */
inline sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

/** Prints the address, serves until SIGTERM or SIGINT, returns exit code. */
inline int
ServeUntilStopped(net::IoPool& aPool,
                  frontend::HttpHandler& aHandler,
                  std::string_view aAddress,
                  const sigset_t& aSignals)
{
  frontend::HttpServer server(aPool, { .maxConnections = 4096 }, aHandler);
  const auto address = server.Listen(aAddress);
  if (address.has_error()) {
    std::cerr << base::Describe(address.error()) << "\n";
    return 1;
  }
  std::cout << "listening on " << address.value() << std::endl;
  int signal = 0;
  sigwait(&aSignals, &signal);
  server.Stop();
  aPool.Stop();
  return 0;
}

} // namespace amaranthwind::standins
