#include "standins/LogService.h"
#include "standins/Serve.h"

#include <docopt/docopt.h>

using namespace amaranthwind;

namespace {

constexpr char kUsage[] = R"(Stand-in for the platform's log service.

Usage:
  log-standin --listen=ADDRESS
  log-standin --help

Options:
  --listen=ADDRESS  IP:port.
)";

} // namespace

int
main(int argc, char** argv)
{
  auto arguments = docopt::docopt(kUsage, { argv + 1, argv + argc });
  const auto signals = standins::BlockStopSignals();
  net::IoPool pool(2);
  standins::LogService service(pool);
  return standins::ServeUntilStopped(
    pool, service, arguments["--listen"].asString(), signals);
}
