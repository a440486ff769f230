#pragma once

#include "amaranthwind/protocol/Messages.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace amaranthwind::protocol {

/** Usual limit of the size of one message of a report. */
inline constexpr std::size_t kMaxReportBytes = std::size_t{ 256 } * 1024;

/**
 * Divides a report with many runs into messages of limited size: any number of
 * AgentReportPart, then one AgentReport.
 */
std::vector<Message>
DivideReport(AgentReport aReport, std::size_t aMaxBytes = kMaxReportBytes);

/** Runs that all parts of a report may name; more than a worker ever has. */
inline constexpr std::size_t kMaxReportRuns = 65'536;

/** Joins the parts of the reports on one connection. */
class ReportJoiner
{
public:
  /** Returns false if the report names more than kMaxReportRuns. */
  bool Add(const AgentReportPart& aPart);
  /** Number of the runs that the parts have named so far. */
  std::size_t Runs() const noexcept;
  /**
   * Adds the parts that preceded the report to it. Returns false if one is
   * missing; the report is then incomplete and must be ignored.
   */
  bool Complete(AgentReport& aReport);

private:
  std::uint64_t sequence = 0;
  std::uint32_t parts = 0;
  std::vector<dispatch::RunningTask> running;
  std::vector<dispatch::EndedTask> ended;
  std::vector<dispatch::PastEnd> pastEnds;
};

} // namespace amaranthwind::protocol
