#pragma once

#include "amaranthwind/base/Backoff.h"
#include "amaranthwind/base/Clock.h"
#include "amaranthwind/base/Executor.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/journal/KeyedLog.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace amaranthwind::journal {

/** An append that failed, for logs. */
struct AppendFailure
{
  base::Error error;
  std::uint64_t attempt = 0;
  std::size_t records = 0;
  std::size_t bytes = 0;
};

struct FencedWriterOptions
{
  KeyedTopic topic;
  std::string producer;
  /** Epoch of the producer; a writer with a higher epoch fences this one. */
  base::FencingToken token;
  base::BackoffOptions backoff{ std::chrono::milliseconds(20),
                                std::chrono::milliseconds(300) };
  /** Without a response for this long, the log counts as stalled. */
  base::Duration stallTime = std::chrono::milliseconds(1200);
  /** Called for each failed attempt of an append; may be empty. */
  std::function<void(const AppendFailure&)> onFailure = nullptr;
};

/**
 * Records that are appended in this order. They share one append if it can hold
 * them; otherwise they are divided among several, and a reader may see the
 * first of them without the others. Records with onRefused are not divided.
 */
struct WriteRequest
{
  std::vector<KeyedValue> records;
  /** Called once the records are in the log. */
  std::function<void()> onDurable;
  /**
   * If set, the records are dropped as soon as an append with them is certain
   * to have had no effect, and this is called instead of onDurable. Otherwise
   * they are retried without end.
   */
  std::function<void()> onRefused;
};

/**
 * Writes the records of the single coordinator of a topic. Appends are issued
 * one at a time and in order; records that arrive meanwhile are batched into
 * the next ones, each of limited size. An append that the log refuses as too
 * large is divided further. An append without a response is repeated
 * with the same sequence number, so that it takes effect once; the response to
 * any of the attempts counts, so that a slow log is not asked in vain. Must be
 * used on one executor.
 */
class FencedWriter
{
public:
  /**
   * @param aOnFenced Called once, when another writer has a higher token or
   *   writes with the same one.
   */
  FencedWriter(FencedWriterOptions aOptions,
               const base::Clock& aClock,
               base::Executor& aExecutor,
               KeyedLog& aLog,
               std::function<void()> aOnFenced);
  ~FencedWriter();
  FencedWriter(const FencedWriter&) = delete;
  FencedWriter& operator=(const FencedWriter&) = delete;

  /**
   * Writes the records in the order of the calls. The first append fences all
   * writers with a lower token.
   */
  void Write(std::vector<WriteRequest> aRequests);
  void Write(std::vector<KeyedValue> aRecords, std::function<void()> aDone);

  /** Number of records that are not yet confirmed to be in the log. */
  std::size_t Pending() const noexcept;

  /** Size of the records that one append holds at most. */
  std::size_t MaxAppendBytes() const noexcept;

  /**
   * Whether the append under way has failed or waits for a response for longer
   * than usual. Its records may be in the log.
   */
  bool IsStalled() const;

private:
  struct State;
  std::shared_ptr<State> state;
};

} // namespace amaranthwind::journal
