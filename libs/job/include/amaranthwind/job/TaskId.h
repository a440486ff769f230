#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/base/Result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthwind::job {

/** Identifies one step of one occurrence of a job. */
struct StepId
{
  base::JobId job;
  /** 0 for a job that does not repeat. */
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  auto operator<=>(const StepId&) const = default;
};

/** Identifies one task of a step by its index within the step. */
struct TaskId
{
  StepId step;
  std::uint32_t index = 0;

  auto operator<=>(const TaskId&) const = default;
};

/** Identifies one run of a task; runs are numbered from 1. */
struct TaskRun
{
  TaskId task;
  std::uint32_t run = 0;

  auto operator<=>(const TaskRun&) const = default;
};

/**
 * Formats the id as "job.occurrence.step.index", the name that workers report.
 */
std::string
ToText(const TaskId& aTask);

/** Parses the output of ToText(). Errors: Malformed (subject: the text). */
base::Result<TaskId>
ParseTaskId(std::string_view aText);

} // namespace amaranthwind::job
