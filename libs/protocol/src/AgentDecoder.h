#pragma once

#include "amaranthwind/base/Result.h"
#include "amaranthwind/protocol/Messages.h"
#include "envelope_generated.h"

namespace amaranthwind::protocol {

// All overloads may fail with MissingField, OutOfRange or Malformed (task id).

base::Result<Message>
Decode(const wire::AgentReport& aReport);
base::Result<Message>
Decode(const wire::AgentReportPart& aPart);
base::Result<Message>
Decode(const wire::AgentGrant& aGrant);
base::Result<Message>
Decode(const wire::AgentAck& aAck);
base::Result<Message>
Decode(const wire::AgentStart& aStart);
base::Result<Message>
Decode(const wire::AgentStop& aStop);
base::Result<Message>
Decode(const wire::AgentOutcome& aOutcome);
base::Result<Message>
Decode(const wire::LeaderNotice& aNotice);
base::Result<Message>
Decode(const wire::AppendRecord& aAppend);
base::Result<Message>
Decode(const wire::AppendRecordReply& aReply);

} // namespace amaranthwind::protocol
