#include "amaranthwind/codec/EndRecordCodec.h"

#include <doctest/doctest.h>

#include <string>

using namespace amaranthwind;
using namespace amaranthwind::codec;

namespace {

dispatch::EndRecord
MakeRecord()
{
  dispatch::EndRecord record;
  record.agent = base::AgentId("vm-1");
  record.life = { base::TargetId("w-1"), 1234 };
  record.ends = { { 7,
                    { { { base::JobId("job"), 2, 1 }, 30 }, 4 },
                    dispatch::EndKind::Done,
                    {} },
                  { 9,
                    { { { base::JobId("job"), 0, 0 }, 0 }, 1 },
                    dispatch::EndKind::Failed,
                    {} } };
  return record;
}

} // namespace

TEST_CASE("a record of ends round-trips without the checkpoints")
{
  dispatch::EndRecord record = MakeRecord();
  const std::string text = EncodeEndRecord(record);
  CHECK(DecodeEndRecord(text).value() == record);
  record.ends[0].checkpoint = "checkpoint";
  CHECK(EncodeEndRecord(record) == text);
}

// Guards against another writer whose entry takes the coordinator down.
TEST_CASE("a malformed record of ends is an error")
{
  dispatch::EndRecord record = MakeRecord();
  record.ends.clear();
  const std::string start = R"({"agent":"vm-1","worker":"w-1","born":1,)";
  const std::string texts[] = {
    "",
    "[]",
    "{}",
    EncodeEndRecord(record),
    start + R"("ends":[{}]})",
    start + R"("ends":[{"number":1,"task":"job","run":1,"kind":"done"}]})",
    start +
      R"("ends":[{"number":0,"task":"job.0.0.0","run":1,"kind":"done"}]})",
    start + R"("ends":[{"number":1,"task":"job.0.0.0","run":1,"kind":"x"}]})",
  };
  for (const auto& text : texts) {
    CAPTURE(text);
    CHECK(DecodeEndRecord(text).has_error());
  }
}

TEST_CASE("each record of ends has a key of its own")
{
  const dispatch::EndRecord record = MakeRecord();
  dispatch::EndRecord other = record;
  other.ends.pop_back();
  CHECK(dispatch::EndRecordKey(record) != dispatch::EndRecordKey(other));
  other = record;
  ++other.life.born;
  CHECK(dispatch::EndRecordKey(record) != dispatch::EndRecordKey(other));
}
