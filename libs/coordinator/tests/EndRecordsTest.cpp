#include "EndRecords.h"
#include "Fleet.h"
#include "OneStepJob.h"

#include "amaranthwind/codec/EndRecordCodec.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::coordinator;
using namespace std::chrono_literals;
using dispatch::EndKind;
using dispatch::EndRecord;
using testing::EntryProcess;
using testing::Fleet;

namespace {

const journal::KeyedTopic kTopic{ std::string(dispatch::kEndTopic), 0 };

EndRecord
MakeRecord(std::uint64_t aNumber)
{
  EndRecord record;
  record.agent = base::AgentId("vm");
  record.life = { base::TargetId("w"), 1 };
  record.ends = {
    { aNumber, { { { base::JobId("j"), 0, 0 }, 0 }, 1 }, EndKind::Done, {} }
  };
  return record;
}

void
Append(journal::KeyedLog& aLog, const journal::KeyedValue& aRecord)
{
  aLog.Append(kTopic,
              std::span(&aRecord, 1),
              { .expectedEnd = std::nullopt, .stamp = std::nullopt },
              [](const auto&) {});
}

void
Append(journal::KeyedLog& aLog, const EndRecord& aRecord)
{
  Append(aLog,
         { dispatch::EndRecordKey(aRecord), codec::EncodeEndRecord(aRecord) });
}

/** Follows the records as a term of a coordinator does. */
struct Term final : EndRecordObserver
{
  explicit Term(bool aBegins = true)
  {
    this->clock.Advance(1h);
    this->records.emplace(kTopic.partition,
                          this->clock,
                          this->executor,
                          this->log,
                          this->recordLog,
                          *this);
    if (aBegins) {
      this->records->Confirm();
      this->records->Begin();
      this->executor.Advance(200ms);
    }
  }
  void OnRecordedEnds(std::span<const ReadEndRecord> aRecords) override
  {
    this->read.insert(this->read.end(), aRecords.begin(), aRecords.end());
  }
  void OnEndsConfirmed(std::uint32_t, base::TimePoint aAsOf) override
  {
    this->asOf = aAsOf;
  }

  /** Keys of the records that are in the log. */
  std::size_t Kept() { return this->log.PartitionOf(kTopic).newest.size(); }

  base::ManualClock clock;
  base::ManualExecutor executor{ clock };
  journal::testing::FakeKeyedLog log;
  testing::NullLogSink sink;
  telemetry::Logger logger{ sink, clock, "coordinator" };
  telemetry::Metrics metrics;
  EndRecordLog recordLog{ logger, metrics };
  std::vector<ReadEndRecord> read;
  std::optional<base::TimePoint> asOf;
  std::optional<EndRecords> records;
};

/** An agent with a worker of one accelerator, which runs what it is told. */
class ReportingAgent final : public protocol::MessageHandler
{
public:
  ReportingAgent(Fleet& aFleet, const std::string& aName)
    : fleet(aFleet)
    , name(aName)
    , port(aFleet.network.MakePorts()(*this))
  {
    (void)this->port->Listen(this->name + ":1");
  }

  void Connect(const EntryProcess& aEntry)
  {
    this->connection = this->port->Connect(aEntry.address);
    this->received = dispatch::OrderNumber(0);
  }
  /** Reports as usual while the time passes. */
  void Run(base::Duration aTime)
  {
    for (base::Duration done{}; done < aTime; done += 500ms) {
      this->Report();
      this->fleet.Run(500ms);
    }
  }
  void Report()
  {
    protocol::AgentReport message{ ++this->sequence, this->token, {} };
    message.report.agent = base::AgentId(this->name);
    auto& worker = message.report.worker.emplace();
    worker.life = this->Life();
    worker.pool = base::PoolId("pool");
    worker.capacity = { 64'000, 262'144, 1 };
    message.report.receivedOrder = this->received;
    for (const auto& start : this->starts) {
      message.report.running.push_back({ start.run, {}, 0, true });
    }
    this->port->Send(this->connection, message);
  }
  ledger::WorkerIncarnation Life() const
  {
    return { base::TargetId("w-" + this->name), 1 };
  }

  void OnOpened(protocol::ConnectionId, bool, std::string_view) override {}
  void OnClosed(protocol::ConnectionId, const base::Error&) override {}
  void OnMessage(protocol::ConnectionId,
                 const protocol::Envelope& aEnvelope) override
  {
    if (const auto* start =
          std::get_if<protocol::AgentStart>(&aEnvelope.message)) {
      this->token = start->token;
      this->received = start->number;
      this->starts.push_back(*start);
    }
  }

  std::vector<protocol::AgentStart> starts;

private:
  Fleet& fleet;
  const std::string name;
  std::unique_ptr<protocol::MessagePort> port;
  protocol::ConnectionId connection;
  base::FencingToken token{ 0 };
  dispatch::OrderNumber received;
  std::uint64_t sequence = 0;
};

job::WorkflowSpec
MakeJob()
{
  return testing::MakeOneStepJob("j", 1, 3s);
}

/** A task whose agent has recorded its end, which no coordinator has read. */
struct RecordedEnd
{
  RecordedEnd()
  {
    this->fleet.Run(3s);
    this->agent.Connect(this->entry);
    this->agent.Run(500ms);
    this->entry.coordinator->Submit(MakeJob(), 3s, [](const auto&) {});
    this->agent.Run(1s);
    REQUIRE(this->agent.starts.size() == 1);
    EndRecord record = MakeRecord(1);
    record.life = this->agent.Life();
    record.ends[0].run = this->agent.starts[0].run;
    this->entry.Freeze();
    Append(this->fleet.log, record);
  }
  std::optional<ledger::JobPhase> Phase(EntryProcess& aEntry)
  {
    std::optional<ledger::JobPhase> phase;
    aEntry.coordinator->Find(base::JobId("j"), [&](const auto& aStatus) {
      if (aStatus.has_value()) {
        phase = aStatus.value().phase;
      }
    });
    return phase;
  }
  std::size_t Kept()
  {
    return this->fleet.log.PartitionOf(kTopic).newest.size();
  }

  Fleet fleet;
  EntryProcess& entry = fleet.Start("e");
  ReportingAgent agent{ fleet, "vm" };
};

} // namespace

// Guards against running a done task again: all VMs lose power after its end
// was listed and before the coordinator has recorded it.
TEST_CASE("a recorded end is known to the coordinator after a loss of power")
{
  RecordedEnd end;
  end.entry.Kill();
  EntryProcess& next = end.fleet.Start("f", 2);
  end.fleet.Run(4s);
  REQUIRE(end.fleet.Holder() == "f");
  ReportingAgent other(end.fleet, "other");
  other.Connect(next);
  other.Run(25s);
  CHECK(other.starts.empty());
  CHECK(end.Phase(next) == ledger::JobPhase::Completed);
  CHECK(end.Kept() == 0);
}

// Guards against a coordinator that follows the records only until it leads.
TEST_CASE(
  "an end that is recorded while the coordinator leads completes a task")
{
  RecordedEnd end;
  end.entry.Thaw();
  end.fleet.Run(500ms);
  CHECK(end.Phase(end.entry) == ledger::JobPhase::Completed);
  end.fleet.Run(2s);
  CHECK(end.Kept() == 0);
}

// Guards against the loss of an end whose record a coordinator deletes although
// it cannot write the record of the step any more.
TEST_CASE("a coordinator whose step records are not durable deletes no ends")
{
  RecordedEnd end;
  end.entry.log.dropsJobAppends = true;
  end.entry.Thaw();
  end.fleet.Run(1500ms);
  CHECK(end.Kept() == 1);
  EntryProcess& next = end.fleet.Start("f", 2);
  end.fleet.Run(500ms);
  end.entry.Freeze();
  end.fleet.Run(4s);
  REQUIRE(end.fleet.Holder() == "f");
  CHECK(end.Phase(next) == ledger::JobPhase::Completed);
  // What the former leader still does has no effect on the job.
  end.entry.Thaw();
  end.fleet.Run(3s);
  CHECK(end.Phase(next) == ledger::JobPhase::Completed);
}

// Guards against the loss of an end by the deletion of a coordinator that was
// frozen and wakes up after its successor has begun.
TEST_CASE("a late deletion by a former coordinator loses no end")
{
  RecordedEnd end;
  const journal::KeyedRecord record =
    end.fleet.log.PartitionOf(kTopic).newest.begin()->second;
  end.entry.Thaw();
  end.fleet.Run(200ms);
  REQUIRE(end.Phase(end.entry) == ledger::JobPhase::Completed);
  REQUIRE(end.Kept() == 1);
  end.entry.Freeze();
  EntryProcess& next = end.fleet.Start("f", 2);
  SUBCASE("that comes before the successor's") {}
  SUBCASE("that comes after the successor's")
  {
    end.fleet.Run(6s);
    REQUIRE(end.Kept() == 0);
    // The agent had no answer to its append and repeats it.
    Append(end.fleet.log, { record.key, record.value });
  }
  end.fleet.Run(2s);
  end.entry.Thaw();
  end.fleet.Run(3s);
  REQUIRE(end.fleet.Holder() == "f");
  CHECK(end.Kept() == 0);
  ReportingAgent other(end.fleet, "other");
  other.Connect(next);
  other.Run(20s);
  CHECK(other.starts.empty());
  CHECK(end.Phase(next) == ledger::JobPhase::Completed);
}

// Guards against ends that are dropped since no dispatcher exists yet, and
// against a term that relies on a view from before it has fenced off others.
TEST_CASE("records are kept until the term begins and views are not")
{
  Term term(false);
  Append(term.log, MakeRecord(1));
  Append(term.log, MakeRecord(2));
  Append(term.log, { dispatch::EndRecordKey(MakeRecord(2)), {} });
  term.executor.Advance(200ms);
  Append(term.log, MakeRecord(3));
  term.executor.Advance(200ms);
  CHECK(term.read.empty());
  term.records->Begin();
  REQUIRE(term.read.size() == 2);
  CHECK(term.read[0].record == MakeRecord(1));
  CHECK(term.read[1].record == MakeRecord(3));
  term.executor.Advance(200ms);
  CHECK_FALSE(term.asOf.has_value());
  const base::TimePoint fenced = term.clock.Now();
  term.records->Confirm();
  term.executor.Advance(200ms);
  CHECK(term.asOf >= fenced);
}

// Guards against tasks that wait until the log is read for another reason.
TEST_CASE("a view that is wanted is confirmed once the log answers")
{
  Term term;
  REQUIRE(term.asOf.has_value());
  term.executor.Advance(1s);
  term.log.isDown = true;
  const base::TimePoint wanted = term.clock.Now();
  term.records->Confirm();
  term.executor.Advance(5s);
  CHECK(term.asOf < wanted);
  term.log.isDown = false;
  term.executor.Advance(200ms);
  CHECK(term.asOf >= wanted);
  const int reads = term.log.reads;
  term.executor.Advance(10s);
  CHECK(term.log.reads <= reads + 1);
}

// Guards against a read of the log for each of many starts that are refused.
TEST_CASE("views that are wanted in quick succession share reads")
{
  Term term;
  const int reads = term.log.reads;
  constexpr int kMilliseconds = 1000;
  for (int i = 0; i < kMilliseconds; ++i) {
    term.records->Confirm();
    term.executor.Advance(1ms);
  }
  CHECK(term.log.reads - reads <= kMilliseconds / 100 + 1);
  const base::TimePoint last = term.clock.Now();
  term.records->Confirm();
  term.executor.Advance(100ms);
  CHECK(term.asOf >= last);
}

// Guards against other writers whose entry takes the coordinator down, or is
// lost although a later version might understand it.
TEST_CASE("records that cannot be decoded are left alone")
{
  Term term;
  Append(term.log, { "odd", std::string(1000, '[') });
  Append(term.log, { std::string(200, 'k'), "{}" });
  Append(term.log, MakeRecord(1));
  term.executor.Advance(200ms);
  REQUIRE(term.read.size() == 1);
  term.records->Delete(term.read[0].id.offset);
  term.executor.Advance(5s);
  CHECK(term.Kept() == 2);
}

// Guards against an append for each record, which a slow log has no time for.
TEST_CASE("deletions share appends and are repeated until they are answered")
{
  Term term;
  for (std::uint64_t number = 1; number <= 20; ++number) {
    Append(term.log, MakeRecord(number));
  }
  term.executor.Advance(200ms);
  REQUIRE(term.read.size() == 20);
  const int appends = term.log.appends;
  for (const auto& each : term.read) {
    term.records->Delete(each.id.offset);
  }
  CHECK(term.log.appends == appends);
  SUBCASE("answered")
  {
    term.executor.Advance(1s);
    CHECK(term.log.appends == appends + 1);
  }
  SUBCASE("refused")
  {
    term.log.isDown = true;
    term.executor.Advance(20s);
    CHECK(term.log.appends > appends + 1);
    CHECK(term.log.appends < appends + 10);
    term.log.isDown = false;
    term.executor.Advance(31s);
  }
  SUBCASE("without an answer")
  {
    term.log.losesAnswers = true;
    term.executor.Advance(20s);
    // The records were read as deleted, so that nothing is left to repeat.
    CHECK(term.log.appends == appends + 1);
  }
  CHECK(term.Kept() == 0);
}

// Guards against the deletion of a record that was read but not handled yet.
TEST_CASE("a record that is appended again is deleted only as it is now")
{
  Term term;
  Append(term.log, MakeRecord(1));
  term.executor.Advance(200ms);
  REQUIRE(term.read.size() == 1);
  SUBCASE("before its deletion")
  {
    term.records->Delete(term.read[0].id.offset);
    Append(term.log, MakeRecord(1));
    term.executor.Advance(5s);
    CHECK(term.Kept() == 1);
  }
  SUBCASE("after its deletion")
  {
    term.records->Delete(term.read[0].id.offset);
    term.executor.Advance(2s);
    CHECK(term.Kept() == 0);
    Append(term.log, MakeRecord(1));
    term.executor.Advance(200ms);
  }
  REQUIRE(term.read.size() == 2);
  term.records->Delete(term.read[0].id.offset);
  term.executor.Advance(2s);
  CHECK(term.Kept() == 1);
  term.records->Delete(term.read[1].id.offset);
  term.executor.Advance(2s);
  CHECK(term.Kept() == 0);
}

// Guards against callbacks that reach the dispatcher of a term that is over.
TEST_CASE("a term that is over reads and deletes no records of ends")
{
  Term term;
  Append(term.log, MakeRecord(1));
  term.executor.Advance(200ms);
  REQUIRE(term.read.size() == 1);
  term.records->Delete(term.read[0].id.offset);
  term.records->Confirm();
  const auto asOf = term.asOf;
  term.records.reset();
  Append(term.log, MakeRecord(2));
  term.executor.Advance(20s);
  term.log.TimeOutWaitingReads();
  term.executor.Advance(1s);
  CHECK(term.read.size() == 1);
  CHECK(term.asOf == asOf);
  CHECK(term.Kept() == 2);
}

// Guards against records that the log has dropped before they were read, and
// deletions with them.
TEST_CASE("records are handled again after the log has dropped some")
{
  Term term;
  Append(term.log, MakeRecord(1));
  term.executor.Advance(200ms);
  REQUIRE(term.read.size() == 1);
  term.log.Compact(kTopic);
  term.executor.Advance(200ms);
  REQUIRE(term.read.size() == 2);
  CHECK(term.read[0].id.offset == term.read[1].id.offset);
  term.records->Delete(term.read[0].id.offset);
  term.executor.Advance(2s);
  CHECK(term.Kept() == 0);
}
