#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace amaranthwind::entry {

/**
 * Classifies callers as small or large: a small caller sent less than an equal
 * share of its account's requests in the last two windows. Counters are indexed
 * by hash, so callers whose hashes collide are counted as one.
 * CountAndIsSmall() is thread-safe and lock-free and does not allocate.
 */
class CallerSizes
{
public:
  /** Counts a request of the caller; returns true if the caller is small. */
  bool CountAndIsSmall(std::string_view aAccount,
                       std::string_view aCaller) noexcept;
  /** Starts a new window. Must be called by one thread at a time. */
  void Rotate() noexcept;

private:
  static constexpr std::size_t kCallerSlots = 16384;
  static constexpr std::size_t kAccountSlots = 1024;

  struct Window
  {
    std::atomic<std::uint32_t> current{ 0 };
    std::atomic<std::uint32_t> previous{ 0 };

    std::uint32_t Add() noexcept;
    std::uint32_t Sum() const noexcept;
    void Rotate() noexcept;
  };
  struct Account
  {
    Window requests;
    Window callers;
  };

  std::array<Window, kCallerSlots> callers;
  std::array<Account, kAccountSlots> accounts;
};

} // namespace amaranthwind::entry
