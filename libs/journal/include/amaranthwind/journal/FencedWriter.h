#pragma once

#include "amaranthwind/base/Backoff.h"
#include "amaranthwind/base/Executor.h"
#include "amaranthwind/base/Ids.h"
#include "amaranthwind/journal/KeyedLog.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace amaranthwind::journal {

struct FencedWriterOptions
{
  KeyedTopic topic;
  std::string producer;
  /** Epoch of the producer; a writer with a higher one fences this one off. */
  base::FencingToken token;
  base::BackoffOptions backoff{ std::chrono::milliseconds(20),
                                std::chrono::milliseconds(300) };
};

/**
 * Writes the records of the one coordinator of a topic. Appends are made one
 * at a time and in order; records that arrive meanwhile share the next one. An
 * append whose answer was lost is repeated with the same sequence number, so
 * that it takes effect once. Lives on one executor.
 */
class FencedWriter
{
public:
  /** @param aOnFenced Called once, when a writer with a higher token exists. */
  FencedWriter(FencedWriterOptions aOptions,
               base::Executor& aExecutor,
               KeyedLog& aLog,
               std::function<void()> aOnFenced);
  ~FencedWriter();
  FencedWriter(const FencedWriter&) = delete;
  FencedWriter& operator=(const FencedWriter&) = delete;

  /**
   * aDone is called once the records are in the log, in the order of calls.
   * From the first one on, writers with a lower token are fenced off.
   */
  void Write(std::vector<KeyedValue> aRecords, std::function<void()> aDone);

  /** Records that are not yet in the log. */
  std::size_t Pending() const noexcept;

private:
  struct State;
  std::shared_ptr<State> state;
};

} // namespace amaranthwind::journal
