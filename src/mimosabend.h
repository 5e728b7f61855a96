#ifndef MIMOSABEND_MIMOSABEND_H_
#define MIMOSABEND_MIMOSABEND_H_

// Public header of the library with the coordination components that other programs can embed. A
// program provides types that model the concepts KvStore, EngineControl and HostList, or uses the
// HTTP implementations.

#include "document_store.h"     // environment documents: trial, promotion, audit log
#include "engine.h"             // interfaces to model engines
#include "environment.h"        // parsing and validation of environment documents
#include "environment_diff.h"   // differences between two documents
#include "host_list.h"          // interface to the list of hosts
#include "kv_store.h"           // interface to the key-value service
#include "lease_keeper.h"       // the lease of a process
#include "membership.h"         // failure detection and rendezvous hashing
#include "placement.h"          // decisions to load and unload replicas
#include "placement_owner.h"    // owner of a placement group
#include "replica_directory.h"  // a daemon's view of the ready replicas
#include "request_ledger.h"     // records that keep a request from running twice
#include "router.h"             // endpoint selection
#include "weight_store.h"       // interface to the weight store

#endif  // MIMOSABEND_MIMOSABEND_H_
