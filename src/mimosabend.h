#ifndef MIMOSABEND_MIMOSABEND_H_
#define MIMOSABEND_MIMOSABEND_H_

// The public header of the library: the coordination parts that other programs can embed. A
// program brings types that model KvStore, EngineControl and HostList, or takes the HTTP adapters.

#include "document_store.h"     // environment documents: trial, promotion, audit trail
#include "engine.h"             // the interfaces to model engines
#include "environment.h"        // parsing and checking of environment documents
#include "environment_diff.h"   // what differs between two documents
#include "host_list.h"          // the interface to the list of hosts
#include "kv_store.h"           // the interface to the key-value service
#include "lease_keeper.h"       // one lease of a process
#include "membership.h"         // failure detection and rendezvous hashing
#include "placement.h"          // decisions on loads and unloads
#include "placement_owner.h"    // the owner of one placement group
#include "replica_directory.h"  // ready replicas as one daemon knows them
#include "request_ledger.h"     // requests that must run at most once
#include "router.h"             // choice of an endpoint
#include "weight_store.h"       // the interface to the weight store

#endif  // MIMOSABEND_MIMOSABEND_H_
