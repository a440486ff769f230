#include "amaranthwind/job/TaskId.h"

#include <doctest/doctest.h>

using namespace amaranthwind;
using namespace amaranthwind::job;

TEST_CASE("a task id is unchanged by formatting and parsing")
{
  const TaskId task{ { base::JobId("5c0e7a21d94b36f8"), 2, 1 }, 17 };
  CHECK(ToText(task) == "5c0e7a21d94b36f8.2.1.17");
  CHECK(ParseTaskId(ToText(task)).value() == task);
}

// Guards against the name of a foreign task being taken for a task id.
TEST_CASE("malformed task ids are rejected")
{
  for (const char* text :
       { "", "x", "x.1.2", ".0.0.0", "x.0.0.", "x.0.0.-1", "x.0.0.1a" }) {
    CAPTURE(text);
    CHECK(ParseTaskId(text).has_error());
  }
}
