#include "harness/Crowd.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <stdexcept>
#include <tuple>

namespace amaranthwind::harness {

namespace {

constexpr std::size_t kBlockBytes = std::size_t{ 64 } * 1024;
/** A connection that accepts nothing for this long is passed over. */
constexpr int kStallMs = 100;

/** Where in the text of head and rest a connection goes on. */
std::size_t
NextOffset(std::size_t aSent,
           std::string_view aHead,
           std::string_view aRest,
           std::string_view aText)
{
  if (aSent < aText.size() || aRest.empty()) {
    return std::min(aSent, aText.size());
  }
  return aHead.size() + (aSent - aHead.size()) % aRest.size();
}

} // namespace

Crowd::Crowd(const std::string& aAddress, std::size_t aCount)
{
  const std::size_t colon = aAddress.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
  for (std::size_t i = 0; i < aCount; ++i) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket < 0) {
      throw std::runtime_error("crowd: no more sockets");
    }
    this->sockets.push_back(socket);
    // One that is refused accepts nothing that is sent.
    std::ignore = connect(socket,
                          reinterpret_cast<const sockaddr*>(&address), // NOLINT
                          sizeof(address));
  }
}

Crowd::~Crowd()
{
  for (const int socket : this->sockets) {
    close(socket);
  }
}

void
Crowd::Send(std::string_view aHead, std::string_view aRest, std::size_t aBytes)
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
      const std::size_t left = aBytes - std::min(aBytes, sent[i]);
      const std::size_t count =
        SendSome(this->sockets[i], std::string_view(text).substr(offset, left));
      sent[i] += count;
      isProgressing = isProgressing || count > 0;
    }
  }
}

void
Crowd::SendInTurn(std::string_view aText)
{
  for (const int socket : this->sockets) {
    std::string_view left = aText;
    std::size_t count = 0;
    do {
      count = SendSome(socket, left);
      left.remove_prefix(count);
    } while (count > 0);
  }
}

std::size_t
Crowd::SendSome(int aSocket, std::string_view aText)
{
  pollfd poller{ aSocket, POLLOUT, 0 };
  if (aText.empty() || poll(&poller, 1, kStallMs) != 1) {
    return 0;
  }
  const ssize_t count =
    send(aSocket, aText.data(), aText.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  return count > 0 ? static_cast<std::size_t>(count) : 0;
}

} // namespace amaranthwind::harness
