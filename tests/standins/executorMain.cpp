#include "standins/ExecutorService.h"
#include "standins/Serve.h"

#include <docopt/docopt.h>

using namespace amaranthwind;

namespace {

constexpr char kUsage[] = R"(Stand-in for an executor of short requests.

Usage:
  executor-standin --listen=ADDRESS [--name=NAME] [--slots=N] [--service-ms=N]
  executor-standin --help

Options:
  --listen=ADDRESS  IP:port.
  --name=NAME       Included in replies [default: executor].
  --slots=N         Requests served concurrently [default: 8].
  --service-ms=N    Service time in milliseconds [default: 5].
)";

} // namespace

int
main(int argc, char** argv)
{
  auto arguments = docopt::docopt(kUsage, { argv + 1, argv + argc });
  const auto signals = standins::BlockStopSignals();
  net::IoPool pool(2);
  standins::ExecutorService service(
    pool,
    arguments["--name"].asString(),
    static_cast<std::uint32_t>(arguments["--slots"].asLong()),
    std::chrono::milliseconds(arguments["--service-ms"].asLong()));
  return standins::ServeUntilStopped(
    pool, service, arguments["--listen"].asString(), signals);
}
