/*
 * Engine orders: versioned desired states that a sidecar applies to its engine (docs/design.md,
 * section 3.8). Property: an engine that ignores fencing tokens never goes back to an older order.
 *
 * Two entries (the processes that accept and schedule calls) send orders with versions to the
 * sidecar (the proxy beside the engine). Messages may be delayed, repeated and reordered. The
 * sidecar restarts and loses its state. The engine applies every order that it receives and reports
 * the version of the last one when it is queried. Not covered, as in the design: a paused sidecar
 * that resumes while its replacement runs.
 *
 * Steps and the code that implements them:
 *   forward, start   sidecar::OrderReconciler::SetDesired, StateRead
 *                    (modules/sidecar/src/order_reconciler.cpp)
 *
 * Macros that each remove one guard:
 *   NO_VERSION_FLOOR   the sidecar forwards a version lower than the highest one it has seen
 *   NO_READ_AT_START   a restarted sidecar does not read the version of the engine
 */

#define LAST_VERSION 4
#define RESTARTS 2

bool in_transit[LAST_VERSION + 1]; /* Orders that were sent; each may be delivered repeatedly. */
byte published;                    /* Highest version that an entry has read and sent. */
byte version_floor;                /* Highest version that the sidecar has seen. */
bool started = true;               /* The sidecar may forward orders. */
byte engine_version;               /* Version of the order that the engine applied last. */
byte restarts;

proctype Entries()
{
end:
  do
  :: d_step {
      published < LAST_VERSION ->
      published++;
      in_transit[published] = true
    }
  od
}

proctype Sidecar()
{
  byte version;
end:
  do
  :: atomic {
      select(version : 1 .. LAST_VERSION);
      if
      :: (started && in_transit[version]
#ifndef NO_VERSION_FLOOR
          && version >= version_floor
#endif
         ) ->
        if
        :: version_floor < version -> version_floor = version
        :: else
        fi;
        assert(version >= engine_version);
        engine_version = version
      :: else
      fi;
      version = 0
    }
  :: d_step {
      restarts < RESTARTS ->
      restarts++;
      version_floor = 0;
      started = false
    }
  /* The first step after a restart, before any order is forwarded. */
  :: d_step {
      !started ->
#ifndef NO_READ_AT_START
      version_floor = engine_version;
#endif
      started = true
    }
  od
}

init
{
  atomic {
    run Entries();
    run Sidecar()
  }
}
