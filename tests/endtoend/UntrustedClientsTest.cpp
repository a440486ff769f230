// Clients that are not under anybody's control: a process stays alive and
// within its memory and descriptors whatever they send, and answers others
// afterwards.

#include "UntrustedFixture.h"
#include "harness/Crowd.h"
#include "harness/ProcessUse.h"

#include <doctest/doctest.h>

#include <chrono>
#include <list>
#include <string>
#include <string_view>
#include <thread>

using namespace amaranthwind;
using namespace std::chrono_literals;
using endtoend::kHttpListeners;
using endtoend::kSchedulerListeners;
using endtoend::Listener;
using endtoend::UntrustedFixture;
using harness::Crowd;

namespace {

/** Many connections that send what is still allowed, and do not go on. */
constexpr std::size_t kManyConnections = 400;
/** More connections than a listener takes. */
constexpr std::size_t kTooManyConnections = 1100;

constexpr std::string_view kChunkedHead =
  "POST /q/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: jobs.example\r\n"
  "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against a process that runs out of memory because it keeps the
// trailers of a chunked body until their end.
TEST_CASE("untrusted clients: trailers without end")
{
  UntrustedFixture fixture;
  fixture.CheckHttpFlood(std::string(kChunkedHead) + "0\r\n",
                         "X-Trailer: value\r\n");
}

// Guards against keeping a header section until its end.
TEST_CASE("untrusted clients: header lines without end")
{
  UntrustedFixture fixture;
  fixture.CheckHttpFlood("GET /q/ HTTP/1.1\r\n", "X-Header: value\r\n");
}

// Guards against keeping the extensions of a chunk until their end.
TEST_CASE("untrusted clients: chunk extensions without end")
{
  UntrustedFixture fixture;
  fixture.CheckHttpFlood(std::string(kChunkedHead) + "5;a=",
                         "0123456789abcdef");
}

// Guards against a chunk size that overflows or is taken for an amount to keep.
TEST_CASE("untrusted clients: chunk sizes of 16 digits")
{
  UntrustedFixture fixture;
  fixture.CheckHttpFlood(std::string(kChunkedHead) + "FFFFFFFFFFFFFFF0\r\n",
                         "0123456789abcdef");
}

// Guards against chunks that are each allowed but have no end together.
TEST_CASE("untrusted clients: chunks of one byte without end")
{
  UntrustedFixture fixture;
  fixture.CheckHttpFlood(kChunkedHead, "1;extension=0123456789\r\nx\r\n");
}

// Guards against a queue of requests, or of answers that nobody reads.
TEST_CASE("untrusted clients: pipelined requests whose answers are not read")
{
  UntrustedFixture fixture;
  fixture.CheckHttpFlood("", "GET /q/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n");
}

// Guards against bodies that are each allowed but exceed the memory together.
TEST_CASE("untrusted clients: bodies that are announced and not completed")
{
  UntrustedFixture fixture;
  constexpr std::size_t kBodyBytes = std::size_t{ 256 } * 1024;
  const std::string head =
    "POST /q/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: jobs.example\r\n"
    "Content-Length: " +
    std::to_string(kBodyBytes) + "\r\n\r\n";
  for (const Listener listener : kHttpListeners) {
    CAPTURE(static_cast<int>(listener));
    Crowd crowd(fixture.At(listener).address, kManyConnections);
    crowd.Send(head, "0123456789abcdef", kBodyBytes);
    fixture.CheckHolds(listener);
  }
}

// Guards against refusing everybody while idle connections, or ones that send a
// byte now and then, hold all places.
TEST_CASE("untrusted clients: more connections than a listener takes")
{
  UntrustedFixture fixture;
  std::string_view request;
  SUBCASE("that send nothing") {}
  SUBCASE("that send a part of a header")
  {
    request = "GET /q/ HTTP/1.1\r\nHost: job";
  }
  for (const Listener listener : kHttpListeners) {
    CAPTURE(static_cast<int>(listener));
    Crowd crowd(fixture.At(listener).address, kTooManyConnections);
    for (const char& byte : request) {
      crowd.Send(std::string_view(&byte, 1), "", 1);
    }
    fixture.CheckHolds(listener);
  }
}
