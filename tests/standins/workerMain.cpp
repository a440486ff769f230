#include "standins/Serve.h"
#include "standins/WorkerService.h"

#include <docopt/docopt.h>

using namespace amaranthwind;

namespace {

constexpr char kUsage[] = R"(Stand-in for a worker with accelerators.

Usage:
  worker-standin --listen=ADDRESS [--accelerators=N]
  worker-standin --help

Options:
  --listen=ADDRESS  IP:port.
  --accelerators=N  Accelerators of the worker [default: 8].
)";

} // namespace

int
main(int argc, char** argv)
{
  auto arguments = docopt::docopt(kUsage, { argv + 1, argv + argc });
  const auto signals = standins::BlockStopSignals();
  net::IoPool pool(1);
  standins::WorkerService service(
    static_cast<std::uint32_t>(arguments["--accelerators"].asLong()));
  return standins::ServeUntilStopped(
    pool, service, arguments["--listen"].asString(), signals);
}
