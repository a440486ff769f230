#pragma once

#include "amaranthwind/frontend/HttpServer.h"
#include "amaranthwind/net/IoPool.h"

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
  std::map<std::string, Partition> partitions;
  std::vector<WaitingRead> waitingReads;
  std::uint64_t lastReadId = 0;
};

} // namespace amaranthwind::standins
