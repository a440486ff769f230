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

/** Receives the records of a topic. Called on the executor of the follower. */
class FollowerObserver
{
public:
  virtual ~FollowerObserver() = default;
  /** Delivers the newest record of every key, replacing all earlier records. */
  virtual void OnLoaded(std::span<const KeyedRecord> aNewest) = 0;
  virtual void OnRecords(std::span<const KeyedRecord> aRecords) = 0;
  /** All records acknowledged before aAsOf have been delivered. */
  virtual void OnCurrent(base::TimePoint aAsOf) = 0;
  /**
   * The log is unavailable, initially or after it was available. Called once
   * per outage.
   */
  virtual void OnUnavailable(const base::Error& aError) = 0;
  /**
   * The log answers again after OnUnavailable(); records may still be missing.
   */
  virtual void OnAvailable() {}
};

struct FollowerOptions
{
  KeyedTopic topic;
  /**
   * Long-poll timeout of reads at the end of the topic. The view may be
   * up to this old when nothing changes.
   */
  base::Duration wait = std::chrono::milliseconds(600);
  base::BackoffOptions backoff{ std::chrono::milliseconds(50),
                                std::chrono::milliseconds(500) };
};

/**
 * Follows one topic: loads the newest record of each key, then continues with
 * long-polling reads, and reloads if the log has dropped the next records. Must
 * be used on one executor. Must outlive the handlers still held by the log;
 * Stop() turns them into no-ops.
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
   * Reads without waiting and calls aHandler with true once the view contains
   * all records acknowledged before the call, or with false if the log is
   * unavailable. Thread-safe; aHandler is called on the executor.
   */
  void Confirm(std::function<void(bool)> aHandler);

  /** Stops the follower. Must be called on the executor. */
  void Stop();

private:
  struct State;
  std::shared_ptr<State> state;
};

} // namespace amaranthwind::journal
