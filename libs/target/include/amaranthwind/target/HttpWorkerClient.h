#pragma once

#include "amaranthwind/frontend/HttpClient.h"
#include "amaranthwind/target/WorkerClient.h"

namespace amaranthwind::target {

/** Client of a worker that serves /tasks over HTTP, see docs/api.md. */
class HttpWorkerClient final : public WorkerClient
{
public:
  HttpWorkerClient(net::IoPool& aPool,
                   const frontend::HttpClientOptions& aOptions);

  void Start(const TaskSpec& aTask, TaskHandler aHandler) override;
  void Renew(std::string_view aId,
             std::chrono::milliseconds aLease,
             TaskHandler aHandler) override;
  void Stop(std::string_view aId,
            bool aWithCheckpoint,
            TaskHandler aHandler) override;
  void List(TaskListHandler aHandler) override;

private:
  void Post(std::string aPath, std::string aBody, TaskHandler aHandler);

  frontend::HttpClient client;
};

} // namespace amaranthwind::target
