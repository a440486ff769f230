#pragma once

#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Error.h"
#include "amaranthwind/base/Ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace amaranthwind::requests {

/**
 * Identifies one request. Idempotency keys are scoped to an account: callers of
 * different accounts may choose equal keys.
 */
struct RequestKey
{
  base::AccountId account;
  base::IdempotencyKey key;

  auto operator<=>(const RequestKey&) const = default;
};

/**
 * Identifies one copy of a request that waits for the answer; assigned by the
 * caller of IdempotencyTable.
 */
using Ticket = base::StrongNumber<struct TicketTag>;

struct Request
{
  RequestKey key;
  /** Hash of the request's kind and body. */
  std::uint64_t fingerprint = 0;
  bool isIdempotent = false;
  /** Attempt number; 0 for a request that was not sent before. */
  std::uint32_t attempt = 0;
};

struct StoredResponse
{
  std::uint32_t status = 0;
  std::vector<std::byte> body;

  bool operator==(const StoredResponse&) const = default;
};

enum class AdmissionResult : std::uint8_t
{
  Claim,        // Record a claim on the witness, then call OnClaimReply().
  Queue,        // Call Start() when a slot is free.
  RunUntracked, // Idempotent, and the table is full: run without recording.
  Wait,         // Another copy is pending; Finish() returns this ticket.
  Replay,       // Already ran; return the stored answer.
  NotRun,       // Has not run, and this attempt will not run.
  Unknown,      // May have run.
  KeyReused,    // The key was used for a different request.
};

struct Decision
{
  AdmissionResult admissionResult = AdmissionResult::Unknown;
  /** Set for Replay. */
  std::shared_ptr<const StoredResponse> answer;
  /** Set for NotRun, Unknown and KeyReused. */
  std::optional<base::Error> reason;
  /** The copies that waited, including the first one; all get this decision. */
  std::vector<Ticket> tickets;
};

/**
 * Sent to the witness before a non-idempotent request runs, so that a second
 * target records the key.
 */
struct Claim
{
  RequestKey key;
  std::uint64_t fingerprint = 0;
  std::uint32_t attempt = 0;
  base::TargetId holder;
  base::Incarnation incarnation;
};

enum class ClaimResult : std::uint8_t
{
  Granted,
  Held,     // Claimed by another target or by an earlier incarnation.
  Answered, // Already ran; the answer is set if it was stored.
  NotRun,   // This attempt was refused earlier.
  KeyReused,
  Full,
  NoWitness, // There is no other target.
  Unreachable,
};

struct ClaimReply
{
  ClaimResult result = ClaimResult::Unreachable;
  /** The witness has recorded every key for the whole key window. */
  bool hasCompleteHistory = false;
  std::shared_ptr<const StoredResponse> answer;
};

struct IdempotencyTableSettings
{
  /** How long a key is kept: three times the longest retry horizon. */
  base::Duration keyWindow = std::chrono::minutes(30);
  std::size_t maxKeys = 65536;
  /** Limit for keys and answers together; a daemon may use 64 MB in total. */
  std::size_t maxBytes = 24U << 20U;
};

/**
 * Deduplication table of one target: the idempotency keys that the target has
 * admitted, refused or holds as witness for another target, and the stored
 * answers. A key expires one key window after its last event.
 *
 * When the table is full, completed idempotent requests are evicted first, as
 * they may safely run again. If that is not enough, new non-idempotent requests
 * are refused; no other key is evicted before it expires.
 *
 * Not thread-safe. The times passed to successive calls must not decrease.
 */
class IdempotencyTable
{
public:
  IdempotencyTable(base::TimePoint aStartedAt,
                   IdempotencyTableSettings aSettings = {});
  ~IdempotencyTable();
  IdempotencyTable(IdempotencyTable&&) noexcept;
  IdempotencyTable& operator=(IdempotencyTable&&) noexcept;

  /** Decides what to do with a request. Every call needs a new ticket. */
  Decision Admit(base::TimePoint aNow, const Request& aRequest, Ticket aTicket);

  /** Handles the witness's reply to a claim. aLostTargets: see RunEvidence. */
  Decision OnClaimReply(base::TimePoint aNow,
                        const RequestKey& aKey,
                        const ClaimReply& aReply,
                        std::uint32_t aLostTargets);

  /** Marks a queued request as running. Returns false if it must not run. */
  bool Start(const RequestKey& aKey);

  /**
   * Stores the answer. Returns the tickets that wait for it; none if the
   * request was already answered.
   */
  std::vector<Ticket> Finish(base::TimePoint aNow,
                             const RequestKey& aKey,
                             std::uint32_t aStatus,
                             std::span<const std::byte> aBody);

  /** Records that the executor failed and the outcome is unknown. */
  std::vector<Ticket> FinishUnknown(base::TimePoint aNow,
                                    const RequestKey& aKey);

  /**
   * Refuses a request that has not started, for example on a queue timeout.
   * After NotRun, this attempt never runs. Wait means that the request is
   * already running. aAge is the time since attempt 0 was sent. It is ignored
   * for later attempts: for these, a key that is not recorded here can only be
   * refused if this target's history covers the whole key window.
   */
  Decision Refuse(base::TimePoint aNow,
                  const Request& aRequest,
                  base::Duration aAge);

  // Used by the witness of another target.

  ClaimReply RecordClaim(base::TimePoint aNow, const Claim& aClaim);
  /** Records the answer of a claimed request that has run. */
  void RecordAnswer(base::TimePoint aNow,
                    const RequestKey& aKey,
                    std::uint32_t aStatus,
                    std::span<const std::byte> aBody);
  /** Records that a claimed request was refused before it started. */
  void RecordRefusal(base::TimePoint aNow, const RequestKey& aKey);

  /** Returns true if every key recorded within the last aAge is still present.
   */
  bool HasCompleteHistory(base::TimePoint aNow, base::Duration aAge) const;

  /** Stops admitting new requests; admitted ones continue. */
  void Drain();
  /** Returns true if no request is claiming, queued or running. */
  bool IsIdle() const;

  std::size_t KeyCount() const;
  std::size_t ByteCount() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace amaranthwind::requests
