#pragma once

#include "amaranthwind/frontend/HttpServer.h"
#include "amaranthwind/net/IoPool.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace amaranthwind::standins {

/**
 * Stand-in for the platform's append-only log service, in memory.
 *
 * POST /streams/<name>/records appends, GET /streams/<name>/records?from=&max=
 * reads. POST /control with {"mode": "up" | "down" | "lose-answers",
 * "delayMs": N, "keepRecords": N} injects faults: "lose-answers" appends and
 * never replies.
 */
class LogService final : public frontend::HttpHandler
{
public:
  explicit LogService(net::IoPool& aPool);

  void Handle(frontend::HttpRequest aRequest,
              frontend::HttpResponder aRespond) override;

private:
  enum class Mode
  {
    Up,
    Down,
    DropReplies,
  };

  struct Stream
  {
    std::uint64_t first = 0;
    std::deque<std::string> records;
  };

  frontend::HttpResponse Control(const std::string& aBody);
  frontend::HttpResponse Append(Stream& aStream, std::string aBody);
  frontend::HttpResponse Read(const Stream& aStream,
                              const frontend::HttpRequest& aRequest) const;
  frontend::HttpResponse Serve(frontend::HttpRequest& aRequest,
                               std::string_view aStream);

  net::IoPool& pool;
  std::mutex mutex;
  Mode mode = Mode::Up;
  std::chrono::milliseconds delay{ 0 };
  std::size_t keepRecords = SIZE_MAX;
  std::map<std::string, Stream, std::less<>> streams;
};

} // namespace amaranthwind::standins
