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

// Guards against keeping the buffer of a request as long as its connection is
// open: each request is complete, so that none counts as incomplete.
TEST_CASE("untrusted clients: large requests on connections that stay open")
{
  UntrustedFixture fixture;
  constexpr std::size_t kConnections = 1000;
  constexpr std::size_t kExtensionBytes = std::size_t{ 70 } * 1024;
  const std::string request = std::string(kChunkedHead) +
                              "1;a=" + std::string(kExtensionBytes, 'x') +
                              "\r\nx\r\n0\r\n\r\n";
  for (const Listener listener : kHttpListeners) {
    CAPTURE(static_cast<int>(listener));
    Crowd crowd(fixture.At(listener).address, kConnections);
    crowd.SendInTurn(request);
    fixture.CheckHolds(listener);
  }
}

// Guards against limits that hold for each listener, but not for all listeners
// of a process together.
TEST_CASE("untrusted clients: incomplete requests at all listeners at once")
{
  UntrustedFixture fixture;
  constexpr std::size_t kConnections = 100;
  constexpr std::size_t kBodyBytes = std::size_t{ 256 } * 1024;
  constexpr std::size_t kFrameBytes = std::size_t{ 1024 } * 1024;
  const std::string head = "POST / HTTP/1.1\r\nHost: jobs.example\r\n"
                           "Content-Length: " +
                           std::to_string(kBodyBytes) + "\r\n\r\n";
  const std::string frame("\0\0\x10\0", 4);
  std::list<Crowd> crowds;
  for (const Listener listener : kSchedulerListeners) {
    crowds.emplace_back(fixture.At(listener).address, kConnections);
    if (listener == Listener::Peers) {
      crowds.back().Send(frame, "0123456789abcdef", kFrameBytes);
    } else if (listener == Listener::SchedulerAdmin) {
      // Bodies of this size are refused there.
      crowds.back().Send(
        std::string(kChunkedHead) + "5;a=", "0123456789abcdef", kBodyBytes / 4);
    } else {
      crowds.back().Send(head, "0123456789abcdef", kBodyBytes);
    }
  }
  fixture.CheckHolds(Listener::Clients);
}

// Guards against listeners that each keep to their number of connections and
// together open more descriptors than the VM has.
TEST_CASE("untrusted clients: connections to all listeners at once")
{
  UntrustedFixture fixture;
  std::list<Crowd> crowds;
  for (const Listener listener : kSchedulerListeners) {
    crowds.emplace_back(fixture.At(listener).address, kTooManyConnections);
  }
  fixture.CheckHolds(Listener::Clients);
}

// Guards against a listener that tries again and again to accept a connection
// for which there is no descriptor, and against a process that cannot open the
// connections that it needs itself.
TEST_CASE("untrusted clients: more connections than descriptors")
{
  UntrustedFixture fixture;
  constexpr std::size_t kDescriptors = 128;
  constexpr std::size_t kConnections = 200;
  constexpr auto kSpan = 3s;
  constexpr auto kMaxProcessorTime = 1s;
  for (const Listener listener : { Listener::Clients,
                                   Listener::Readiness,
                                   Listener::Registration,
                                   Listener::SchedulerAdmin,
                                   Listener::AgentAdmin,
                                   Listener::Peers }) {
    CAPTURE(static_cast<int>(listener));
    const auto daemon = fixture.At(listener);
    harness::LimitDescriptors(daemon.process->Pid(), kDescriptors);
    Crowd crowd(daemon.address, kConnections);
    const auto before = harness::ProcessorTimeOf(daemon.process->Pid());
    std::this_thread::sleep_for(kSpan);
    CHECK(harness::ProcessorTimeOf(daemon.process->Pid()) - before <=
          kMaxProcessorTime);
    fixture.CheckHolds(listener);
  }
}

// Guards against keeping complete requests, whatever they take together, while
// the log does not answer.
TEST_CASE("untrusted clients: complete requests that wait for the log")
{
  UntrustedFixture fixture;
  std::string body = R"({"spec":"10","steps":[{"cpu":1})";
  constexpr std::size_t kSteps = 255;
  constexpr std::size_t kDependencies = 380;
  for (std::size_t i = 0; i < kSteps; ++i) {
    body += R"(,{"cpu":1,"depends-on":[0)";
    for (std::size_t k = 1; k < kDependencies; ++k) {
      body += ",0";
    }
    body += "]}";
  }
  body += "]}";
  const auto makeRequest = [&](std::size_t aNumber) {
    return "POST /q/" + std::to_string(1'000'000'000'000'000 + aNumber) +
           " HTTP/1.1\r\nHost: jobs.example\r\nApi-Key: key-1\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  };
  fixture.deployment.store.SetAnswerTime(20s);
  std::list<Crowd> crowd;
  for (std::size_t i = 0; i < kManyConnections; ++i) {
    crowd.emplace_back(fixture.At(Listener::Clients).address, 1);
    crowd.back().SendInTurn(makeRequest(i));
  }
  std::this_thread::sleep_for(1s);
  fixture.deployment.store.SetAnswerTime(0ms);
  fixture.CheckHolds(Listener::Clients);
}
