#pragma once

#include "amaranthwind/ledger/Records.h"

#include <string>
#include <string_view>

namespace amaranthwind::codec {

/** Encodes the records of the job topic as JSON. */
class LedgerCodec final : public ledger::RecordCodec
{
public:
  std::string EncodeWorkflow(const job::WorkflowSpec& aSpec) const override;
  base::Result<job::WorkflowSpec> DecodeWorkflow(
    std::string_view aValue) const override;
  std::string EncodeStep(const ledger::StepRecord& aStep) const override;
  base::Result<ledger::StepRecord> DecodeStep(
    std::string_view aValue) const override;
};

} // namespace amaranthwind::codec
