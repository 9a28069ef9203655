/**
 * @file lab_case.h
 * The scripted cases of the review. Each starts nodes with stand-ins, brings
 * about its events and judges what clients and replicas saw.
 */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "lab_client.h"
#include "lab_platform.h"
#include "lab_process.h"
#include "lab_replica.h"

namespace boragewharf::review {

/** Exit codes of a script. */
enum CaseResult : int { kHeld = 0, kBroken = 1, kNotRun = 2 };

/** A small deployment: store, cloud API, replicas and nodes. */
class Lab {
 public:
  Lab(std::string program, std::string directory, const std::string& record);
  ~Lab();
  Lab(const Lab&) = delete;
  Lab& operator=(const Lab&) = delete;

  /** Creates the addresses of nodes in one zone each, in turn. */
  void PlanNodes(size_t count);
  /** Creates the next node; starts nothing. */
  LabNode& AddNode(const Endpoint& store_address);
  LabReplica& AddReplica(ReplicaPlan plan);
  /** Starts all nodes for the first time. @return Whether all are ready. */
  bool StartNodes();

  Record record;
  LabLoop loop;
  NodePlan plan;
  std::unique_ptr<LabStore> store;
  std::unique_ptr<LabCloud> cloud;
  std::vector<std::unique_ptr<LabReplica>> replicas;
  std::vector<std::unique_ptr<LabNode>> nodes;
  std::vector<std::string> ips;
};

/** What the cases are told. */
struct CaseOptions {
  std::string program;
  std::string directory;  ///< Temporary.
  std::string record;
  bool trouble = true;  ///< False: without the disturbance.
  bool framed = false;  ///< Of moved-stream: answers in chunks.
};

CaseResult RunMovedStream(const CaseOptions& options);
CaseResult RunLatinAttemptId(const CaseOptions& options);
CaseResult RunDeadlyRequest(const CaseOptions& options);
CaseResult RunPagedList(const CaseOptions& options);
CaseResult RunStoppedStream(const CaseOptions& options);

}  // namespace boragewharf::review
