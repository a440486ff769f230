// Measures CPU time, memory and network traffic of one real daemon by the
// number of its peers, and control-plane latencies. In mode "targets" the peers
// are simulated in this process; the other modes use real peers.

#include "amaranthwind/net/IoPool.h"
#include "amaranthwind/protocol/Node.h"
#include "harness/Deployment.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace amaranthwind;
using harness::Deployment;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

constexpr char kUsage[] =
  R"(Measures the CPU, memory and traffic cost of a daemon's control plane.

Usage:
  capacity_probe targets --count=N [--seconds=S] [--notes=R]
  capacity_probe target-daemon --entries=N [--seconds=S]
  capacity_probe times [--rounds=N]
  capacity_probe --help

Options:
  --count=N    Number of simulated workers that report to one entry.
  --entries=N  Number of entries to which one worker's daemon reports.
  --seconds=S  Duration of the measurement [default: 20].
  --notes=R    Number of release notes published during it [default: 0].
  --rounds=N   Number of times each latency is measured [default: 5].
)";

/** CPU time used by a process since its start, and its resident memory. */
struct ProcessUsage
{
  double cpuSeconds = 0;
  double residentMiB = 0;
};

ProcessUsage
ReadProcessUsage(pid_t aPid)
{
  const std::string folder = "/proc/" + std::to_string(aPid);
  std::ifstream statFile(folder + "/stat");
  std::string stat;
  std::getline(statFile, stat);
  std::istringstream fields(stat.substr(stat.rfind(')') + 2));
  std::string skipped;
  constexpr int kFieldsBeforeTimes = 11;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  ProcessUsage usage;
  usage.cpuSeconds =
    (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream status(folder + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) {
      usage.residentMiB = std::stod(line.substr(6)) / 1024;
    }
  }
  return usage;
}

/** Simulates the daemons of many workers towards one entry. */
class SimulatedTargets : public protocol::MessageHandler
{
public:
  SimulatedTargets(std::string aEntry, std::size_t aCount)
    : entry(std::move(aEntry))
    , count(aCount)
    , node(pool, MakeOptions(), *this)
  {
  }
  ~SimulatedTargets() override
  {
    this->isStopped.store(true);
    if (this->heartbeatThread.joinable()) {
      this->heartbeatThread.join();
    }
    this->node.Stop();
    this->pool.Stop();
  }
  SimulatedTargets(const SimulatedTargets&) = delete;
  SimulatedTargets& operator=(const SimulatedTargets&) = delete;

  /** Registers all targets, then sends heartbeats until destruction. */
  bool Start()
  {
    for (std::size_t i = 0; i < this->count; ++i) {
      const auto connection = this->node.Connect(this->entry);
      std::lock_guard lock(this->mutex);
      this->workerIndexes[connection] = i;
      this->connections.push_back(connection);
    }
    const bool areAllAnnounced = Deployment::WaitUntil(
      [this] { return this->announced.load() == this->count; });
    this->heartbeatThread = std::thread([this] { this->SendHeartbeats(); });
    return areAllAnnounced;
  }

  void OnOpened(protocol::ConnectionId aConnection,
                bool,
                std::string_view) override
  {
    std::size_t workerIndex = 0;
    {
      std::lock_guard lock(this->mutex);
      workerIndex = this->workerIndexes[aConnection];
    }
    fleet::Target target;
    target.id = base::TargetId("worker-" + std::to_string(workerIndex));
    target.kind = fleet::TargetKind::Worker;
    target.zone = base::ZoneId("tw-1");
    constexpr std::size_t kPerRack = 25;
    target.rack =
      base::RackId("rack-" + std::to_string(workerIndex / kPerRack));
    target.resources = { 1, 64, 131072 };
    target.address = "127.0.0.1:" + std::to_string(10000 + workerIndex);
    target.incarnation = base::Incarnation(1);
    this->node.Call(aConnection,
                    protocol::TargetHello{ target, {} },
                    30s,
                    [this](const protocol::CallResult& aResult) {
                      if (aResult.reply != nullptr) {
                        ++this->announced;
                      }
                    });
  }

  void OnMessage(protocol::ConnectionId,
                 const protocol::Envelope& aEnvelope) override
  {
    if (const auto* ack =
          std::get_if<protocol::HeartbeatAck>(&aEnvelope.message)) {
      this->intervalMs.store(ack->heartbeatInterval.count());
    }
  }

  void OnClosed(protocol::ConnectionId, const base::Error&) override
  {
    ++this->closedConnections;
  }

  protocol::NodeCounters Counters() const { return this->node.Counters(); }
  std::chrono::milliseconds HeartbeatInterval() const
  {
    return std::chrono::milliseconds(this->intervalMs.load());
  }
  std::size_t ClosedConnections() const
  {
    return this->closedConnections.load();
  }

private:
  static protocol::NodeOptions MakeOptions()
  {
    protocol::NodeOptions options;
    // Long intervals keep pings out of the measurement: as with a real daemon,
    // heartbeats are the only traffic.
    options.pingInterval = 60s;
    options.silenceTimeout = 120s;
    return options;
  }

  void SendHeartbeats()
  {
    std::size_t next = 0;
    while (!this->isStopped.load()) {
      this->node.Send(this->connections[next], protocol::Heartbeat{});
      next = (next + 1) % this->count;
      std::this_thread::sleep_for(
        std::chrono::microseconds(this->intervalMs.load() * 1000) /
        this->count);
    }
  }

  const std::string entry;
  const std::size_t count;
  std::mutex mutex;
  std::map<protocol::ConnectionId, std::size_t> workerIndexes;
  std::vector<protocol::ConnectionId> connections;
  std::atomic<std::size_t> announced{ 0 };
  std::atomic<std::size_t> closedConnections{ 0 };
  std::atomic<std::int64_t> intervalMs{ 1000 };
  std::atomic<bool> isStopped{ false };
  std::thread heartbeatThread;
  net::IoPool pool{ 2 };
  protocol::Node node;
};

std::string
MakeNote(unsigned aBase)
{
  return R"({"base":)" + std::to_string(aBase) +
         R"(,"changes":[{"putAccount":{"id":"account-)" +
         std::to_string(aBase % 150) + R"("}}]})";
}

int
MeasureTargets(std::size_t aCount,
               std::chrono::seconds aLength,
               unsigned aNotes)
{
  Deployment deployment({ .entries = 1, .executors = 0, .workers = 0 });
  if (!deployment.Start()) {
    return 1;
  }
  const auto& entry = deployment.entries.front();
  SimulatedTargets targets(entry.inner, aCount);
  if (!targets.Start()) {
    std::cerr << "not all simulated targets were registered with the entry\n";
    return 1;
  }
  // Wait until the heartbeat interval has settled and the entry has become
  // coordinator.
  std::this_thread::sleep_for(10s);
  const ProcessUsage before = ReadProcessUsage(entry.process->Pid());
  const auto countersBefore = targets.Counters();
  const auto start = Clock::now();
  for (unsigned i = 0; i < aNotes; ++i) {
    deployment.PublishNote(MakeNote(i));
    std::this_thread::sleep_until(start + (i + 1) * aLength / aNotes);
  }
  std::this_thread::sleep_until(start + aLength);
  const ProcessUsage after = ReadProcessUsage(entry.process->Pid());
  const auto countersAfter = targets.Counters();
  const double seconds =
    std::chrono::duration<double>(Clock::now() - start).count();
  std::printf(
    "targets %zu  interval %lld ms  cpu %.2f %%  memory %.1f MiB  "
    "in %.2f KB/s  out %.2f KB/s  closed %zu\n",
    aCount,
    static_cast<long long>(targets.HeartbeatInterval().count()),
    100 * (after.cpuSeconds - before.cpuSeconds) / seconds,
    after.residentMiB,
    static_cast<double>(countersAfter.bytesSent - countersBefore.bytesSent) /
      seconds / 1000,
    static_cast<double>(countersAfter.bytesReceived -
                        countersBefore.bytesReceived) /
      seconds / 1000,
    targets.ClosedConnections());
  return 0;
}

int
MeasureTargetDaemon(std::size_t aEntries, std::chrono::seconds aLength)
{
  Deployment deployment({ .entries = aEntries, .executors = 1, .workers = 1 });
  if (!deployment.Start()) {
    return 1;
  }
  std::this_thread::sleep_for(5s);
  const auto& worker = deployment.workerDaemons.front();
  const auto& executor = deployment.executorDaemons.front();
  const auto& entry = deployment.entries.front();
  const ProcessUsage workerBefore = ReadProcessUsage(worker.process->Pid());
  const ProcessUsage executorBefore = ReadProcessUsage(executor.process->Pid());
  const ProcessUsage entryBefore = ReadProcessUsage(entry.process->Pid());
  const auto start = Clock::now();
  std::this_thread::sleep_for(aLength);
  const double seconds =
    std::chrono::duration<double>(Clock::now() - start).count();
  const auto print =
    [&](const char* aName, pid_t aPid, const ProcessUsage& aBefore) {
      const ProcessUsage after = ReadProcessUsage(aPid);
      std::printf("entries %zu  %s  cpu %.2f %%  memory %.1f MiB\n",
                  aEntries,
                  aName,
                  100 * (after.cpuSeconds - aBefore.cpuSeconds) / seconds,
                  after.residentMiB);
    };
  print("worker daemon", worker.process->Pid(), workerBefore);
  print("executor daemon", executor.process->Pid(), executorBefore);
  print("entry", entry.process->Pid(), entryBefore);
  return 0;
}

/** Milliseconds from calling aAction until aIsDone holds; -1 on timeout. */
double
MeasureMilliseconds(const std::function<void()>& aAction,
                    const std::function<bool()>& aIsDone)
{
  const auto start = Clock::now();
  aAction();
  if (!Deployment::WaitUntil(aIsDone)) {
    return -1;
  }
  return std::chrono::duration<double, std::milli>(Clock::now() - start)
    .count();
}

void
PrintLatencies(const char* aName, std::vector<double> aTimes)
{
  std::sort(aTimes.begin(), aTimes.end());
  std::printf("%-44s median %7.0f ms  longest %7.0f ms  rounds %zu\n",
              aName,
              aTimes[aTimes.size() / 2],
              aTimes.back(),
              aTimes.size());
}

bool
IsPolicyVersionInForce(Deployment& aDeployment, unsigned aVersion)
{
  const std::string text = "\"version\":" + std::to_string(aVersion) + ",";
  for (const auto& entry : aDeployment.entries) {
    const auto note = aDeployment.Get(entry.http, "/v1/note");
    if (note.response.has_error() ||
        note.response.value().body.find(text) == std::string::npos) {
      return false;
    }
  }
  return true;
}

frontend::HttpResult
SubmitJob(Deployment& aDeployment,
          const harness::Node& aEntry,
          const std::string& aId)
{
  frontend::HttpRequest request;
  request.method = "POST";
  request.path = "/v1/jobs";
  request.headers = { { "X-Client-Account", "account-0" },
                      { "X-Caller", "probe" } };
  request.body = R"({"id":")" + aId +
                 R"(","kind":"gang","shape":{"members":2,"perMember":)"
                 R"({"accelerators":8}},"payload":"{\"runMs\":0}"})";
  return aDeployment.Send(aEntry.http, std::move(request));
}

bool
IsJobEnded(Deployment& aDeployment,
           const harness::Node& aEntry,
           const std::string& aId)
{
  const auto state = aDeployment.Get(aEntry.http, "/v1/jobs/" + aId);
  return state.response.has_value() &&
         state.response.value().body.find(R"("phase":"ended")") !=
           std::string::npos;
}

bool
IsCoordinator(Deployment& aDeployment, const harness::Node& aEntry)
{
  const auto metrics = aDeployment.Get(aEntry.admin, "/metrics");
  return metrics.response.has_value() &&
         metrics.response.value().body.find(
           "amaranthwind_cell_coordinator{zone=\"tw-1\"} 1") !=
           std::string::npos;
}

int
MeasureLatencies(unsigned aRounds)
{
  Deployment deployment({ .entries = 3, .executors = 1, .workers = 2 });
  if (!deployment.Start()) {
    return 1;
  }
  deployment.PublishNote(
    R"({"base":0,"changes":[{"putKind":{"id":"gang","class":"gang"}},)"
    R"({"putAccount":{"id":"account-0"}}]})");
  std::vector<double> noteLatencies;
  for (unsigned i = 1; i <= aRounds; ++i) {
    // The latency includes starting the command-line tool, a separate process.
    noteLatencies.push_back(MeasureMilliseconds(
      [&] { deployment.PublishNote(MakeNote(i)); },
      [&] { return IsPolicyVersionInForce(deployment, i + 1); }));
  }
  PrintLatencies("note published to in force on all entries", noteLatencies);

  std::vector<double> jobLatencies;
  std::vector<double> takeoverLatencies;
  std::vector<double> startLatencies;
  for (unsigned i = 0; i < aRounds; ++i) {
    const std::string id = "job-" + std::to_string(i);
    Deployment::WaitUntil([&] {
      return SubmitJob(deployment, deployment.entries[0], "warm-up-" + id)
               .response.value()
               .status < 300;
    });
    jobLatencies.push_back(MeasureMilliseconds(
      [&] { SubmitJob(deployment, deployment.entries[0], id); },
      [&] { return IsJobEnded(deployment, deployment.entries[0], id); }));
    std::size_t coordinator = 0;
    Deployment::WaitUntil([&] {
      for (std::size_t k = 0; k < deployment.entries.size(); ++k) {
        if (IsCoordinator(deployment, deployment.entries[k])) {
          coordinator = k;
          return true;
        }
      }
      return false;
    });
    const auto& other = deployment.entries[(coordinator + 1) % 3];
    takeoverLatencies.push_back(MeasureMilliseconds(
      [&] { deployment.entries[coordinator].process->Kill(); },
      [&] {
        const auto answer = SubmitJob(deployment, other, "next-" + id);
        return answer.response.has_value() &&
               answer.response.value().status < 300;
      }));
    startLatencies.push_back(MeasureMilliseconds(
      [&] { deployment.Restart(deployment.entries[coordinator]); },
      [&] { return deployment.IsReady(deployment.entries[coordinator]); }));
  }
  PrintLatencies("empty gang of 2: submission to end", jobLatencies);
  PrintLatencies("coordinator killed to next job accepted", takeoverLatencies);
  PrintLatencies("entry started to ready", startLatencies);
  return 0;
}

} // namespace

int
main(int argc, char** argv)
{
  auto arguments = docopt::docopt(kUsage, { argv + 1, argv + argc });
  const std::chrono::seconds length(arguments["--seconds"].asLong());
  if (arguments["times"].asBool()) {
    return MeasureLatencies(
      static_cast<unsigned>(arguments["--rounds"].asLong()));
  }
  if (arguments["targets"].asBool()) {
    return MeasureTargets(
      static_cast<std::size_t>(arguments["--count"].asLong()),
      length,
      static_cast<unsigned>(arguments["--notes"].asLong()));
  }
  return MeasureTargetDaemon(
    static_cast<std::size_t>(arguments["--entries"].asLong()), length);
}
