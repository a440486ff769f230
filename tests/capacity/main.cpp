// Measures processor time, memory and bytes of one real daemon against the
// number of its peers. The peers are small fakes in this process.

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

constexpr char kUsage[] = R"(Measures what a daemon spends on control.

Usage:
  capacity_probe targets --count=N [--seconds=S] [--notes=R]
  capacity_probe target-daemon --entries=N [--seconds=S]
  capacity_probe times [--rounds=N]
  capacity_probe --help

Options:
  --count=N    Fake workers that report to one entry.
  --entries=N  Entries to which one worker's daemon reports.
  --seconds=S  Length of the measurement [default: 20].
  --notes=R    Release notes that are published meanwhile [default: 0].
  --rounds=N   How often each time is taken [default: 5].
)";

/** What a process has used so far. */
struct Usage
{
  double cpuSeconds = 0;
  double residentMiB = 0;
};

Usage
ReadUsage(pid_t aPid)
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
  Usage usage;
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

/** Many workers' daemons, as far as an entry can tell. */
class FakeTargets : public protocol::MessageHandler
{
public:
  FakeTargets(std::string aEntry, std::size_t aCount)
    : entry(std::move(aEntry))
    , count(aCount)
    , node(pool, MakeOptions(), *this)
  {
  }
  ~FakeTargets() override
  {
    this->isStopped.store(true);
    if (this->beats.joinable()) {
      this->beats.join();
    }
    this->node.Stop();
    this->pool.Stop();
  }
  FakeTargets(const FakeTargets&) = delete;
  FakeTargets& operator=(const FakeTargets&) = delete;

  /** Announces all targets, then sends heartbeats until destroyed. */
  bool Start()
  {
    for (std::size_t i = 0; i < this->count; ++i) {
      const auto connection = this->node.Connect(this->entry);
      std::lock_guard lock(this->mutex);
      this->numbers[connection] = i;
      this->connections.push_back(connection);
    }
    const bool isUp = Deployment::WaitUntil(
      [this] { return this->announced.load() == this->count; });
    this->beats = std::thread([this] { this->SendBeats(); });
    return isUp;
  }

  void OnOpened(protocol::ConnectionId aConnection,
                bool,
                std::string_view) override
  {
    std::size_t number = 0;
    {
      std::lock_guard lock(this->mutex);
      number = this->numbers[aConnection];
    }
    fleet::Target target;
    target.id = base::TargetId("worker-" + std::to_string(number));
    target.kind = fleet::TargetKind::Worker;
    target.zone = base::ZoneId("tw-1");
    constexpr std::size_t kPerRack = 25;
    target.rack = base::RackId("rack-" + std::to_string(number / kPerRack));
    target.resources = { 1, 64, 131072 };
    target.address = "127.0.0.1:" + std::to_string(10000 + number);
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
    ++this->closed;
  }

  protocol::NodeCounters Counters() const { return this->node.Counters(); }
  std::chrono::milliseconds Interval() const
  {
    return std::chrono::milliseconds(this->intervalMs.load());
  }
  std::size_t Closed() const { return this->closed.load(); }

private:
  static protocol::NodeOptions MakeOptions()
  {
    protocol::NodeOptions options;
    // The heartbeats are the only traffic, as with a real daemon.
    options.pingInterval = 60s;
    options.silenceTimeout = 120s;
    return options;
  }

  void SendBeats()
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
  std::map<protocol::ConnectionId, std::size_t> numbers;
  std::vector<protocol::ConnectionId> connections;
  std::atomic<std::size_t> announced{ 0 };
  std::atomic<std::size_t> closed{ 0 };
  std::atomic<std::int64_t> intervalMs{ 1000 };
  std::atomic<bool> isStopped{ false };
  std::thread beats;
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
  FakeTargets targets(entry.inner, aCount);
  if (!targets.Start()) {
    std::cerr << "not all targets were announced\n";
    return 1;
  }
  // Until the interval has settled and the entry has become coordinator.
  std::this_thread::sleep_for(10s);
  const Usage before = ReadUsage(entry.process->Pid());
  const auto bytesBefore = targets.Counters();
  const auto start = Clock::now();
  for (unsigned i = 0; i < aNotes; ++i) {
    deployment.PublishNote(MakeNote(i));
    std::this_thread::sleep_until(start + (i + 1) * aLength / aNotes);
  }
  std::this_thread::sleep_until(start + aLength);
  const Usage after = ReadUsage(entry.process->Pid());
  const auto bytesAfter = targets.Counters();
  const double seconds =
    std::chrono::duration<double>(Clock::now() - start).count();
  std::printf(
    "targets %zu  interval %lld ms  cpu %.2f %%  memory %.1f MiB  "
    "in %.2f KB/s  out %.2f KB/s  closed %zu\n",
    aCount,
    static_cast<long long>(targets.Interval().count()),
    100 * (after.cpuSeconds - before.cpuSeconds) / seconds,
    after.residentMiB,
    static_cast<double>(bytesAfter.bytesSent - bytesBefore.bytesSent) /
      seconds / 1000,
    static_cast<double>(bytesAfter.bytesReceived - bytesBefore.bytesReceived) /
      seconds / 1000,
    targets.Closed());
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
  const Usage workerBefore = ReadUsage(worker.process->Pid());
  const Usage executorBefore = ReadUsage(executor.process->Pid());
  const Usage entryBefore = ReadUsage(entry.process->Pid());
  const auto start = Clock::now();
  std::this_thread::sleep_for(aLength);
  const double seconds =
    std::chrono::duration<double>(Clock::now() - start).count();
  const auto print = [&](const char* aName, pid_t aPid, const Usage& aBefore) {
    const Usage after = ReadUsage(aPid);
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

/** Runs aAction and returns the time until aIsDone holds. */
double
Time(const std::function<void()>& aAction, const std::function<bool()>& aIsDone)
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
PrintTimes(const char* aName, std::vector<double> aTimes)
{
  std::sort(aTimes.begin(), aTimes.end());
  std::printf("%-44s median %7.0f ms  longest %7.0f ms  rounds %zu\n",
              aName,
              aTimes[aTimes.size() / 2],
              aTimes.back(),
              aTimes.size());
}

bool
IsVersion(Deployment& aDeployment, unsigned aVersion)
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
MeasureTimes(unsigned aRounds)
{
  Deployment deployment({ .entries = 3, .executors = 1, .workers = 2 });
  if (!deployment.Start()) {
    return 1;
  }
  deployment.PublishNote(
    R"({"base":0,"changes":[{"putKind":{"id":"gang","class":"gang"}},)"
    R"({"putAccount":{"id":"account-0"}}]})");
  std::vector<double> notes;
  for (unsigned i = 1; i <= aRounds; ++i) {
    // Publishing with the tool, a process of its own, is part of the time.
    notes.push_back(Time([&] { deployment.PublishNote(MakeNote(i)); },
                         [&] { return IsVersion(deployment, i + 1); }));
  }
  PrintTimes("note published to in force on all entries", notes);

  std::vector<double> jobs;
  std::vector<double> takeovers;
  std::vector<double> starts;
  for (unsigned i = 0; i < aRounds; ++i) {
    const std::string id = "job-" + std::to_string(i);
    Deployment::WaitUntil([&] {
      return SubmitJob(deployment, deployment.entries[0], "warm-up-" + id)
               .response.value()
               .status < 300;
    });
    jobs.push_back(
      Time([&] { SubmitJob(deployment, deployment.entries[0], id); },
           [&] { return IsJobEnded(deployment, deployment.entries[0], id); }));
    std::size_t leader = 0;
    Deployment::WaitUntil([&] {
      for (std::size_t k = 0; k < deployment.entries.size(); ++k) {
        if (IsCoordinator(deployment, deployment.entries[k])) {
          leader = k;
          return true;
        }
      }
      return false;
    });
    const auto& other = deployment.entries[(leader + 1) % 3];
    takeovers.push_back(
      Time([&] { deployment.entries[leader].process->Kill(); },
           [&] {
             const auto answer = SubmitJob(deployment, other, "next-" + id);
             return answer.response.has_value() &&
                    answer.response.value().status < 300;
           }));
    starts.push_back(
      Time([&] { deployment.Restart(deployment.entries[leader]); },
           [&] { return deployment.IsReady(deployment.entries[leader]); }));
  }
  PrintTimes("empty gang of 2: submission to end", jobs);
  PrintTimes("coordinator killed to next job accepted", takeovers);
  PrintTimes("entry started to ready", starts);
  return 0;
}

} // namespace

int
main(int argc, char** argv)
{
  auto arguments = docopt::docopt(kUsage, { argv + 1, argv + argc });
  const std::chrono::seconds length(arguments["--seconds"].asLong());
  if (arguments["times"].asBool()) {
    return MeasureTimes(static_cast<unsigned>(arguments["--rounds"].asLong()));
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
