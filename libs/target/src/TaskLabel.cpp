#include "TaskLabel.h"

#include "amaranthwind/protocol/FrameCodec.h"

#include <boost/algorithm/hex.hpp>

#include <cstddef>
#include <iterator>
#include <vector>

namespace amaranthwind::target {

std::string
MakeTaskId(const gang::AttemptKey& aKey, gang::Rank aRank)
{
  return aKey.gang.job.Text() + "." + std::to_string(aKey.gang.attempt.Get()) +
         "." + std::to_string(aKey.planToken.Get()) + "." +
         std::to_string(aRank);
}

std::string
EncodeTaskLabel(const gang::AdoptTask& aTask)
{
  auto plan = std::make_shared<job::GangPlan>(*aTask.plan);
  plan->payload.clear();
  const gang::Prepare prepare{ { aTask.cell, plan->token }, plan, aTask.rank };
  const auto frame =
    protocol::EncodeFrame({ protocol::CorrelationId(0), false, prepare });
  std::string label;
  const auto* first = reinterpret_cast<const unsigned char*>(frame.data());
  boost::algorithm::hex_lower(first + protocol::kFrameHeaderBytes,
                              first + frame.size(),
                              std::back_inserter(label));
  return label;
}

base::Result<gang::AdoptTask>
DecodeTaskLabel(std::string_view aLabel)
{
  std::vector<std::byte> bytes;
  try {
    std::vector<unsigned char> decoded;
    boost::algorithm::unhex(
      aLabel.begin(), aLabel.end(), std::back_inserter(decoded));
    const auto* first = reinterpret_cast<const std::byte*>(decoded.data());
    bytes.assign(first, first + decoded.size());
  } catch (const boost::algorithm::hex_decode_error&) {
    return base::Fail(base::ErrorCode::Malformed, "task label");
  }
  BOOST_OUTCOME_TRY(const auto envelope, protocol::DecodeFrame(bytes));
  const auto* prepare = std::get_if<gang::Prepare>(&envelope.message);
  if (prepare == nullptr) {
    return base::Fail(base::ErrorCode::Malformed, "task label");
  }
  return gang::AdoptTask{
    prepare->fence.cell, prepare->plan, prepare->rank, {}
  };
}

} // namespace amaranthwind::target
