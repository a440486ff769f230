#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthwind::harness {

/**
 * Connections to one address that never read. Sending ends when nothing is
 * accepted any more. The destructor closes the connections.
 */
class Crowd
{
public:
  /** Connections that are refused are kept, but send nothing. */
  Crowd(const std::string& aAddress, std::size_t aCount);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /**
   * Each connection sends the head and then the rest again and again, up to
   * the given number of bytes. All send at the same time.
   */
  void Send(std::string_view aHead, std::string_view aRest, std::size_t aBytes);
  /** Each connection sends the text once; one connection after the other. */
  void SendInTurn(std::string_view aText);

private:
  /** Returns the bytes that were accepted; 0 after a while without progress. */
  static std::size_t SendSome(int aSocket, std::string_view aText);

  std::vector<int> sockets;
};

} // namespace amaranthwind::harness
