#pragma once

#include "amaranthwind/base/Ids.h"
#include "amaranthwind/base/Result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthwind::job {

/** One step of one occurrence of a job. */
struct StepId
{
  base::JobId job;
  /** 0 for a job that does not repeat. */
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  auto operator<=>(const StepId&) const = default;
};

/** One task of a step. */
struct TaskId
{
  StepId step;
  std::uint32_t index = 0;

  auto operator<=>(const TaskId&) const = default;
};

/** One start of a task; runs are numbered from 1. */
struct TaskRun
{
  TaskId task;
  std::uint32_t run = 0;

  auto operator<=>(const TaskRun&) const = default;
};

/** "job.occurrence.step.index", the name under which a worker lists it. */
std::string
ToText(const TaskId& aTask);

/** Reads the form of ToText(). Errors: Malformed (subject: the text). */
base::Result<TaskId>
ParseTaskId(std::string_view aText);

} // namespace amaranthwind::job
