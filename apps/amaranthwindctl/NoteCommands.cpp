#include "NoteCommands.h"

#include "amaranthwind/base/Random.h"
#include "amaranthwind/codec/JsonRecordCodec.h"
#include "amaranthwind/codec/NoteCodec.h"
#include "amaranthwind/frontend/HttpLogClient.h"
#include "amaranthwind/journal/Appender.h"
#include "amaranthwind/journal/NoteReplay.h"
#include "amaranthwind/policy/ApplyNote.h"

#include <iostream>
#include <thread>
#include <utility>

namespace amaranthwind::ctl {

using base::Result;
using policy::Policy;
using policy::ReleaseNote;

namespace {

/** Blocks the calling thread; the tool runs no other work. */
class SleepingWaiter final : public journal::RetryWaiter
{
public:
  bool Wait(base::Duration aTime) override
  {
    std::this_thread::sleep_for(aTime);
    return true;
  }
};

/** Reads and appends to the stream of notes. */
class NoteLog
{
public:
  explicit NoteLog(const std::string& aAddress)
    : log(this->pool, { .address = aAddress })
    , replay(this->codec)
  {
  }
  ~NoteLog() { this->pool.Stop(); }
  NoteLog(const NoteLog&) = delete;
  NoteLog& operator=(const NoteLog&) = delete;

  Result<Policy> ReadPolicy()
  {
    BOOST_OUTCOME_TRY(
      journal::ReadToEnd(this->log, journal::kNotesStream, this->replay));
    return this->replay.Current();
  }

  /**
   * Appends the note and returns it as replayed, with its verdict. Error:
   * AppendUnconfirmed if it is not found in the stream.
   */
  Result<journal::ReplayedRecord> Publish(const ReleaseNote& aNote)
  {
    const auto from = this->replay.NextOffset();
    SleepingWaiter waiter;
    journal::Appender appender(this->log, this->codec, this->clock, waiter);
    journal::AppendTask task;
    task.stream = journal::kNotesStream;
    task.record = { aNote.id, journal::NoteRecord{ aNote } };
    task.from = from;
    BOOST_OUTCOME_TRY(appender.Append(task));
    BOOST_OUTCOME_TRY(
      const auto records,
      journal::ReadToEnd(this->log, journal::kNotesStream, this->replay));
    for (const auto& record : records) {
      if (record.id == aNote.id) {
        return record;
      }
    }
    return base::Fail(base::ErrorCode::AppendUnconfirmed, aNote.id.View());
  }

private:
  net::IoPool pool{ 1 };
  frontend::HttpLogClient log;
  const codec::JsonRecordCodec codec;
  const base::SystemClock clock;
  journal::NoteReplay replay;
};

Result<ReleaseNote>
ReadNote(const Arguments& aArguments)
{
  BOOST_OUTCOME_TRY(const auto text, ReadInput(Option(aArguments, "FILE")));
  BOOST_OUTCOME_TRY(auto note, codec::DecodeNote(text));
  BOOST_OUTCOME_TRY(policy::ValidateNote(note));
  base::RandomEngine random(base::MakeSeed());
  note.id = base::MakeRecordId(random);
  return note;
}

/** A note together with the policy before and after it. */
struct NoteEffect
{
  ReleaseNote note;
  Policy before;
  Policy after;
};

/** Errors: those of the note, of the log and of policy::ApplyNote(). */
Result<NoteEffect>
ReadEffect(const Arguments& aArguments, NoteLog& aLog)
{
  BOOST_OUTCOME_TRY(auto note, ReadNote(aArguments));
  BOOST_OUTCOME_TRY(auto before, aLog.ReadPolicy());
  BOOST_OUTCOME_TRY(auto after, policy::ApplyNote(before, note));
  return NoteEffect{ std::move(note), std::move(before), std::move(after) };
}

template<typename Item>
void
PrintChanges(std::string_view aName,
             const std::vector<Item>& aBefore,
             const std::vector<Item>& aAfter)
{
  const auto find = [](const std::vector<Item>& aItems, const auto& aId) {
    for (const auto& item : aItems) {
      if (item.id == aId) {
        return &item;
      }
    }
    return static_cast<const Item*>(nullptr);
  };
  for (const auto& item : aAfter) {
    const auto* before = find(aBefore, item.id);
    if (before == nullptr) {
      std::cout << "added      " << aName << " " << item.id.View() << "\n";
    } else if (!(*before == item)) {
      std::cout << "changed    " << aName << " " << item.id.View() << "\n";
    }
  }
  for (const auto& item : aBefore) {
    if (find(aAfter, item.id) == nullptr) {
      std::cout << "withdrawn  " << aName << " " << item.id.View() << "\n";
    }
  }
}

void
PrintDiff(const Policy& aBefore, const Policy& aAfter)
{
  PrintChanges("account", aBefore.accounts, aAfter.accounts);
  PrintChanges("kind", aBefore.kinds, aAfter.kinds);
}

} // namespace

Exit
CheckNoteFile(const Arguments& aArguments)
{
  const auto note = ReadNote(aArguments);
  if (note.has_error()) {
    return ReportError(note.error());
  }
  std::cout << "note is valid, changes: " << note.value().changes.size()
            << "\n";
  return Exit::Done;
}

Exit
DiffNote(const Arguments& aArguments)
{
  NoteLog log(Option(aArguments, "--log"));
  const auto effect = ReadEffect(aArguments, log);
  if (effect.has_error()) {
    return ReportError(effect.error());
  }
  PrintDiff(effect.value().before, effect.value().after);
  return Exit::Done;
}

Exit
PublishNote(const Arguments& aArguments)
{
  NoteLog log(Option(aArguments, "--log"));
  // Does not append a note that is certain to be rejected.
  const auto effect = ReadEffect(aArguments, log);
  if (effect.has_error()) {
    return ReportError(effect.error());
  }
  const auto published = log.Publish(effect.value().note);
  if (published.has_error()) {
    return ReportError(published.error());
  }
  const auto& record = published.value();
  if (record.verdict != journal::Verdict::Applied) {
    return ReportError(record.error);
  }
  PrintDiff(effect.value().before, effect.value().after);
  std::cout << "accepted   note " << record.id.View() << " offset "
            << record.offset.Get() << " version "
            << effect.value().after.version.Get() << "\n";
  return Exit::Done;
}

Exit
ShowNote(const Arguments& aArguments)
{
  EntryClient entry(Option(aArguments, "--entry"));
  const auto response = entry.Get("/v1/note");
  if (response.has_error()) {
    return ReportError(response.error());
  }
  const auto policy = codec::DecodePolicy(response.value().body);
  if (policy.has_error()) {
    return ReportError(policy.error());
  }
  if (aArguments.at("--json").asBool()) {
    std::cout << response.value().body << "\n";
    return Exit::Done;
  }
  const auto& activePolicy = policy.value();
  std::cout << "version  " << activePolicy.version.Get() << "\n"
            << "note     " << activePolicy.noteId.View() << "\n"
            << "offset   " << activePolicy.nextOffset.Get() << "\n";
  for (const auto& account : activePolicy.accounts) {
    std::cout << "account  " << account.id.View() << " weight "
              << account.weight << " floor " << account.floorPercent
              << "% guarantees " << account.guarantees.size() << "\n";
  }
  for (const auto& kind : activePolicy.kinds) {
    std::cout << "kind     " << kind.id.View() << " urgency " << kind.urgency
              << " floor " << kind.floorPercent << "%\n";
  }
  return Exit::Done;
}

} // namespace amaranthwind::ctl
