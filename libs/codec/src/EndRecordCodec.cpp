#include "amaranthwind/codec/EndRecordCodec.h"

#include "JsonReader.h"
#include "JsonWriter.h"

#include <boost/json/serialize.hpp>

#include <array>
#include <utility>

namespace amaranthwind::codec {

using dispatch::EndKind;

namespace {

constexpr std::array<EnumName<EndKind>, 6> kEndKindNames{
  { { EndKind::Done, "done" },
    { EndKind::Failed, "failed" },
    { EndKind::Stopped, "stopped" },
    { EndKind::Lapsed, "lapsed" },
    { EndKind::Broken, "broken" },
    { EndKind::Alone, "alone" } }
};

} // namespace

static void
Read(const ValueReader& aReader, dispatch::EndedTask& aOut)
{
  ObjectReader object(aReader);
  object.Required("number", Bounded<std::uint64_t>{ aOut.number, 1 });
  std::string task;
  object.Required("task", task);
  object.Required("run", Bounded<std::uint32_t>{ aOut.run.run, 1 });
  object.Required("kind", Enum<EndKind>{ aOut.kind, kEndKindNames });
  object.Finish();
  auto id = job::ParseTaskId(task);
  if (id.has_error()) {
    aReader.FailAt(id.error().code, "task");
    return;
  }
  aOut.run.task = std::move(id.value());
}

static void
Read(const ValueReader& aReader, dispatch::EndRecord& aOut)
{
  ObjectReader object(aReader);
  object.Required("agent", BoundedId<base::AgentTag>{ aOut.agent });
  object.Required("worker", BoundedId<base::TargetTag>{ aOut.life.id });
  object.Required("born", aOut.life.born);
  object.Required("ends", aOut.ends);
  object.Finish();
  if (aOut.ends.empty() || aOut.ends.size() > dispatch::kMaxRecordedEnds) {
    aReader.FailAt(base::ErrorCode::OutOfRange, "ends");
  }
}

std::string
EncodeEndRecord(const dispatch::EndRecord& aRecord)
{
  boost::json::array ends;
  for (const auto& end : aRecord.ends) {
    ends.push_back(boost::json::object{
      { "number", end.number },
      { "task", ToText(std::string_view(job::ToText(end.run.task))) },
      { "run", end.run.run },
      { "kind", ToText<EndKind>(end.kind, kEndKindNames) },
    });
  }
  return boost::json::serialize(boost::json::object{
    { "agent", ToText(aRecord.agent) },
    { "worker", ToText(aRecord.life.id) },
    { "born", aRecord.life.born },
    { "ends", std::move(ends) },
  });
}

base::Result<dispatch::EndRecord>
DecodeEndRecord(std::string_view aText)
{
  return DecodeDocument<dispatch::EndRecord>(aText);
}

} // namespace amaranthwind::codec
