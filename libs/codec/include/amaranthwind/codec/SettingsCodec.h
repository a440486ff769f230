#pragma once

#include "amaranthwind/base/Result.h"
#include "amaranthwind/settings/EntrySettings.h"
#include "amaranthwind/settings/SchedulerSettings.h"
#include "amaranthwind/settings/TargetSettings.h"

#include <string_view>
#include <vector>

namespace amaranthwind::codec {

/** A value, or all errors that were found (at most 64). */
template<typename T>
using CheckedResult =
  boost::outcome_v2::basic_result<T,
                                  std::vector<base::Error>,
                                  boost::outcome_v2::policy::all_narrow>;

/**
 * Decodes the settings file of a daemon, as described in docs/settings.md.
 * Reports all errors at once, so that an operator can correct the file in one
 * pass; the subject of each error is the path of the key.
 */
CheckedResult<settings::EntrySettings>
DecodeEntrySettings(std::string_view aText);

CheckedResult<settings::TargetSettings>
DecodeTargetSettings(std::string_view aText);

CheckedResult<settings::SchedulerSettings>
DecodeSchedulerSettings(std::string_view aText);

CheckedResult<settings::AgentSettings>
DecodeAgentSettings(std::string_view aText);

} // namespace amaranthwind::codec
