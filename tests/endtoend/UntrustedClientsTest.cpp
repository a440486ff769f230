// Clients that are not under anybody's control: a process stays alive and
// within its memory and descriptors whatever they send, and answers others
// afterwards.

#include "harness/PlatformDeployment.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <string>
#include <string_view>
#include <vector>

using namespace amaranthwind;
using harness::PlatformDeployment;

namespace {

/** Half of the memory of the smallest VM of a scheduler. */
constexpr std::size_t kMaxMemoryKiB = std::size_t{ 60 } * 1024;
/** Descriptors of the smallest VM of a scheduler, less those for files. */
constexpr std::size_t kMaxDescriptors = 2875;

/** Few connections that send much. */
constexpr std::size_t kFewConnections = 8;
constexpr std::size_t kBytesOfEach = std::size_t{ 16 } * 1024 * 1024;
/** Many connections that send what is still allowed, and do not go on. */
constexpr std::size_t kManyConnections = 400;
/** More connections than a listener takes. */
constexpr std::size_t kTooManyConnections = 1100;

constexpr std::string_view kJobId = "5c0e7a21d94b36f8";
constexpr std::string_view kBody = R"({"spec":"10","steps":[{"cpu":1}]})";

/** Connections to one address that never read. Sending ends if nothing is
 * accepted any more. */
class Crowd
{
public:
  Crowd(const std::string& aAddress, std::size_t aCount)
  {
    const std::size_t colon = aAddress.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
    inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
    for (std::size_t i = 0; i < aCount; ++i) {
      const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      REQUIRE(socket >= 0);
      this->sockets.push_back(socket);
      // One that is refused sends nothing.
      const int isConnected =
        connect(socket,
                reinterpret_cast<const sockaddr*>(&address), // NOLINT
                sizeof(address));
      WARN(isConnected == 0);
    }
  }
  ~Crowd()
  {
    for (const int socket : this->sockets) {
      close(socket);
    }
  }
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /** Each connection sends the head and then the rest again and again. */
  void Send(std::string_view aHead, std::string_view aRest, std::size_t aBytes)
  {
    std::string text(aHead);
    while (!aRest.empty() && text.size() < kBlockBytes) {
      text += aRest;
    }
    std::vector<std::size_t> sent(this->sockets.size(), 0);
    bool isProgressing = true;
    while (isProgressing) {
      isProgressing = false;
      for (std::size_t i = 0; i < this->sockets.size(); ++i) {
        const std::size_t offset = NextOffset(sent[i], aHead, aRest, text);
        const std::size_t left =
          std::min(text.size() - offset, aBytes - std::min(aBytes, sent[i]));
        pollfd poller{ this->sockets[i], POLLOUT, 0 };
        if (left == 0 || poll(&poller, 1, kStallMs) != 1) {
          continue;
        }
        const ssize_t count = send(this->sockets[i],
                                   text.data() + offset,
                                   left,
                                   MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count > 0) {
          sent[i] += static_cast<std::size_t>(count);
          isProgressing = true;
        }
      }
    }
  }

private:
  static constexpr std::size_t kBlockBytes = std::size_t{ 64 } * 1024;
  /** A connection that accepts nothing for this long is passed over. */
  static constexpr int kStallMs = 100;

  /** Where in the text of head and rest a connection goes on. */
  static std::size_t NextOffset(std::size_t aSent,
                                std::string_view aHead,
                                std::string_view aRest,
                                std::string_view aText)
  {
    if (aSent < aText.size() || aRest.empty()) {
      return std::min(aSent, aText.size());
    }
    return aHead.size() + (aSent - aHead.size()) % aRest.size();
  }

  std::vector<int> sockets;
};

/** Peak of the resident memory of the process in KiB; 0 if it has ended. */
std::size_t
PeakMemoryOf(pid_t aProcess)
{
  std::ifstream status("/proc/" + std::to_string(aProcess) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmHWM:")) {
      return std::stoul(line.substr(line.find_first_of("0123456789")));
    }
  }
  return 0;
}

std::size_t
DescriptorsOf(pid_t aProcess)
{
  const std::filesystem::directory_iterator entries(
    "/proc/" + std::to_string(aProcess) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

/** A daemon of a deployment with an address that anybody can reach. */
struct Daemon
{
  std::string address;
  harness::Process* process = nullptr;
};

enum class Listener : std::uint8_t
{
  Clients,
  Readiness,
  Registration,
};

constexpr Listener kListeners[] = { Listener::Clients,
                                    Listener::Readiness,
                                    Listener::Registration };

struct Fixture
{
  Fixture() { REQUIRE(this->deployment.Start()); }

  Daemon At(Listener aListener)
  {
    auto& scheduler = this->deployment.schedulers[0];
    auto& worker = this->deployment.workers[0];
    switch (aListener) {
      case Listener::Clients:
        return { scheduler.client, scheduler.process.get() };
      case Listener::Readiness:
        return { scheduler.ready, scheduler.process.get() };
      case Listener::Registration:
        break;
    }
    return { worker.registration, worker.agent.get() };
  }

  /** Checks what must hold while the crowd is connected. */
  void CheckHolds(Listener aListener)
  {
    const Daemon daemon = this->At(aListener);
    REQUIRE_FALSE(daemon.process->WaitFor(std::chrono::milliseconds(0)));
    CHECK(PeakMemoryOf(daemon.process->Pid()) <= kMaxMemoryKiB);
    CHECK(DescriptorsOf(daemon.process->Pid()) <= kMaxDescriptors);
    auto& scheduler = this->deployment.schedulers[0];
    // A client that is refused or cut off sends its request again.
    CHECK(PlatformDeployment::WaitUntil([&] {
      return this->deployment.Send(
               scheduler, "POST", kJobId, std::string(kBody)) == 200;
    }));
    CHECK(PlatformDeployment::WaitUntil([&] {
      return this->deployment.State(scheduler, kJobId) == "completed";
    }));
    CHECK(PlatformDeployment::WaitUntil(
      [&] { return this->deployment.ReadyStatus(scheduler) == 200; }));
  }

  void CheckFlood(std::string_view aHead, std::string_view aRest)
  {
    for (const Listener listener : kListeners) {
      CAPTURE(static_cast<int>(listener));
      Crowd crowd(this->At(listener).address, kFewConnections);
      crowd.Send(aHead, aRest, kBytesOfEach);
      this->CheckHolds(listener);
    }
  }

  PlatformDeployment deployment{ 1, 1 };
};

constexpr std::string_view kChunkedHead =
  "POST /q/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: jobs.example\r\n"
  "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against a process that runs out of memory because it keeps the
// trailers of a chunked body until their end.
TEST_CASE("untrusted clients: trailers without end")
{
  Fixture fixture;
  fixture.CheckFlood(std::string(kChunkedHead) + "0\r\n",
                     "X-Trailer: value\r\n");
}

// Guards against keeping a header section until its end.
TEST_CASE("untrusted clients: header lines without end")
{
  Fixture fixture;
  fixture.CheckFlood("GET /q/ HTTP/1.1\r\n", "X-Header: value\r\n");
}

// Guards against keeping the extensions of a chunk until their end.
TEST_CASE("untrusted clients: chunk extensions without end")
{
  Fixture fixture;
  fixture.CheckFlood(std::string(kChunkedHead) + "5;a=", "0123456789abcdef");
}

// Guards against a chunk size that overflows or is taken for an amount to keep.
TEST_CASE("untrusted clients: chunk sizes of 16 digits")
{
  Fixture fixture;
  fixture.CheckFlood(std::string(kChunkedHead) + "FFFFFFFFFFFFFFF0\r\n",
                     "0123456789abcdef");
}

// Guards against chunks that are each allowed but have no end together.
TEST_CASE("untrusted clients: chunks of one byte without end")
{
  Fixture fixture;
  fixture.CheckFlood(kChunkedHead, "1;extension=0123456789\r\nx\r\n");
}

// Guards against a queue of requests, or of answers that nobody reads.
TEST_CASE("untrusted clients: pipelined requests whose answers are not read")
{
  Fixture fixture;
  fixture.CheckFlood("", "GET /q/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n");
}

// Guards against bodies that are each allowed but exceed the memory together.
TEST_CASE("untrusted clients: bodies that are announced and not completed")
{
  Fixture fixture;
  constexpr std::size_t kBodyBytes = std::size_t{ 256 } * 1024;
  const std::string head =
    "POST /q/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: jobs.example\r\n"
    "Content-Length: " +
    std::to_string(kBodyBytes) + "\r\n\r\n";
  for (const Listener listener : kListeners) {
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
  Fixture fixture;
  std::string_view request;
  SUBCASE("that send nothing") {}
  SUBCASE("that send a part of a header")
  {
    request = "GET /q/ HTTP/1.1\r\nHost: job";
  }
  for (const Listener listener : kListeners) {
    CAPTURE(static_cast<int>(listener));
    Crowd crowd(fixture.At(listener).address, kTooManyConnections);
    for (const char& byte : request) {
      crowd.Send(std::string_view(&byte, 1), "", 1);
    }
    fixture.CheckHolds(listener);
  }
}
