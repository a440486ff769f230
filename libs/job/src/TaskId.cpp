#include "amaranthwind/job/TaskId.h"

#include <charconv>

namespace amaranthwind::job {

using base::ErrorCode;

namespace {

/** Removes the last dot and the number after it from aText. */
base::Result<std::uint32_t>
PopTrailingNumber(std::string_view& aText)
{
  const std::size_t dot = aText.rfind('.');
  if (dot == std::string_view::npos) {
    return base::Fail(ErrorCode::Malformed, aText);
  }
  const std::string_view digits = aText.substr(dot + 1);
  std::uint32_t number = 0;
  const auto parsed =
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (digits.empty() || parsed.ec != std::errc() ||
      parsed.ptr != digits.data() + digits.size()) {
    return base::Fail(ErrorCode::Malformed, aText);
  }
  aText = aText.substr(0, dot);
  return number;
}

} // namespace

std::string
ToText(const TaskId& aTask)
{
  std::string text = aTask.step.job.Text();
  for (const std::uint32_t number :
       { aTask.step.occurrence, aTask.step.step, aTask.index }) {
    text += '.';
    text += std::to_string(number);
  }
  return text;
}

base::Result<TaskId>
ParseTaskId(std::string_view aText)
{
  TaskId task;
  std::string_view rest = aText;
  BOOST_OUTCOME_TRY(task.index, PopTrailingNumber(rest));
  BOOST_OUTCOME_TRY(task.step.step, PopTrailingNumber(rest));
  BOOST_OUTCOME_TRY(task.step.occurrence, PopTrailingNumber(rest));
  if (rest.empty()) {
    return base::Fail(ErrorCode::Malformed, aText);
  }
  task.step.job = base::JobId(rest);
  return task;
}

} // namespace amaranthwind::job
