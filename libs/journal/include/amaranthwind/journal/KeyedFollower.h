#pragma once

#include "amaranthwind/base/Backoff.h"
#include "amaranthwind/base/Executor.h"
#include "amaranthwind/journal/KeyedLog.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace amaranthwind::journal {

/** Receives the records of a topic, on the executor of the follower. */
class FollowerObserver
{
public:
  virtual ~FollowerObserver() = default;
  /** The newest record of every key; replaces all that was known. */
  virtual void OnLoaded(std::span<const KeyedRecord> aNewest) = 0;
  virtual void OnRecords(std::span<const KeyedRecord> aRecords) = 0;
  /** Every record that was acknowledged before aAsOf has been handed over. */
  virtual void OnCurrent(base::TimePoint aAsOf) = 0;
  /** The log does not answer, after it did; or the first time. */
  virtual void OnUnavailable(const base::Error& aError) = 0;
};

struct FollowerOptions
{
  KeyedTopic topic;
  /**
   * How long the log holds a read at the end of the topic. The view is up to
   * this old when nothing changes.
   */
  base::Duration wait = std::chrono::milliseconds(600);
  base::BackoffOptions backoff{ std::chrono::milliseconds(50),
                                std::chrono::milliseconds(500) };
};

/**
 * Keeps one topic followed: loads the newest record of each key, then reads on
 * with waiting reads, and loads again when the log has dropped what follows.
 * Lives on one executor. Must outlive the handlers that the log still holds;
 * Stop() makes them do nothing.
 */
class KeyedFollower
{
public:
  KeyedFollower(FollowerOptions aOptions,
                const base::Clock& aClock,
                base::Executor& aExecutor,
                KeyedLog& aLog,
                FollowerObserver& aObserver);
  ~KeyedFollower();
  KeyedFollower(const KeyedFollower&) = delete;
  KeyedFollower& operator=(const KeyedFollower&) = delete;

  /** Thread-safe. */
  void Start();

  /**
   * Reads without waiting and calls aHandler with true once the view holds
   * all that was acknowledged before the call, or with false if the log does
   * not answer. Thread-safe; aHandler is called on the executor.
   */
  void Confirm(std::function<void(bool)> aHandler);

  /** Ends the work of the follower; call it on the executor. */
  void Stop();

private:
  struct State;
  std::shared_ptr<State> state;
};

} // namespace amaranthwind::journal
