/**
 * @file control_type.h
 * Events, effects and state of the control reducer.
 */
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "backend/backend_state.h"
#include "base/time_type.h"
#include "config/config_state_type.h"
#include "lease/lease_type.h"
#include "ledger/ledger_state.h"
#include "membership/membership_event_type.h"
#include "membership/membership_state_type.h"
#include "store/instance_type.h"

namespace boragewharf::control {

/** The instance list was read successfully. */
struct InstancesRead {
  std::vector<InstanceRecord> records;  ///< All instances.
};

/** A reclaim notice with its deadline on the boot clock. */
struct Notice {
  std::string instance;  ///< Name in the instance list.
  TimePoint deadline;    ///< When the instance is stopped.
};

/** The cloud API's reclaim notices were read successfully. */
struct NoticesRead {
  std::vector<Notice> notices;  ///< All notices in force.
};

/** The number of streams of this daemon changed. */
struct OpenStreamsChanged {
  uint32_t count = 0;  ///< Streams in progress.
};

/** A graceful shutdown begins; cannot be taken back. */
struct DrainStarted {};

/** Time passes; sent every 50 ms. */
struct Tick {
  WallTime wall;  ///< Present wall time.
};

using Event = std::variant<InstancesRead,
                           NoticesRead,
                           OpenStreamsChanged,
                           DrainStarted,
                           Tick,
                           membership::MembershipEvent,
                           config::ConfigEvent,
                           ledger::LedgerEvent,
                           lease::LeaseEvent,
                           backend::BackendEvent>;

/** Routing state changed; a new snapshot has to be published. */
struct SnapshotChanged {};

/** This instance has a reclaim notice. */
struct OwnReclaimNoticed {
  TimePoint deadline;  ///< When this instance is stopped.
};

using Effect = std::variant<SnapshotChanged,
                            OwnReclaimNoticed,
                            membership::MembershipEffect,
                            config::ConfigEffect,
                            ledger::LedgerEffect,
                            lease::LeaseEffect,
                            backend::BackendEffect>;

/** An entry instance as the instance list shows it. */
struct ListedEntry {
  std::string instance;  ///< Name in the instance list.
  bool leaving = false;  ///< Reclaimed or stopping.
};

/** The whole control state of a daemon. */
struct ControlState {
  membership::MembershipState membership;  ///< Member table.
  config::ConfigState config;              ///< Configuration document.
  ledger::LedgerState ledger;              ///< Owned shards.
  lease::LeaseState lease;                 ///< Duty leases.
  backend::BackendState backend;           ///< Backend servers.
  std::vector<ListedEntry> entries;        ///< Of the last instance list.
  std::vector<MemberId> live;              ///< As last given to the ledger.
  uint32_t open_streams = 0;               ///< Streams in progress.
  bool draining = false;                   ///< Graceful shutdown.
  bool reclaim_noticed = false;            ///< Of this instance.
};

}  // namespace boragewharf::control
