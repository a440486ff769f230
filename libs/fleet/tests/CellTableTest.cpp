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

// Guards against two workers being assigned the same rack position when a rack
// holds more workers than one row has positions.
TEST_CASE("a rack with more workers than one row holds spans two rows")
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

// Guards against the table growing with every replaced VM, and against rack
// positions that stay occupied after their worker was removed.
TEST_CASE("the row and rack position of a removed worker are reused")
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

// Guards against a worker staying listed in its previous rack when it registers
// again from another one.
TEST_CASE("a worker that registers again from another rack moves there")
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
