#pragma once

#include "amaranthwind/base/StrongId.h"

namespace amaranthwind::base {

/** A client account: a customer with guaranteed accelerators. */
using AccountId = StrongId<struct AccountTag>;
/** A caller within a client account. */
using CallerId = StrongId<struct CallerTag>;
/** A kind of work, for example "quote-check". */
using WorkKindId = StrongId<struct WorkKindTag>;
/** A pool of workers that serve the same kinds of work. */
using PoolId = StrongId<struct PoolTag>;
/** The daemon on a worker's VM. */
using AgentId = StrongId<struct AgentTag>;
/** A target: an executor or a worker. */
using TargetId = StrongId<struct TargetTag>;
/** An entry daemon. */
using EntryId = StrongId<struct EntryTag>;
using RegionId = StrongId<struct RegionTag>;
/** An availability zone. */
using ZoneId = StrongId<struct ZoneTag>;
using RackId = StrongId<struct RackTag>;
using JobId = StrongId<struct JobTag>;
/** Unique id of a log record: 32 lower-case hexadecimal digits. */
using RecordId = StrongId<struct RecordTag>;
/** A stream of the log service. */
using StreamId = StrongId<struct StreamTag>;
/** Chosen by the caller; requests with equal keys are the same request. */
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;

/** Position of a record in a stream; the first record has offset 0. */
using LogOffset = StrongNumber<struct LogOffsetTag>;
/**
 * Offset of the epoch record that made its writer the coordinator of a cell.
 * Receivers reject any token lower than the highest one they have seen.
 */
using FencingToken = StrongNumber<struct FencingTokenTag>;
/** Attempt number of a gang job, starting at 1. */
using Attempt = StrongNumber<struct AttemptTag, std::uint32_t>;
/** Number of accepted release notes; 0 before the first one. */
using PolicyVersion = StrongNumber<struct PolicyVersionTag>;
/** Changes on each start of a daemon, so that peers can detect a restart. */
using Incarnation = StrongNumber<struct IncarnationTag>;

} // namespace amaranthwind::base
