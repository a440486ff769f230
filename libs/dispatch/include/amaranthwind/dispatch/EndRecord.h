#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/dispatch/WorkerReport.h"
#include "amaranthwind/ledger/Records.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthwind::dispatch {

/** Log topic of the ends that agents record. */
inline constexpr std::string_view kEndTopic = "ends";

/**
 * Partitions that the records are spread over. A partition takes one append at
 * a time, so that the records of many agents in one would be late.
 */
inline constexpr std::uint32_t kEndPartitions = 8;

/** Limit of the ends in one record. */
inline constexpr std::size_t kMaxRecordedEnds = 512;

/**
 * Ends of one life of a worker, recorded by its agent because no coordinator
 * has acknowledged them in time. A record may be appended late or twice. It
 * stays in the log until a coordinator has made its ends durable in the records
 * of their steps. Checkpoints are left out.
 */
struct EndRecord
{
  base::AgentId agent;
  ledger::WorkerIncarnation life;
  /** In the order of their numbers; not empty. */
  std::vector<EndedTask> ends;

  bool operator==(const EndRecord&) const = default;
};

/** Identifies a record as it was read. */
struct EndRecordId
{
  std::uint32_t partition = 0;
  base::LogOffset offset;

  auto operator<=>(const EndRecordId&) const = default;
};

/** Partition of the records of an agent, below kEndPartitions. */
std::uint32_t
EndPartitionOf(const base::AgentId& aAgent) noexcept;

/** Key of the record in its topic; no other record of the topic has the same.
 */
std::string
EndRecordKey(const EndRecord& aRecord);

} // namespace amaranthwind::dispatch
