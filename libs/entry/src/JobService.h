#pragma once

#include "CellService.h"
#include "MembershipService.h"
#include "PolicyKeeper.h"
#include "amaranthwind/frontend/HttpServer.h"
#include "amaranthwind/peering/EntryLinks.h"

#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <vector>

namespace amaranthwind::entry {

/**
 * The job API for callers. Handles a request with a cell of this entry or
 * forwards it to the entry that coordinates the cell. Thread-safe.
 */
class JobService
{
public:
  JobService(const base::ZoneId& aDefaultZone,
             std::span<const std::unique_ptr<CellService>> aCells,
             PolicyKeeper& aPolicy,
             MembershipService& aMembership,
             protocol::Node& aNode);

  /** Links to other coordinators; must be called before the first request. */
  void SetLinks(const peering::EntryLinks& aLinks) { this->links = &aLinks; }

  /** POST /v1/jobs, GET and DELETE /v1/jobs/<id>. */
  void Handle(const frontend::HttpRequest& aRequest,
              const frontend::HttpResponder& aRespond);

  /** Handles a request that another entry forwarded; never forwards it again.
   */
  void HandleForwarded(protocol::ConnectionId aConnection,
                       protocol::CorrelationId aCorrelation,
                       const protocol::ForwardJob& aForward);

private:
  void Submit(const frontend::HttpRequest& aRequest,
              const frontend::HttpResponder& aRespond,
              bool aIsForwarded);
  void Query(std::string_view aId,
             const frontend::HttpRequest& aRequest,
             const frontend::HttpResponder& aRespond,
             bool aIsForwarded);
  void Cancel(std::string_view aId,
              const frontend::HttpRequest& aRequest,
              const frontend::HttpResponder& aRespond,
              bool aIsForwarded);
  void Dispatch(const frontend::HttpRequest& aRequest,
                const frontend::HttpResponder& aRespond,
                bool aIsForwarded);
  base::Result<job::JobSpec> ParseSpec(const frontend::HttpRequest& aRequest);
  base::ZoneId ChooseZone(const job::JobSpec& aSpec) const;
  /** Queries the cells in turn until one of them knows the job. */
  void FindJob(std::size_t aCell,
               const base::JobId& aJob,
               std::function<void(CellService*, const JobResult&)> aHandler);
  /** For a job that no local cell has accepted. */
  void AnswerUnknown(const JobResult& aResult,
                     const frontend::HttpRequest& aRequest,
                     const frontend::HttpResponder& aRespond,
                     bool aIsForwarded);
  /** For a job that no local cell knows: queries other coordinators in turn. */
  void QueryCoordinators(std::size_t aCell,
                         const frontend::HttpRequest& aRequest,
                         const frontend::HttpResponder& aRespond,
                         bool aIsForwarded);
  /** Returns false if no link to the zone's coordinator is up. */
  bool Forward(const base::ZoneId& aZone,
               const frontend::HttpRequest& aRequest,
               std::string_view aBody,
               const frontend::HttpResponder& aRespond);

  const base::ZoneId defaultZone;
  const std::span<const std::unique_ptr<CellService>> cells;
  PolicyKeeper& policy;
  MembershipService& membership;
  protocol::Node& node;
  const peering::EntryLinks* links = nullptr;
  std::mutex randomMutex;
  base::RandomEngine random;
};

} // namespace amaranthwind::entry
