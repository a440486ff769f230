#include "amaranthwind/membership/CoordinatorElection.h"

#include "amaranthwind/base/ManualClock.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <set>

using namespace amaranthwind;
using namespace amaranthwind::membership;
using namespace std::chrono_literals;
using base::EntryId;

namespace {

const base::ZoneId kZone("z1");

/** Simulates the entries of one cell and a log of epochs on a manual clock. */
struct Cell
{
  struct Node
  {
    EntryId id;
    CoordinatorElection election;
    std::size_t read = 0;
    bool isAlive = true;
    bool isPaused = false;
    bool isReading = true;
    std::vector<StopReason> stops{};

    bool IsRunning() const { return this->isAlive && !this->isPaused; }
  };

  base::ManualClock clock;
  std::vector<EntryId> epochs;
  std::deque<Node> nodes;
  bool isLogDown = false;
  /** Appends succeed, but their confirmations are lost. */
  bool areConfirmationsLost = false;
  std::size_t appendCalls = 0;

  explicit Cell(std::size_t aCount)
  {
    std::vector<EntryId> ids;
    for (std::size_t i = 0; i < aCount; ++i) {
      ids.emplace_back("e" + std::to_string(i));
    }
    for (const EntryId& id : RendezvousOrder(kZone, ids)) {
      this->nodes.push_back(
        { id, CoordinatorElection(kZone, id, this->clock.Now()) });
    }
    this->UpdateMembership();
  }

  /** Reports the live entries to all nodes, as membership eventually does. */
  void UpdateMembership()
  {
    std::vector<EntryId> live;
    for (const Node& node : this->nodes) {
      if (node.IsRunning()) {
        live.push_back(node.id);
      }
    }
    for (Node& node : this->nodes) {
      if (node.IsRunning()) {
        this->Apply(node, node.election.OnEntries(live, this->clock.Now()));
      }
    }
  }

  void Apply(Node& aNode, const ElectionEffects& aEffects)
  {
    for (const ElectionEffect& effect : aEffects) {
      if (const auto* const stop = std::get_if<StopActing>(&effect)) {
        aNode.stops.push_back(stop->reason);
      } else if (std::holds_alternative<AppendEpoch>(effect)) {
        this->Append(aNode);
      }
    }
  }

  void Append(Node& aNode)
  {
    ++this->appendCalls;
    base::Result<base::FencingToken> result =
      base::Fail(base::ErrorCode::LogUnavailable);
    if (!this->isLogDown) {
      this->epochs.push_back(aNode.id);
      result = base::FencingToken(this->epochs.size() - 1);
    }
    if (this->areConfirmationsLost) {
      result = base::Fail(base::ErrorCode::AppendUnconfirmed);
    }
    this->Apply(aNode,
                aNode.election.OnEpochAppended(result, this->clock.Now()));
  }

  void Read(Node& aNode)
  {
    if (this->isLogDown || !aNode.isReading) {
      return;
    }
    while (aNode.read < this->epochs.size()) {
      const std::size_t offset = aNode.read++;
      this->Apply(aNode,
                  aNode.election.OnEpoch(base::FencingToken(offset),
                                         this->epochs[offset],
                                         this->clock.Now()));
    }
    this->Apply(aNode, aNode.election.OnCaughtUp(this->clock.Now()));
  }

  void AdvanceTime(base::Duration aTime)
  {
    for (base::Duration passed{}; passed < aTime; passed += 250ms) {
      this->clock.Advance(250ms);
      for (Node& node : this->nodes) {
        if (node.IsRunning()) {
          this->Read(node);
          this->Apply(node, node.election.OnTick(this->clock.Now()));
        }
      }
    }
  }

  /** Indexes, in rendezvous order, of the entries that act as coordinator. */
  std::vector<std::size_t> Acting() const
  {
    std::vector<std::size_t> acting;
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      if (this->nodes[i].isAlive && this->nodes[i].election.IsActing()) {
        acting.push_back(i);
      }
    }
    return acting;
  }
};

/** A cell whose first entry in rendezvous order is the coordinator. */
struct SettledCell : Cell
{
  explicit SettledCell(std::size_t aCount)
    : Cell(aCount)
  {
    this->AdvanceTime(4s);
    REQUIRE(this->Acting() == std::vector<std::size_t>{ 0 });
    REQUIRE(this->epochs.size() == 1);
  }
};

using Indexes = std::vector<std::size_t>;

} // namespace

// Guards against all cells being assigned to one entry, and against entries
// that compute different orders.
TEST_CASE("the rendezvous order spreads cells and ignores the order of input")
{
  const std::vector<EntryId> ids{ EntryId("e0"), EntryId("e1"), EntryId("e2") };
  const std::vector<EntryId> reversed(ids.rbegin(), ids.rend());
  std::set<EntryId> first;
  for (int i = 0; i < 20; ++i) {
    const base::ZoneId zone("z" + std::to_string(i));
    CHECK(RendezvousOrder(zone, ids) == RendezvousOrder(zone, reversed));
    first.insert(RendezvousOrder(zone, ids).front());
  }
  CHECK(first.size() == 3);
}

// Guards against a cell that has no coordinator after a crash, and against an
// unnecessary race of all entries.
TEST_CASE("the next in order takes over 3 s after the coordinator is gone")
{
  SettledCell cell(4);
  cell.nodes[0].isAlive = false;
  cell.UpdateMembership();
  cell.AdvanceTime(2750ms);
  CHECK(cell.Acting().empty());
  cell.AdvanceTime(500ms);
  CHECK(cell.Acting() == Indexes{ 1 });
  cell.AdvanceTime(1min);
  CHECK(cell.epochs.size() == 2);
}

// Guards against a planned shutdown that leaves the cell vacant for 3 s.
TEST_CASE("an announced handover takes effect immediately")
{
  SettledCell cell(3);
  Cell::Node& leaving = cell.nodes[0];
  cell.Apply(leaving, leaving.election.HandOver(cell.clock.Now()));
  CHECK(leaving.stops == std::vector{ StopReason::HandedOver });
  CHECK(leaving.election.Successor() == cell.nodes[1].id);
  // A handover with another token or from another entry is ignored.
  const auto handOver = [&](const EntryId& aFrom, std::uint64_t aToken) {
    Cell::Node& next = cell.nodes[1];
    const base::FencingToken token(aToken);
    cell.Apply(next, next.election.OnHandOver(aFrom, token, cell.clock.Now()));
    return cell.epochs.size();
  };
  CHECK(handOver(leaving.id, 7) == 1);
  CHECK(handOver(cell.nodes[2].id, 0) == 1);
  CHECK(handOver(leaving.id, 0) == 2);
  cell.AdvanceTime(250ms);
  CHECK(cell.Acting() == Indexes{ 1 });
  cell.AdvanceTime(1min);
  CHECK(cell.Acting() == Indexes{ 1 });
}

// Guards against a coordinator that steps down or is replaced during a log
// outage of several hours, and against a burst of appends when the log returns.
TEST_CASE("the coordinator keeps its role during an outage of the log")
{
  SettledCell cell(3);
  cell.isLogDown = true;
  cell.AdvanceTime(5h);
  CHECK(cell.Acting() == Indexes{ 0 });
  CHECK(cell.appendCalls == 1);

  cell.nodes[0].isAlive = false;
  cell.UpdateMembership();
  cell.AdvanceTime(1h);
  CHECK(cell.Acting().empty());
  // Each of two entries retries once per second.
  CHECK(cell.appendCalls <= 2 * 3600);
  cell.isLogDown = false;
  cell.AdvanceTime(3s);
  CHECK(cell.Acting().size() == 1);
  CHECK(cell.epochs.size() <= 3);
}

// Guards against two coordinators after a pause. The former coordinator either
// reads the newer epoch from the log or is first rejected by a target.
TEST_CASE("a coordinator that was paused stops acting")
{
  for (const bool isTargetFirst : { false, true }) {
    CAPTURE(isTargetFirst);
    SettledCell cell(3);
    Cell::Node& former = cell.nodes[0];
    former.isPaused = true;
    cell.UpdateMembership();
    cell.AdvanceTime(1h);
    CHECK(cell.Acting() == Indexes{ 0, 1 });
    former.isPaused = false;
    const base::TimePoint now = cell.clock.Now();
    cell.Apply(former,
               isTargetFirst
                 ? former.election.OnStaleToken(base::FencingToken(0), now)
                 : former.election.OnTick(now));
    CHECK(former.stops == std::vector{ isTargetFirst ? StopReason::StaleToken
                                                     : StopReason::Paused });
    cell.UpdateMembership();
    cell.AdvanceTime(1min);
    CHECK(cell.Acting() == Indexes{ 1 });
    CHECK(cell.epochs.size() == 2);
  }
}

// Guards against a coordinator that never acts again after a mere pause.
TEST_CASE("a paused coordinator that was not replaced resumes")
{
  SettledCell cell(1);
  cell.clock.Advance(1h);
  cell.AdvanceTime(500ms);
  CHECK(cell.nodes[0].stops == std::vector{ StopReason::Paused });
  CHECK(cell.Acting() == Indexes{ 0 });
  CHECK(cell.epochs.size() == 1);
}

// Guards against a race that results in two coordinators or none.
TEST_CASE("of two competing coordinators the one with the newer epoch remains")
{
  SettledCell cell(3);
  cell.nodes[0].isAlive = false;
  cell.UpdateMembership();
  // The second entry does not read and thus misses the epoch of the first.
  cell.nodes[2].isReading = false;
  cell.AdvanceTime(4s);
  CHECK(cell.epochs.size() == 3);
  cell.nodes[2].isReading = true;
  cell.AdvanceTime(500ms);
  CHECK(cell.Acting() == Indexes{ 2 });
  CHECK(cell.nodes[1].stops == std::vector{ StopReason::NewerEpoch });
  cell.AdvanceTime(1min);
  CHECK(cell.epochs.size() == 3);
}

// Guards against a cell that stays without a coordinator because the writer of
// the newest epoch was restarted or does not know that its append succeeded.
TEST_CASE("an unaware holder of the newest epoch takes over again")
{
  SettledCell cell(2);
  Cell::Node& node = cell.nodes[0];
  SUBCASE("restarted with the same id")
  {
    node.election = CoordinatorElection(kZone, node.id, cell.clock.Now());
    node.read = 0;
    cell.UpdateMembership();
    cell.AdvanceTime(500ms);
  }
  SUBCASE("response to the append lost")
  {
    node.isAlive = false;
    cell.areConfirmationsLost = true;
    cell.UpdateMembership();
    cell.AdvanceTime(4s);
    CHECK(cell.Acting().empty());
    cell.areConfirmationsLost = false;
    cell.AdvanceTime(5s);
  }
  CHECK(cell.Acting().size() == 1);
}

// Guards against a takeover from a healthy coordinator by an entry that started
// after the epoch record had expired.
TEST_CASE("a peer names the coordinator when its epoch record has expired")
{
  base::ManualClock clock;
  CoordinatorElection election(kZone, EntryId("e1"), clock.Now());
  const std::vector<EntryId> live{ EntryId("e1"), EntryId("e2") };
  election.OnEntries(live, clock.Now());
  election.OnEpoch(base::FencingToken(7), EntryId(), clock.Now());
  election.OnCaughtUp(clock.Now());
  election.OnCoordinatorReported(
    base::FencingToken(7), EntryId("e2"), clock.Now());
  for (int i = 0; i < 100; ++i) {
    clock.Advance(250ms);
    CHECK(election.OnTick(clock.Now()).empty());
  }
  CHECK(election.Coordinator() == EntryId("e2"));
}
