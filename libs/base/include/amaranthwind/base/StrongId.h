#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace amaranthwind::base {

/**
 * Strongly typed string identifier. The tag makes identifiers of different
 * kinds distinct types, so that they cannot be mixed up.
 */
template<typename Tag>
class StrongId
{
public:
  StrongId() = default;
  explicit StrongId(std::string_view aText)
    : text(aText)
  {
  }

  std::string_view View() const noexcept { return this->text; }
  const std::string& Text() const noexcept { return this->text; }
  bool IsEmpty() const noexcept { return this->text.empty(); }

  auto operator<=>(const StrongId&) const = default;

private:
  std::string text;
};

/** Strongly typed integer, for example an offset or a table index. */
template<typename Tag, typename Value = std::uint64_t>
class StrongNumber
{
public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(Value aValue)
    : value(aValue)
  {
  }

  constexpr Value Get() const noexcept { return this->value; }
  constexpr auto operator<=>(const StrongNumber&) const = default;

private:
  Value value{};
};

} // namespace amaranthwind::base

template<typename Tag>
struct std::hash<amaranthwind::base::StrongId<Tag>>
{
  std::size_t operator()(
    const amaranthwind::base::StrongId<Tag>& aId) const noexcept
  {
    return std::hash<std::string_view>{}(aId.View());
  }
};

template<typename Tag, typename Value>
struct std::hash<amaranthwind::base::StrongNumber<Tag, Value>>
{
  std::size_t operator()(
    const amaranthwind::base::StrongNumber<Tag, Value>& aNumber) const noexcept
  {
    return std::hash<Value>{}(aNumber.Get());
  }
};
