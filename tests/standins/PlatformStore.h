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
 * The log of the platform's metadata store, in memory: topics that keep the
 * newest record of each key, conditions, producers and waiting reads.
 */
class PlatformStore final : public frontend::HttpHandler
{
public:
  enum class Mode : std::uint8_t
  {
    Up,
    Down,        // Answers 503 and does nothing.
    LoseAnswers, // Appends are done and not answered.
  };

  explicit PlatformStore(net::IoPool& aPool);

  void Handle(frontend::HttpRequest aRequest,
              frontend::HttpResponder aRespond) override;

  /** A record of the operator, as the platform writes it. */
  void Put(const std::string& aTopic,
           const std::string& aKey,
           const std::string& aValue);
  void SetMode(Mode aMode);
  /** Drops all records; the newest of each key stay. */
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
  struct Wait
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
  void WakeReaders(const std::string& aPartition);
  void EndWait(std::uint64_t aId);

  net::IoPool& pool;
  std::mutex mutex;
  Mode mode = Mode::Up;
  std::map<std::string, Partition> partitions;
  std::vector<Wait> waits;
  std::uint64_t lastWait = 0;
};

} // namespace amaranthwind::standins
