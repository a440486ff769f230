#include "DecodedSize.h"

namespace amaranthwind::protocol {

namespace {

/** Of an element of a list: its offset and that of its type. */
constexpr std::size_t kElementBytes = 8;

std::size_t
SizeOf(const flatbuffers::String* aText)
{
  return aText == nullptr ? 0 : aText->size();
}

std::size_t
SizeOf(const wire::Run* aRun)
{
  return aRun == nullptr ? 0 : kElementBytes + SizeOf(aRun->task());
}

std::size_t
SizeOf(const wire::Life* aLife)
{
  return aLife == nullptr ? 0 : SizeOf(aLife->worker());
}

std::size_t
SizeOf(const wire::EntryInfo* aEntry)
{
  return SizeOf(aEntry->id()) + SizeOf(aEntry->address());
}

std::size_t
SizeOf(const wire::CellInfo* aCell)
{
  return SizeOf(aCell->zone()) + SizeOf(aCell->coordinator()) +
         SizeOf(aCell->address());
}

std::size_t
SizeOf(const wire::GangMember* aMember)
{
  return SizeOf(aMember->worker()) + SizeOf(aMember->address());
}

std::size_t
SizeOf(const wire::RunningTask* aTask)
{
  return SizeOf(aTask->run()) + SizeOf(aTask->checkpoint());
}

std::size_t
SizeOf(const wire::EndedTask* aEnd)
{
  return aEnd == nullptr ? 0 : SizeOf(aEnd->run()) + SizeOf(aEnd->checkpoint());
}

std::size_t
SizeOf(const wire::PastEnd* aEnd)
{
  return SizeOf(aEnd->life()) + SizeOf(aEnd->end());
}

template<typename T>
std::size_t
SizeOf(const flatbuffers::Vector<flatbuffers::Offset<T>>* aList);

std::size_t
SizeOf(const wire::HeldGang* aGang)
{
  return (aGang->key() == nullptr ? 0 : SizeOf(aGang->key()->job())) +
         SizeOf(aGang->members());
}

template<typename T>
std::size_t
SizeOf(const flatbuffers::Vector<flatbuffers::Offset<T>>* aList)
{
  std::size_t bytes = 0;
  if (aList != nullptr) {
    for (const auto* each : *aList) {
      bytes += kElementBytes + SizeOf(each);
    }
  }
  return bytes;
}

template<typename Report>
std::size_t
SizeOfRuns(const Report& aReport)
{
  return SizeOf(aReport.running()) + SizeOf(aReport.ended()) +
         SizeOf(aReport.past_ends());
}

} // namespace

std::size_t
EncodedListBytes(const wire::Envelope& aEnvelope)
{
  switch (aEnvelope.body_type()) {
    case wire::Body::Topology: {
      const auto& topology = *aEnvelope.body_as_Topology();
      return SizeOf(topology.entries()) + SizeOf(topology.cells());
    }
    case wire::Body::Prepare:
      return SizeOf(aEnvelope.body_as_Prepare()->members());
    case wire::Body::GangReport:
      return SizeOf(aEnvelope.body_as_GangReport()->gangs());
    case wire::Body::AgentReport: {
      const auto& report = *aEnvelope.body_as_AgentReport();
      const auto* worker = report.worker();
      return SizeOfRuns(report) +
             (worker == nullptr ? 0 : SizeOf(worker->labels()));
    }
    case wire::Body::AgentReportPart:
      return SizeOfRuns(*aEnvelope.body_as_AgentReportPart());
    default:
      return 0;
  }
}

} // namespace amaranthwind::protocol
