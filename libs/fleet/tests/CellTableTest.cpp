#include "amaranthwind/fleet/CellTable.h"

#include <doctest/doctest.h>

#include <string>

using namespace amaranthwind;
using namespace amaranthwind::fleet;

namespace {

Target
MakeWorker(int aWorker, std::string_view aRack)
{
  Target target;
  target.id = base::TargetId("w" + std::to_string(aWorker));
  target.kind = TargetKind::Worker;
  target.rack = base::RackId(aRack);
  return target;
}

} // namespace

// Guards against two workers on one position of a rack.
TEST_CASE("a rack with more workers than a row holds takes another row")
{
  CellTable cell;
  for (int worker = 0; worker < 70; ++worker) {
    cell.Put(MakeWorker(worker, "r"));
  }
  REQUIRE(cell.Racks().size() == 2);
  CHECK(cell.Racks()[0].occupied == ~std::uint64_t{ 0 });
  CHECK(cell.Racks()[1].occupied == 0x3F);
  CHECK(cell.Racks()[1].id == cell.Racks()[0].id);
}

// Guards against a table that grows with every replaced VM, and against a
// position that stays taken.
TEST_CASE("a forgotten worker leaves its row and its position to another")
{
  CellTable cell;
  const WorkerIndex first = cell.Put(MakeWorker(0, "r"));
  cell.Put(MakeWorker(1, "r"));
  cell.SetPresence(first, WorkerPresence::Lost, base::TimePoint{});
  CHECK(cell.Find(base::TargetId("w0")) == first);
  cell.Remove(first);
  CHECK_FALSE(cell.Find(base::TargetId("w0")).has_value());
  CHECK(cell.Put(MakeWorker(2, "r")) == first);
  CHECK(cell.Worker(first).rackPosition == RackPosition{ 0, 0 });
  CHECK(cell.Workers().size() == 2);
}

// Guards against a worker that is filed in the rack that it has left.
TEST_CASE("a worker that comes back in another rack moves there")
{
  CellTable cell;
  const WorkerIndex worker = cell.FindOrAddLost(base::TargetId("w0"), {});
  CHECK(cell.Worker(worker).presence == WorkerPresence::Lost);
  CHECK(cell.Put(MakeWorker(0, "r")) == worker);
  CHECK(cell.Worker(worker).presence == WorkerPresence::Present);
  CHECK(cell.Racks()[cell.Worker(worker).rackPosition.rack].id ==
        base::RackId("r"));
  CHECK(cell.Racks()[0].occupied == 0);
}
