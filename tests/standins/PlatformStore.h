#pragma once

#include "amaranthwind/frontend/HttpServer.h"
#include "amaranthwind/net/IoPool.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace amaranthwind::standins {

/**
 * In-memory stand-in for the log of the platform's metadata store. Supports
 * topics with the newest record of each key, conditional appends, producer
 * sequence numbers and waiting reads.
 */
class PlatformStore final : public frontend::HttpHandler
{
public:
  enum class Mode : std::uint8_t
  {
    Up,
    Down,        // Replies 503 and does nothing.
    DropReplies, // Appends without a reply.
  };

  explicit PlatformStore(net::IoPool& aPool);

  void Handle(frontend::HttpRequest aRequest,
              frontend::HttpResponder aRespond) override;

  /** Appends a record as the operator does, without HTTP. */
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue);
  void SetMode(Mode aMode);
  /**
   * From now on, each answer takes this long; the appends to a partition wait
   * for each other, and are refused if the queue is long.
   */
  void SetAnswerTime(std::chrono::milliseconds aTime);
  /** Appends since the start. */
  struct AppendCounts
  {
    std::size_t done = 0;
    /** Had no effect. */
    std::size_t refused = 0;
    /** Carried the number of an append that was done before. */
    std::size_t repeated = 0;
  };
  AppendCounts Appends();
  /** Discards all records except the newest of each key. */
  void Compact();

private:
  struct Partition
  {
    std::vector<std::pair<std::string, std::string>> records;
    std::uint64_t first = 0;
    /** Offset of the newest record of each key. */
    std::map<std::string, std::uint64_t> newest;
    struct Producer
    {
      std::uint64_t epoch = 0;
      std::uint64_t sequence = 0;
      std::uint64_t offset = 0;
    };
    std::map<std::string, Producer> producers;
  };
  struct WaitingRead
  {
    std::uint64_t id = 0;
    std::string partition;
    std::uint64_t from = 0;
    frontend::HttpResponder respond;
  };

  void HandleNow(const frontend::HttpRequest& aRequest,
                 const frontend::HttpResponder& aRespond);
  void HandleAppend(const frontend::HttpRequest& aRequest,
                    const frontend::HttpResponder& aRespond);
  void HandleAppendInTurn(frontend::HttpRequest aRequest,
                          frontend::HttpResponder aRespond);
  frontend::HttpResponse Append(const frontend::HttpRequest& aRequest);
  void Read(const frontend::HttpRequest& aRequest,
            const frontend::HttpResponder& aRespond);
  frontend::HttpResponse Newest(const frontend::HttpRequest& aRequest);
  static frontend::HttpResponse ReadNow(const Partition& aPartition,
                                        std::uint64_t aFrom);
  void AddRecord(Partition& aPartition, std::string aKey, std::string aValue);
  void CompleteWaitingReads(const std::string& aPartition);
  void TimeOutRead(std::uint64_t aId);

  net::IoPool& pool;
  std::mutex mutex;
  Mode mode = Mode::Up;
  std::chrono::milliseconds answerTime{ 0 };
  AppendCounts appends;
  std::map<std::string, Partition> partitions;
  /** Until when the partitions are busy with appends. */
  std::map<std::string, std::chrono::steady_clock::time_point> busyUntil;
  std::vector<WaitingRead> waitingReads;
  std::uint64_t lastReadId = 0;
};

} // namespace amaranthwind::standins
