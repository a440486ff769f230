#include "amaranthwind/telemetry/StateDump.h"

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/base/RcuCell.h"

#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <limits>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace amaranthwind;
using namespace amaranthwind::telemetry;

namespace {

class FunctionSource final : public DumpSource
{
public:
  FunctionSource(std::string aName, std::function<void(DumpWriter&)> aWrite)
    : name(std::move(aName))
    , write(std::move(aWrite))
  {
  }
  std::string_view DumpName() const noexcept override { return this->name; }
  void WriteDump(DumpWriter& aWriter) const override { this->write(aWriter); }

private:
  std::string name;
  std::function<void(DumpWriter&)> write;
};

std::shared_ptr<DumpSource>
Source(std::string aName, std::function<void(DumpWriter&)> aWrite)
{
  return std::make_shared<FunctionSource>(std::move(aName), std::move(aWrite));
}

void
WriteManyRows(DumpWriter& aWriter)
{
  aWriter.Table("numbers", { "n" });
  for (int i = 0; i < 100'000; ++i) {
    aWriter.Row({ i });
  }
}

} // namespace

// Guards against a dump that is not valid JSON.
TEST_CASE("a dump contains the values and tables of every source")
{
  StateDump dump("entry \"1\"");
  CHECK(dump.Render() == R"({"process":"entry \"1\"","sections":[]})");
  dump.Add(Source("routing", [](DumpWriter& aWriter) {
    aWriter.Value("offset", base::LogOffset(7));
    aWriter.Value("ready", true);
    aWriter.Value("share", 0.25);
    aWriter.Value("none", std::numeric_limits<double>::infinity());
    aWriter.Table("targets", { "id", "load" });
    aWriter.Row({ base::TargetId("w\n\xFF"), -1 });
    aWriter.Row({ "w2", 2U });
    aWriter.Table("empty", { "x" });
  }));
  dump.Add(Source("gang", [](DumpWriter&) {}));
  CHECK(dump.Render() ==
        R"({"process":"entry \"1\"","sections":[{"name":"routing",)"
        R"("values":)"
        R"({"offset":7,"ready":true,"share":0.25,"none":null},"tables":)"
        R"({"targets":{"columns":["id","load"],"rows":)"
        "[[\"w\\u000a\uFFFD\",-1],[\"w2\",2]]},"
        R"("empty":{"columns":["x"],"rows":[]}},"truncated":false},)"
        R"({"name":"gang","values":{},"tables":{},"truncated":false}]})");
}

// Guards against a dump exhausting the memory of an overloaded process, and
// against one large source using the space of the others.
TEST_CASE("the size of a dump is bounded and divided among its sources")
{
  constexpr std::size_t kBound = 2000;
  StateDump dump("p", kBound);
  dump.Add(Source("large", WriteManyRows));
  dump.Add(
    Source("late", [](DumpWriter& aWriter) { aWriter.Value("seen", true); }));
  const std::string text = dump.Render();
  CHECK(text.size() < kBound + 300);
  CHECK(text.find(R"([0],[1],[2])") != std::string::npos);
  CHECK(text.find(R"(]}},"truncated":true})") != std::string::npos);
  CHECK(text.find(R"("seen":true)") != std::string::npos);
}

// Guards against a failing source hiding the state of the others.
TEST_CASE(
  "a source that throws or writes an invalid row does not corrupt the dump")
{
  StateDump dump("p");
  dump.Add(Source("bad", [](DumpWriter& aWriter) {
    aWriter.Value("before", 1);
    throw std::runtime_error("broken");
  }));
  dump.Add(Source("short", [](DumpWriter& aWriter) {
    aWriter.Table("t", { "a", "b" });
    aWriter.Row({ 1 });
  }));
  CHECK(
    dump.Render() ==
    R"({"process":"p","sections":[{"name":"bad",)"
    R"("values":{"before":1},"tables":{},"truncated":false,)"
    R"("error":"broken"},{"name":"short","values":{},"tables":{"t":{"columns":["a","b"],"rows":[]}},)"
    R"("truncated":true}]})");
}

// Guards against blocking on, or data races with, threads that update the
// state.
TEST_CASE("a dump is rendered while the state is updated")
{
  auto state = std::make_shared<base::RcuCell<std::pair<int, int>>>(
    std::make_unique<const std::pair<int, int>>(0, 0));
  StateDump dump("p");
  dump.Add(Source("state", [state](DumpWriter& aWriter) {
    const std::pair<int, int> copy = *state->Read();
    aWriter.Value("sum", copy.first + copy.second);
  }));
  std::atomic<bool> isDone{ false };
  std::thread writer([&] {
    for (int i = 1; i <= 200; ++i) {
      state->Publish(std::make_unique<const std::pair<int, int>>(i, -i));
      if (i % 50 == 0) {
        dump.Add(Source("late", [](DumpWriter&) {}));
      }
    }
    isDone = true;
  });
  do {
    CHECK(dump.Render().find(R"({"sum":0})") != std::string::npos);
  } while (!isDone);
  writer.join();
  CHECK(dump.Render().find(R"("late")") != std::string::npos);
}
