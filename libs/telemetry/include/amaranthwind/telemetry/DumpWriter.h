#pragma once

#include "amaranthwind/base/StrongId.h"

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string_view>
#include <variant>

namespace amaranthwind::telemetry {

/** A value in a dump. Text is referenced, not owned. */
struct DumpValue
{
  DumpValue(std::string_view aText)
    : value(aText)
  {
  }
  DumpValue(const char* aText)
    : value(std::string_view(aText))
  {
  }
  DumpValue(bool aValue)
    : value(aValue)
  {
  }
  DumpValue(double aValue)
    : value(aValue)
  {
  }
  DumpValue(std::signed_integral auto aValue)
    : value(std::int64_t{ aValue })
  {
  }
  template<std::unsigned_integral T>
  requires(!std::same_as<T, bool>) DumpValue(T aValue)
    : value(std::uint64_t{ aValue })
  {
  }
  template<typename Tag>
  DumpValue(const base::StrongId<Tag>& aId)
    : value(aId.View())
  {
  }
  template<typename Tag, typename Value>
  DumpValue(base::StrongNumber<Tag, Value> aNumber)
    : DumpValue(aNumber.Get())
  {
  }

  std::variant<std::string_view, bool, double, std::int64_t, std::uint64_t>
    value;
};

/**
 * Writes one section of a dump: named values first, then tables. Once the
 * section reaches its size limit, further output is ignored and the section is
 * marked as truncated; a source may check IsFull() to stop early.
 */
class DumpWriter
{
public:
  virtual ~DumpWriter() = default;

  virtual void Value(std::string_view aName, DumpValue aValue) = 0;
  /** Begins a table; subsequent rows are added to it. */
  virtual void Table(std::string_view aName,
                     std::span<const std::string_view> aColumns) = 0;
  /** Adds a row to the current table, with one value per column. */
  virtual void Row(std::span<const DumpValue> aValues) = 0;
  virtual bool IsFull() const noexcept = 0;

  void Table(std::string_view aName,
             std::initializer_list<std::string_view> aColumns)
  {
    this->Table(aName, std::span(aColumns.begin(), aColumns.size()));
  }
  void Row(std::initializer_list<DumpValue> aValues)
  {
    this->Row(std::span(aValues.begin(), aValues.size()));
  }
};

} // namespace amaranthwind::telemetry
