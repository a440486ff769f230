#pragma once

#include "amaranthwind/base/StrongId.h"

namespace amaranthwind::base {

/** A client account: the customer that holds guarantees. */
using AccountId = StrongId<struct AccountTag>;
/** One caller inside a client account. */
using CallerId = StrongId<struct CallerTag>;
/** A kind of work, for example "quote-check". */
using WorkKindId = StrongId<struct WorkKindTag>;
/** Workers that serve the same kinds of work. */
using PoolId = StrongId<struct PoolTag>;
/** A daemon on the VM of a worker. */
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
/** Name of a stream of the log service. */
using StreamId = StrongId<struct StreamTag>;
/** Key chosen by a caller; equal keys mean the same request. */
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;

/** Position of a record in a stream; the first record has offset 0. */
using LogOffset = StrongNumber<struct LogOffsetTag>;
/**
 * Offset of the epoch record that made its writer the coordinator of a cell.
 * Receivers refuse a token lower than the highest that they have seen.
 */
using FencingToken = StrongNumber<struct FencingTokenTag>;
/** Attempt number of a gang job; the first attempt is 1. */
using Attempt = StrongNumber<struct AttemptTag, std::uint32_t>;
/** Number of accepted release notes; 0 before the first one. */
using PolicyVersion = StrongNumber<struct PolicyVersionTag>;
/** Changes each time a daemon starts, so that a restart is visible to peers. */
using Incarnation = StrongNumber<struct IncarnationTag>;

} // namespace amaranthwind::base
