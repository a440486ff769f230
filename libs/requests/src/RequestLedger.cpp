#include "amaranthwind/requests/RequestLedger.h"

#include "amaranthwind/requests/MayRun.h"

#include <algorithm>
#include <list>
#include <unordered_map>
#include <utility>

namespace amaranthwind::requests {

namespace {

enum class Phase : std::uint8_t
{
  Claiming, // Waits for the witness.
  Queued,
  Running,
  Held, // As witness for another target.
  Answered,
  Unknown, // It may have run.
  Refused, // It has not run.
};

using ClosedKeys = std::list<const RequestKey*>;

struct Entry
{
  Phase phase = Phase::Queued;
  std::uint64_t fingerprint = 0;
  std::uint32_t attempt = 0;
  /** No earlier attempt exists, or the one before was refused here. */
  bool isProvenNotRun = false;
  /** Set in phase Held. */
  base::TargetId holder;
  base::Incarnation incarnation;
  /** Empty in phase Answered if there was no room for it. */
  std::shared_ptr<const Answer> answer;
  std::vector<Ticket> tickets;
  base::TimePoint expiresAt;
  bool isIdempotent = false;
  /** Place in a queue of closed entries. */
  std::optional<ClosedKeys::iterator> place;
  std::size_t bytes = 0;

  /** Whether the key may be forgotten early: the request may run again. */
  bool IsDispensable() const
  {
    return this->isIdempotent && this->phase != Phase::Refused;
  }
};

struct KeyHash
{
  std::size_t operator()(const RequestKey& aKey) const noexcept
  {
    const std::size_t account = std::hash<base::AccountId>{}(aKey.account);
    const std::size_t key = std::hash<base::IdempotencyKey>{}(aKey.key);
    // The golden ratio spreads pairs that would cancel each other out.
    return key ^ (account + 0x9e3779b97f4a7c15ULL + (key << 6U) + (key >> 2U));
  }
};

/**
 * What an entry takes besides the text of its key: the nodes of the table and
 * of a queue, and the headers of four heap blocks.
 */
constexpr std::size_t kEntryOverhead =
  sizeof(std::pair<const RequestKey, Entry>) + 14 * sizeof(void*);
/** The same for an answer besides its body. */
constexpr std::size_t kAnswerOverhead = sizeof(Answer) + 6 * sizeof(void*);

Decision
Say(Verdict aVerdict, base::ErrorCode aCode, std::string_view aSubject)
{
  return { aVerdict, nullptr, base::Error{ aCode, std::string(aSubject) }, {} };
}

Decision
SayKeyReused(const RequestKey& aKey)
{
  return Say(Verdict::KeyReused, base::ErrorCode::KeyReused, aKey.key.View());
}

Decision
SayRefusedBefore()
{
  return Say(Verdict::NotRun, base::ErrorCode::QueueTimeout, "refused before");
}

Decision
SayUnknown(std::string_view aSubject)
{
  return Say(Verdict::Unknown, base::ErrorCode::OutcomeUnknown, aSubject);
}

} // namespace

class RequestLedger::Impl
{
public:
  Impl(base::TimePoint aStartedAt, LedgerSettings aSettings)
    : startedAt(aStartedAt)
    , settings(aSettings)
  {
  }

  Decision Admit(base::TimePoint aNow, const Request& aRequest, Ticket aTicket)
  {
    this->Expire(aNow);
    const auto found = this->entries.find(aRequest.key);
    if (found == this->entries.end()) {
      return this->AdmitNew(aNow, aRequest, aTicket);
    }
    Entry& entry = found->second;
    if (entry.fingerprint != aRequest.fingerprint) {
      return SayKeyReused(aRequest.key);
    }
    switch (entry.phase) {
      case Phase::Claiming:
      case Phase::Queued:
      case Phase::Running:
        entry.tickets.push_back(aTicket);
        entry.attempt = std::max(entry.attempt, aRequest.attempt);
        return { Verdict::Wait, nullptr, std::nullopt, {} };
      case Phase::Answered:
        return Replay(entry);
      case Phase::Held:
        return SayUnknown(entry.holder.View());
      case Phase::Unknown:
        return SayUnknown("an earlier attempt");
      case Phase::Refused:
        break;
    }
    if (aRequest.attempt <= entry.attempt) {
      return SayRefusedBefore();
    }
    // An attempt in between may have run on another target.
    const bool isNext = aRequest.attempt == entry.attempt + 1;
    if (this->isDraining) {
      return this->SayNotRun(
        aNow, isNext ? 0 : aRequest.attempt, base::ErrorCode::Draining);
    }
    entry.isProvenNotRun = isNext;
    entry.attempt = aRequest.attempt;
    return this->Open(entry, aRequest, aTicket);
  }

  Decision OnClaimReply(base::TimePoint aNow,
                        const RequestKey& aKey,
                        const ClaimReply& aReply,
                        std::uint32_t aLostTargets)
  {
    this->Expire(aNow);
    const auto found = this->entries.find(aKey);
    if (found == this->entries.end() ||
        found->second.phase != Phase::Claiming) {
      return SayUnknown("no claim is open");
    }
    Entry& entry = found->second;
    const bool isGranted = aReply.result == ClaimResult::Granted;
    const bool mayRun =
      MayRun({ !entry.isProvenNotRun,
               this->CanVouchFor(aNow, this->settings.keyWindow),
               isGranted && aReply.doesVouch,
               aLostTargets });
    switch (aReply.result) {
      case ClaimResult::Granted:
      case ClaimResult::NoWitness:
        if (!mayRun) {
          break;
        }
        entry.phase = Phase::Queued;
        return { Verdict::Queue, nullptr, std::nullopt, {} };
      case ClaimResult::Answered:
        if (aReply.answer == nullptr) {
          break;
        }
        this->Keep(entry, aReply.answer);
        return this->End(found, aNow, Phase::Answered, Replay(entry));
      case ClaimResult::KeyReused:
        return this->Erase(found, SayKeyReused(aKey));
      case ClaimResult::NotRun:
        return this->End(found, aNow, Phase::Refused, SayRefusedBefore());
      case ClaimResult::Full:
      case ClaimResult::Unreachable:
        if (!mayRun) {
          break;
        }
        return this->End(
          found,
          aNow,
          Phase::Refused,
          Say(Verdict::NotRun, base::ErrorCode::NoTarget, "witness"));
      case ClaimResult::Held:
        break;
    }
    return this->End(
      found, aNow, Phase::Unknown, SayUnknown("an earlier attempt"));
  }

  bool Start(const RequestKey& aKey)
  {
    const auto found = this->entries.find(aKey);
    if (found == this->entries.end() || found->second.phase != Phase::Queued) {
      return false;
    }
    found->second.phase = Phase::Running;
    return true;
  }

  std::vector<Ticket> Finish(base::TimePoint aNow,
                             const RequestKey& aKey,
                             Phase aPhase,
                             std::shared_ptr<const Answer> aAnswer)
  {
    const auto found = this->entries.find(aKey);
    if (found == this->entries.end() || found->second.phase != Phase::Running) {
      return {};
    }
    if (aAnswer != nullptr) {
      this->Keep(found->second, std::move(aAnswer));
    }
    return this->End(found, aNow, aPhase, {}).tickets;
  }

  Decision Refuse(base::TimePoint aNow,
                  const Request& aRequest,
                  base::Duration aAge)
  {
    this->Expire(aNow);
    auto found = this->entries.find(aRequest.key);
    if (found == this->entries.end()) {
      const base::Duration age =
        aRequest.attempt > 0 ? this->settings.keyWindow : aAge;
      if (!this->CanVouchFor(aNow, age) || !this->MakeRoom(aRequest.key)) {
        return SayUnknown("the key is not known here");
      }
      found = this->Add(aRequest);
      found->second.phase = Phase::Queued;
    }
    Entry& entry = found->second;
    if (entry.fingerprint != aRequest.fingerprint) {
      return SayKeyReused(aRequest.key);
    }
    switch (entry.phase) {
      case Phase::Running:
        return { Verdict::Wait, nullptr, std::nullopt, {} };
      case Phase::Answered:
        return Replay(entry);
      case Phase::Held:
      case Phase::Unknown:
        return SayUnknown("an earlier attempt");
      case Phase::Claiming:
        // Earlier attempts are not checked yet.
        if (!entry.isProvenNotRun) {
          return this->End(
            found, aNow, Phase::Unknown, SayUnknown("an earlier attempt"));
        }
        break;
      case Phase::Queued:
      case Phase::Refused:
        break;
    }
    entry.attempt = std::max(entry.attempt, aRequest.attempt);
    return this->End(
      found,
      aNow,
      Phase::Refused,
      Say(Verdict::NotRun, base::ErrorCode::QueueTimeout, "refused"));
  }

  ClaimReply RecordClaim(base::TimePoint aNow, const Claim& aClaim)
  {
    this->Expire(aNow);
    const bool doesVouch = this->CanVouchFor(aNow, this->settings.keyWindow);
    auto found = this->entries.find(aClaim.key);
    if (found == this->entries.end()) {
      if (!this->MakeRoom(aClaim.key)) {
        return { ClaimResult::Full, doesVouch, nullptr };
      }
      found =
        this->Add({ aClaim.key, aClaim.fingerprint, false, aClaim.attempt });
    } else if (found->second.fingerprint != aClaim.fingerprint) {
      return { ClaimResult::KeyReused, doesVouch, nullptr };
    } else if (found->second.phase == Phase::Answered) {
      return { ClaimResult::Answered, doesVouch, found->second.answer };
    } else if (found->second.phase == Phase::Held) {
      const bool isSame = found->second.holder == aClaim.holder &&
                          found->second.incarnation == aClaim.incarnation;
      return { isSame ? ClaimResult::Granted : ClaimResult::Held,
               doesVouch,
               nullptr };
    } else if (found->second.phase != Phase::Refused) {
      return { ClaimResult::Held, doesVouch, nullptr };
    } else if (aClaim.attempt <= found->second.attempt) {
      return { ClaimResult::NotRun, doesVouch, nullptr };
    }
    Entry& entry = found->second;
    entry.attempt = aClaim.attempt;
    entry.holder = aClaim.holder;
    entry.incarnation = aClaim.incarnation;
    this->End(found, aNow, Phase::Held, {});
    return { ClaimResult::Granted, doesVouch, nullptr };
  }

  void RecordEnd(base::TimePoint aNow,
                 const RequestKey& aKey,
                 Phase aPhase,
                 std::shared_ptr<const Answer> aAnswer)
  {
    const auto found = this->entries.find(aKey);
    if (found == this->entries.end() || found->second.phase != Phase::Held) {
      return;
    }
    if (aAnswer != nullptr) {
      this->Keep(found->second, std::move(aAnswer));
    }
    this->End(found, aNow, aPhase, {});
  }

  bool CanVouchFor(base::TimePoint aNow, base::Duration aAge) const
  {
    return aAge <= this->settings.keyWindow && aNow - this->startedAt >= aAge;
  }

  void Drain() { this->isDraining = true; }
  bool IsIdle() const { return this->open == 0; }
  std::size_t KeyCount() const { return this->entries.size(); }
  std::size_t ByteCount() const { return this->bytes; }

private:
  using Entries = std::unordered_map<RequestKey, Entry, KeyHash>;

  static Decision Replay(const Entry& aEntry)
  {
    if (aEntry.answer == nullptr) {
      return SayUnknown("it ran; there was no room for its answer");
    }
    return { Verdict::Replay, aEntry.answer, std::nullopt, {} };
  }

  static std::size_t SizeOf(const RequestKey& aKey)
  {
    return kEntryOverhead + aKey.account.Text().capacity() +
           aKey.key.Text().capacity();
  }

  bool MakeRoom(const RequestKey& aKey)
  {
    return this->MakeRoom(1, SizeOf(aKey));
  }

  /** Forgets the oldest idempotent requests as far as needed. */
  bool MakeRoom(std::size_t aKeys, std::size_t aBytes)
  {
    const auto hasRoom = [&] {
      return this->entries.size() + aKeys <= this->settings.maxKeys &&
             this->bytes + aBytes <= this->settings.maxBytes;
    };
    while (!hasRoom() && !this->dispensable.empty()) {
      this->Erase(this->entries.find(*this->dispensable.front()), {});
    }
    return hasRoom();
  }

  Decision AdmitNew(base::TimePoint aNow,
                    const Request& aRequest,
                    Ticket aTicket)
  {
    if (this->isDraining) {
      return this->SayNotRun(aNow, aRequest.attempt, base::ErrorCode::Draining);
    }
    if (!this->MakeRoom(aRequest.key)) {
      if (aRequest.isIdempotent) {
        return { Verdict::RunUntracked, nullptr, std::nullopt, {} };
      }
      return this->SayNotRun(
        aNow, aRequest.attempt, base::ErrorCode::QueueFull);
    }
    return this->Open(this->Add(aRequest)->second, aRequest, aTicket);
  }

  Decision Open(Entry& aEntry, const Request& aRequest, Ticket aTicket)
  {
    this->Unlist(aEntry);
    aEntry.phase = aRequest.isIdempotent ? Phase::Queued : Phase::Claiming;
    aEntry.tickets.push_back(aTicket);
    ++this->open;
    return { aRequest.isIdempotent ? Verdict::Queue : Verdict::Claim,
             nullptr,
             std::nullopt,
             {} };
  }

  /**
   * Refuses without a record. "Not run" also speaks for earlier attempts, so a
   * retry gets it only if this target vouches for them.
   */
  Decision SayNotRun(base::TimePoint aNow,
                     std::uint32_t aAttempt,
                     base::ErrorCode aCode) const
  {
    if (aAttempt > 0 && !this->CanVouchFor(aNow, this->settings.keyWindow)) {
      return SayUnknown("an earlier attempt");
    }
    return Say(Verdict::NotRun, aCode, "key table");
  }

  Entries::iterator Add(const Request& aRequest)
  {
    const auto found = this->entries.try_emplace(aRequest.key).first;
    Entry& entry = found->second;
    entry.fingerprint = aRequest.fingerprint;
    entry.attempt = aRequest.attempt;
    entry.isIdempotent = aRequest.isIdempotent;
    entry.isProvenNotRun = aRequest.attempt == 0;
    entry.bytes = SizeOf(found->first);
    this->bytes += entry.bytes;
    return found;
  }

  /** Keeps the answer if there is room for it. */
  void Keep(Entry& aEntry, std::shared_ptr<const Answer> aAnswer)
  {
    const std::size_t size = kAnswerOverhead + aAnswer->body.size();
    if (this->MakeRoom(0, size)) {
      aEntry.answer = std::move(aAnswer);
      aEntry.bytes += size;
      this->bytes += size;
    }
  }

  /** Closes an entry; hands its tickets over to aDecision. */
  Decision End(Entries::iterator aPosition,
               base::TimePoint aNow,
               Phase aPhase,
               Decision aDecision)
  {
    Entry& entry = aPosition->second;
    this->Close(entry, aDecision);
    this->Unlist(entry);
    entry.phase = aPhase;
    entry.expiresAt = aNow + this->settings.keyWindow;
    ClosedKeys& keys = this->KeysOf(entry);
    entry.place = keys.insert(keys.end(), &aPosition->first);
    return aDecision;
  }

  Decision Erase(Entries::iterator aPosition, Decision aDecision)
  {
    Entry& entry = aPosition->second;
    this->Close(entry, aDecision);
    this->Unlist(entry);
    this->bytes -= entry.bytes;
    this->entries.erase(aPosition);
    return aDecision;
  }

  void Close(Entry& aEntry, Decision& aDecision)
  {
    if (!aEntry.tickets.empty()) {
      --this->open;
    }
    aDecision.tickets = std::exchange(aEntry.tickets, {});
  }

  void Unlist(Entry& aEntry)
  {
    if (aEntry.place) {
      this->KeysOf(aEntry).erase(*aEntry.place);
      aEntry.place.reset();
    }
  }

  ClosedKeys& KeysOf(const Entry& aEntry)
  {
    return aEntry.IsDispensable() ? this->dispensable : this->indispensable;
  }

  void Expire(base::TimePoint aNow)
  {
    for (ClosedKeys* keys : { &this->dispensable, &this->indispensable }) {
      while (!keys->empty()) {
        const auto found = this->entries.find(*keys->front());
        if (found->second.expiresAt > aNow) {
          break;
        }
        this->Erase(found, {});
      }
    }
  }

  const base::TimePoint startedAt;
  const LedgerSettings settings;
  Entries entries;
  /**
   * Keys of closed entries. The window is the same for all, so that each list
   * is in order of time. The keys in the nodes of the table keep their address.
   */
  ClosedKeys dispensable;
  ClosedKeys indispensable;
  std::size_t bytes = 0;
  std::size_t open = 0;
  bool isDraining = false;
};

namespace {

std::shared_ptr<const Answer>
MakeAnswer(std::uint32_t aStatus, std::span<const std::byte> aBody)
{
  return std::make_shared<const Answer>(
    Answer{ aStatus, { aBody.begin(), aBody.end() } });
}

} // namespace

RequestLedger::RequestLedger(base::TimePoint aStartedAt,
                             LedgerSettings aSettings)
  : impl(std::make_unique<Impl>(aStartedAt, aSettings))
{
}

RequestLedger::~RequestLedger() = default;
RequestLedger::RequestLedger(RequestLedger&&) noexcept = default;
RequestLedger&
RequestLedger::operator=(RequestLedger&&) noexcept = default;

Decision
RequestLedger::Admit(base::TimePoint aNow,
                     const Request& aRequest,
                     Ticket aTicket)
{
  return this->impl->Admit(aNow, aRequest, aTicket);
}

Decision
RequestLedger::OnClaimReply(base::TimePoint aNow,
                            const RequestKey& aKey,
                            const ClaimReply& aReply,
                            std::uint32_t aLostTargets)
{
  return this->impl->OnClaimReply(aNow, aKey, aReply, aLostTargets);
}

bool
RequestLedger::Start(const RequestKey& aKey)
{
  return this->impl->Start(aKey);
}

std::vector<Ticket>
RequestLedger::Finish(base::TimePoint aNow,
                      const RequestKey& aKey,
                      std::uint32_t aStatus,
                      std::span<const std::byte> aBody)
{
  return this->impl->Finish(
    aNow, aKey, Phase::Answered, MakeAnswer(aStatus, aBody));
}

std::vector<Ticket>
RequestLedger::FinishUnknown(base::TimePoint aNow, const RequestKey& aKey)
{
  return this->impl->Finish(aNow, aKey, Phase::Unknown, nullptr);
}

Decision
RequestLedger::Refuse(base::TimePoint aNow,
                      const Request& aRequest,
                      base::Duration aAge)
{
  return this->impl->Refuse(aNow, aRequest, aAge);
}

ClaimReply
RequestLedger::RecordClaim(base::TimePoint aNow, const Claim& aClaim)
{
  return this->impl->RecordClaim(aNow, aClaim);
}

void
RequestLedger::RecordAnswer(base::TimePoint aNow,
                            const RequestKey& aKey,
                            std::uint32_t aStatus,
                            std::span<const std::byte> aBody)
{
  this->impl->RecordEnd(
    aNow, aKey, Phase::Answered, MakeAnswer(aStatus, aBody));
}

void
RequestLedger::RecordRefusal(base::TimePoint aNow, const RequestKey& aKey)
{
  this->impl->RecordEnd(aNow, aKey, Phase::Refused, nullptr);
}

bool
RequestLedger::CanVouchFor(base::TimePoint aNow, base::Duration aAge) const
{
  return this->impl->CanVouchFor(aNow, aAge);
}

void
RequestLedger::Drain()
{
  this->impl->Drain();
}

bool
RequestLedger::IsIdle() const
{
  return this->impl->IsIdle();
}

std::size_t
RequestLedger::KeyCount() const
{
  return this->impl->KeyCount();
}

std::size_t
RequestLedger::ByteCount() const
{
  return this->impl->ByteCount();
}

} // namespace amaranthwind::requests
