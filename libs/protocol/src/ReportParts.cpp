#include "amaranthwind/protocol/ReportParts.h"

#include <iterator>
#include <utility>

namespace amaranthwind::protocol {

namespace {

/** Encoded size of a run without the job's id and the checkpoint. */
constexpr std::size_t kRunBytes = 128;
/** Encoded size that the life of a past end adds, without the worker's id. */
constexpr std::size_t kLifeBytes = 64;

std::size_t
EncodedSize(const job::TaskRun& aRun, std::string_view aCheckpoint)
{
  return kRunBytes + aRun.task.step.job.View().size() + aCheckpoint.size();
}

template<typename T>
void
MoveTo(std::vector<T>& aFrom, std::vector<T>& aTo)
{
  aTo.insert(aTo.end(),
             std::make_move_iterator(aFrom.begin()),
             std::make_move_iterator(aFrom.end()));
  aFrom.clear();
}

} // namespace

std::vector<Message>
DivideReport(AgentReport aReport, std::size_t aMaxBytes)
{
  std::vector<Message> messages;
  AgentReportPart part{ aReport.sequence, {}, {}, {} };
  std::size_t bytes = 0;
  const auto makeRoom = [&](std::size_t aNeeded) {
    if (bytes > 0 && bytes + aNeeded > aMaxBytes) {
      messages.emplace_back(
        std::exchange(part, AgentReportPart{ aReport.sequence, {}, {}, {} }));
      bytes = 0;
    }
    bytes += aNeeded;
  };
  for (auto& each : aReport.report.running) {
    makeRoom(EncodedSize(each.run, each.checkpoint));
    part.running.push_back(std::move(each));
  }
  for (auto& each : aReport.report.ended) {
    makeRoom(EncodedSize(each.run, each.checkpoint));
    part.ended.push_back(std::move(each));
  }
  for (auto& each : aReport.report.pastEnds) {
    makeRoom(EncodedSize(each.end.run, each.end.checkpoint) + kLifeBytes +
             each.life.id.View().size());
    part.pastEnds.push_back(std::move(each));
  }
  aReport.report.running = std::move(part.running);
  aReport.report.ended = std::move(part.ended);
  aReport.report.pastEnds = std::move(part.pastEnds);
  aReport.parts = static_cast<std::uint32_t>(messages.size());
  messages.emplace_back(std::move(aReport));
  return messages;
}

std::size_t
ReportJoiner::Runs() const noexcept
{
  return this->running.size() + this->ended.size() + this->pastEnds.size();
}

bool
ReportJoiner::Add(const AgentReportPart& aPart)
{
  if (aPart.sequence != this->sequence) {
    *this = {};
    this->sequence = aPart.sequence;
  }
  if (this->Runs() + aPart.running.size() + aPart.ended.size() +
        aPart.pastEnds.size() >
      kMaxReportRuns) {
    return false;
  }
  ++this->parts;
  this->running.insert(
    this->running.end(), aPart.running.begin(), aPart.running.end());
  this->ended.insert(this->ended.end(), aPart.ended.begin(), aPart.ended.end());
  this->pastEnds.insert(
    this->pastEnds.end(), aPart.pastEnds.begin(), aPart.pastEnds.end());
  return true;
}

bool
ReportJoiner::Complete(AgentReport& aReport)
{
  ReportJoiner joined = std::exchange(*this, {});
  if (aReport.parts == 0) {
    return true;
  }
  if (joined.sequence != aReport.sequence || joined.parts != aReport.parts) {
    return false;
  }
  MoveTo(aReport.report.running, joined.running);
  MoveTo(aReport.report.ended, joined.ended);
  MoveTo(aReport.report.pastEnds, joined.pastEnds);
  aReport.report.running = std::move(joined.running);
  aReport.report.ended = std::move(joined.ended);
  aReport.report.pastEnds = std::move(joined.pastEnds);
  aReport.parts = 0;
  return true;
}

} // namespace amaranthwind::protocol
