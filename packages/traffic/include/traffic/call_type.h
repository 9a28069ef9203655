/**
 * @file call_type.h
 * An authenticated call of a customer.
 */
#pragma once

#include <httplib.h>

#include "base/request_id_type.h"
#include "base/time_type.h"
#include "config/document_type.h"
#include "traffic/snapshot_type.h"

namespace boragewharf::traffic {

/** A call while its handler runs; refers to the snapshot it holds. */
struct CallerCall {
  RequestId id;                      ///< Id of this call.
  const httplib::Request& request;   ///< As received.
  httplib::Response& response;       ///< To fill.
  SnapshotPtr snapshot;              ///< Moment of authentication.
  const config::Customer* customer;  ///< Within the snapshot.
  TimePoint received;                ///< Start of handling.
};

}  // namespace boragewharf::traffic
