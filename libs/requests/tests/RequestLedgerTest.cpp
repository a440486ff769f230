#include "amaranthwind/requests/RequestLedger.h"
#include "amaranthwind/requests/MayRun.h"

#include <doctest/doctest.h>

#include <array>
#include <string>

using namespace amaranthwind;
using namespace amaranthwind::requests;
using namespace std::chrono_literals;

namespace {

constexpr base::TimePoint kStart{ 1h };

Request
MakeRequest(std::string_view aKey, std::uint32_t aAttempt = 0)
{
  return {
    { base::AccountId("club"), base::IdempotencyKey(aKey) }, 7, false, aAttempt
  };
}

Claim
MakeClaim(std::string_view aKey,
          std::uint32_t aAttempt = 0,
          std::uint64_t aIncarnation = 1)
{
  return { MakeRequest(aKey).key,
           7,
           aAttempt,
           base::TargetId("executor-1"),
           base::Incarnation(aIncarnation) };
}

constexpr std::array kBody{ std::byte{ 'o' }, std::byte{ 'k' } };
const ClaimReply kGranted{ ClaimResult::Granted, true, nullptr };

/** Table, keys and time of one target that started at kStart. */
struct LedgerBench
{
  explicit LedgerBench(LedgerSettings aSettings = {})
    : ledger(kStart, aSettings)
  {
  }

  Verdict Admit(const Request& aRequest)
  {
    return this->ledger.Admit(this->now, aRequest, Ticket(++this->tickets))
      .verdict;
  }

  Verdict Claimed(const Request& aRequest,
                  const ClaimReply& aReply,
                  std::uint32_t aLostTargets = 0)
  {
    return this->ledger
      .OnClaimReply(this->now, aRequest.key, aReply, aLostTargets)
      .verdict;
  }

  /** Takes a first attempt to Running. */
  void Run(const Request& aRequest)
  {
    REQUIRE(this->Admit(aRequest) == Verdict::Claim);
    REQUIRE(this->Claimed(aRequest, kGranted) == Verdict::Queue);
    REQUIRE(this->ledger.Start(aRequest.key));
  }

  std::size_t Finish(const Request& aRequest)
  {
    return this->ledger.Finish(this->now, aRequest.key, 200, kBody).size();
  }

  Verdict Refuse(const Request& aRequest, base::Duration aAge = 1s)
  {
    return this->ledger.Refuse(this->now, aRequest, aAge).verdict;
  }

  RequestLedger ledger;
  base::TimePoint now = kStart;
  std::uint64_t tickets = 0;
};

} // namespace

// Guards against a booking that runs twice because it was sent twice: P5.
TEST_CASE("a key runs once and every copy gets the same answer")
{
  LedgerBench bench;
  const Request request = MakeRequest("a");
  bench.Run(request);
  CHECK(bench.Admit(MakeRequest("a", 1)) == Verdict::Wait);
  CHECK(bench.Admit(request) == Verdict::Wait);
  CHECK_FALSE(bench.ledger.Start(request.key));
  CHECK(bench.Finish(request) == 3);
  CHECK(bench.Finish(request) == 0); // A second, late answer.
  const Decision replay =
    bench.ledger.Admit(bench.now, MakeRequest("a", 2), Ticket(9));
  REQUIRE(replay.verdict == Verdict::Replay);
  CHECK(*replay.answer == Answer{ 200, { kBody.begin(), kBody.end() } });

  Request other = request;
  other.fingerprint = 8;
  CHECK(bench.Admit(other) == Verdict::KeyReused);
  other.key.account = base::AccountId("judges");
  CHECK(bench.Admit(other) == Verdict::Claim); // Keys are per account.
}

// Guards against a refused request that runs after all: P4.
TEST_CASE("a queue time-out and the start exclude each other")
{
  LedgerBench bench;
  const Request request = MakeRequest("a");
  SUBCASE("time-out first")
  {
    CHECK(bench.Admit(request) == Verdict::Claim);
    CHECK(bench.Claimed(request, kGranted) == Verdict::Queue);
    CHECK(bench.Refuse(request) == Verdict::NotRun);
    CHECK_FALSE(bench.ledger.Start(request.key));
    CHECK(bench.Finish(request) == 0);
    CHECK(bench.Admit(request) == Verdict::NotRun);
    // A later attempt may run, as nothing was started.
    CHECK(bench.Admit(MakeRequest("a", 1)) == Verdict::Claim);
    CHECK(bench.Claimed(request, { ClaimResult::Granted, false, {} }) ==
          Verdict::Queue);
  }
  SUBCASE("time-out while the witness is asked")
  {
    CHECK(bench.Admit(request) == Verdict::Claim);
    CHECK_FALSE(bench.ledger.Start(request.key)); // Not claimed yet.
    CHECK(bench.Refuse(request) == Verdict::NotRun);
    CHECK(bench.Claimed(request, kGranted) == Verdict::Unknown);
    CHECK_FALSE(bench.ledger.Start(request.key));
  }
  SUBCASE("start first")
  {
    bench.Run(request);
    CHECK(bench.Refuse(request) == Verdict::Wait);
    CHECK(bench.Finish(request) == 1);
    CHECK(bench.Refuse(request) == Verdict::Replay);
  }
  SUBCASE("refused before it arrives")
  {
    bench.now += 1min;
    CHECK(bench.Refuse(request) == Verdict::NotRun);
    CHECK(bench.Admit(request) == Verdict::NotRun);
  }
  SUBCASE("refused here, then perhaps run elsewhere")
  {
    bench.now += 1min;
    CHECK(bench.Refuse(request) == Verdict::NotRun);
    CHECK(bench.Admit(MakeRequest("a", 2)) == Verdict::Claim);
    CHECK(bench.Claimed(request, { ClaimResult::Granted, false, {} }) ==
          Verdict::Unknown);
  }
}

// Guards against "not run" for what an earlier incarnation may have run.
TEST_CASE("a target that restarted vouches only for its own time")
{
  LedgerBench bench;
  bench.now += 10s;
  CHECK(bench.Refuse(MakeRequest("a"), 11s) == Verdict::Unknown);
  CHECK(bench.Refuse(MakeRequest("a"), 9s) == Verdict::NotRun);
  CHECK(bench.Refuse(MakeRequest("b", 1), 9s) == Verdict::Unknown);
  CHECK_FALSE(bench.ledger.CanVouchFor(bench.now, 30min));
  bench.now += 30min;
  CHECK(bench.ledger.CanVouchFor(bench.now, 30min));
  // Keys that old are forgotten.
  CHECK_FALSE(bench.ledger.CanVouchFor(bench.now, 30min + 1s));
}

// Guards against a retry that runs although an earlier attempt may have run.
TEST_CASE("a retry runs only if a target vouches")
{
  struct Case
  {
    const char* name;
    RunEvidence evidence;
    bool mayRun;
  };
  const std::vector<Case> cases = {
    { "first attempt", { false, false, false, 5 }, true },
    { "nobody vouches", { true, false, false, 0 }, false },
    { "target vouches", { true, true, false, 0 }, true },
    { "witness vouches", { true, false, true, 1 }, true },
    { "two targets lost", { true, true, true, 2 }, false },
  };
  for (const Case& test : cases) {
    CAPTURE(test.name);
    CHECK(MayRun(test.evidence) == test.mayRun);
  }
}

// Guards against a wrong reading of what the witness says.
TEST_CASE("the witness's reply decides on a key that is new here")
{
  const auto answer = std::make_shared<const Answer>();
  struct Case
  {
    const char* name;
    std::uint32_t attempt;
    ClaimReply reply;
    Verdict verdict;
  };
  const std::vector<Case> cases = {
    { "first", 0, { ClaimResult::Granted, false, {} }, Verdict::Queue },
    { "first, only target",
      0,
      { ClaimResult::NoWitness, false, {} },
      Verdict::Queue },
    { "first, witness down",
      0,
      { ClaimResult::Unreachable, false, {} },
      Verdict::NotRun },
    { "first, witness full",
      0,
      { ClaimResult::Full, true, {} },
      Verdict::NotRun },
    { "retry, witness vouches",
      1,
      { ClaimResult::Granted, true, {} },
      Verdict::Queue },
    { "retry, nobody vouches",
      1,
      { ClaimResult::Granted, false, {} },
      Verdict::Unknown },
    { "retry, witness down",
      1,
      { ClaimResult::Unreachable, false, {} },
      Verdict::Unknown },
    { "retry, only target",
      1,
      { ClaimResult::NoWitness, false, {} },
      Verdict::Unknown },
    { "claimed before", 1, { ClaimResult::Held, true, {} }, Verdict::Unknown },
    { "answered", 1, { ClaimResult::Answered, true, answer }, Verdict::Replay },
    { "answer not kept",
      1,
      { ClaimResult::Answered, true, {} },
      Verdict::Unknown },
    { "refused", 1, { ClaimResult::NotRun, false, {} }, Verdict::NotRun },
    { "other request",
      1,
      { ClaimResult::KeyReused, true, {} },
      Verdict::KeyReused },
  };
  for (const Case& test : cases) {
    CAPTURE(test.name);
    LedgerBench bench;
    const Request request = MakeRequest("a", test.attempt);
    REQUIRE(bench.Admit(request) == Verdict::Claim);
    CHECK(bench.Claimed(request, test.reply) == test.verdict);
    const bool runs = test.verdict == Verdict::Queue;
    CHECK(bench.ledger.Start(request.key) == runs);
    CHECK(bench.ledger.IsIdle() == !runs);
    // A late second reply changes nothing.
    CHECK(bench.Claimed(request, kGranted) == Verdict::Unknown);
  }
}

// Guards against a witness that lets the same key run twice.
TEST_CASE("a witness grants a key to one holder")
{
  LedgerBench bench;
  const auto claim = [&](const Claim& aClaim) {
    return bench.ledger.RecordClaim(bench.now, aClaim).result;
  };
  const RequestKey key = MakeRequest("a").key;
  CHECK(claim(MakeClaim("a")) == ClaimResult::Granted);
  CHECK(claim(MakeClaim("a")) == ClaimResult::Granted); // Its answer was lost.
  CHECK(claim(MakeClaim("a", 1, 2)) == ClaimResult::Held); // Restarted holder.
  CHECK(bench.Admit(MakeRequest("a", 1)) == Verdict::Unknown);
  SUBCASE("answered")
  {
    bench.ledger.RecordAnswer(bench.now, key, 200, kBody);
    CHECK(claim(MakeClaim("a", 1, 2)) == ClaimResult::Answered);
    CHECK(bench.Admit(MakeRequest("a", 1)) == Verdict::Replay);
  }
  SUBCASE("refused by the holder")
  {
    bench.ledger.RecordRefusal(bench.now, key);
    CHECK(claim(MakeClaim("a")) == ClaimResult::NotRun);
    CHECK(bench.Admit(MakeRequest("a")) == Verdict::NotRun);
    CHECK(claim(MakeClaim("a", 1, 2)) == ClaimResult::Granted);
  }
  SUBCASE("running here")
  {
    bench.Run(MakeRequest("b"));
    CHECK(claim(MakeClaim("b", 1)) == ClaimResult::Held);
  }
}

// Guards against keys forgotten within the window to make room.
TEST_CASE("a full table refuses new bookings and forgets none")
{
  LedgerSettings settings;
  SUBCASE("by number")
  {
    settings.maxKeys = 10;
  }
  SUBCASE("by bytes")
  {
    settings.maxBytes = 4096;
  }
  LedgerBench bench(settings);
  int kept = 0;
  while (kept < 100) {
    const Request request = MakeRequest(std::to_string(kept));
    if (bench.Admit(request) != Verdict::Claim) {
      break;
    }
    bench.Claimed(request, kGranted);
    bench.ledger.Start(request.key);
    bench.Finish(request);
    ++kept;
  }
  REQUIRE(kept >= 5);
  REQUIRE(kept <= 20);
  CHECK(bench.ledger.ByteCount() <= settings.maxBytes);
  CHECK(bench.Admit(MakeRequest("new")) == Verdict::NotRun);
  CHECK(bench.Admit(MakeRequest("new", 1)) == Verdict::Unknown);
  CHECK(bench.ledger.RecordClaim(bench.now, MakeClaim("new")).result ==
        ClaimResult::Full);
  Request idempotent = MakeRequest("new");
  idempotent.isIdempotent = true;
  CHECK(bench.Admit(idempotent) == Verdict::RunUntracked);
  CHECK(bench.Admit(MakeRequest("0", 1)) != Verdict::Claim);
  bench.now += 30min;
  CHECK(bench.Admit(MakeRequest("new")) == Verdict::Claim);
  CHECK(bench.ledger.KeyCount() == 1);
}

// Guards against a refused idempotent request that runs after it was forgotten:
// P4.
TEST_CASE("a refused request is kept even if it is idempotent")
{
  LedgerSettings settings;
  settings.maxKeys = 1;
  LedgerBench bench(settings);
  Request quote = MakeRequest("a");
  quote.isIdempotent = true;
  REQUIRE(bench.Admit(quote) == Verdict::Queue);
  CHECK(bench.Refuse(quote) == Verdict::NotRun);
  CHECK(bench.Admit(MakeRequest("b")) == Verdict::NotRun);
  CHECK(bench.Admit(quote) == Verdict::NotRun);
}

// Guards against bookings refused because quick idempotent requests fill the
// table.
TEST_CASE("idempotent requests make room for bookings")
{
  LedgerSettings settings;
  settings.maxKeys = 10;
  LedgerBench bench(settings);
  for (int index = 0; index < 25; ++index) {
    Request quote = MakeRequest(std::to_string(index));
    quote.isIdempotent = true;
    REQUIRE(bench.Admit(quote) == Verdict::Queue);
    REQUIRE(bench.ledger.Start(quote.key));
    CHECK(bench.Finish(quote) == 1);
    CHECK(bench.Admit(quote) == Verdict::Replay);
  }
  for (int index = 0; index < 10; ++index) {
    CHECK(bench.Admit(MakeRequest("b" + std::to_string(index))) ==
          Verdict::Claim);
  }
  CHECK(bench.Admit(MakeRequest("c")) == Verdict::NotRun);
  CHECK(bench.ledger.KeyCount() == 10);
}

// Guards against an answer without room that lets its request run again.
TEST_CASE("an answer that does not fit is not kept, but its key is")
{
  LedgerSettings settings;
  settings.maxBytes = 1024;
  LedgerBench bench(settings);
  bench.Run(MakeRequest("a"));
  const std::vector<std::byte> large(1024);
  CHECK(
    bench.ledger.Finish(bench.now, MakeRequest("a").key, 200, large).size() ==
    1);
  CHECK(bench.Admit(MakeRequest("a", 1)) == Verdict::Unknown);
}

// Guards against a broken executor connection that is taken for "not run".
TEST_CASE("an unknown outcome stays unknown")
{
  LedgerBench bench;
  bench.Run(MakeRequest("a"));
  CHECK(bench.ledger.FinishUnknown(bench.now, MakeRequest("a").key).size() ==
        1);
  CHECK(bench.Admit(MakeRequest("a", 1)) == Verdict::Unknown);
  CHECK(bench.Refuse(MakeRequest("a")) == Verdict::Unknown);
}

// Guards against work cut off, or taken on, by a target that leaves: P6, P7.
TEST_CASE("a draining target admits nothing and finishes what it has")
{
  LedgerBench bench;
  bench.Run(MakeRequest("a"));
  CHECK(bench.Refuse(MakeRequest("refused"), 0s) == Verdict::NotRun);
  bench.ledger.Drain();
  CHECK(bench.Admit(MakeRequest("b")) == Verdict::NotRun);
  CHECK(bench.Admit(MakeRequest("c", 1)) == Verdict::Unknown);
  CHECK(bench.Admit(MakeRequest("refused", 1)) == Verdict::NotRun);
  CHECK(bench.Admit(MakeRequest("a", 1)) == Verdict::Wait);
  CHECK_FALSE(bench.ledger.IsIdle());
  CHECK(bench.Finish(MakeRequest("a")) == 2);
  CHECK(bench.ledger.IsIdle());
  CHECK(bench.Admit(MakeRequest("a", 2)) == Verdict::Replay);
}

// Guards against an entry erased while an older expiry still names it.
TEST_CASE("a key that was refused and then ran expires after its last event")
{
  LedgerBench bench;
  const Request request = MakeRequest("a");
  bench.now += 1min;
  bench.Refuse(request);
  bench.now += 20min;
  REQUIRE(bench.Admit(MakeRequest("a", 1)) == Verdict::Claim);
  REQUIRE(bench.Claimed(request, kGranted) == Verdict::Queue);
  bench.now += 20min;
  CHECK(bench.Admit(MakeRequest("b")) == Verdict::Claim);
  CHECK(bench.ledger.Start(request.key));
  CHECK(bench.Finish(request) == 1);
  bench.now += 29min;
  CHECK(bench.Admit(request) == Verdict::Replay);
  bench.now += 1min;
  CHECK(bench.Admit(request) == Verdict::Claim);
}
