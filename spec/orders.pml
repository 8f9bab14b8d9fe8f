/*
 * Engine orders (docs/design.md, section 3.8): an engine that ignores fencing tokens must not go
 * back to an older order.
 *
 * Two entries send orders with versions to a sidecar; messages may be old and come in any order. The
 * sidecar restarts and forgets what it knew. The engine applies whatever it is sent and reports its
 * version when it is read. Not covered, as in the design: a paused old sidecar that resumes beside
 * its replacement.
 *
 * Steps and the code that implements them:
 *   forward, start   sidecar::OrderReconciler::SetDesired, StateRead (modules/sidecar/src/order_reconciler.cpp)
 *
 * Guards that a macro removes:
 *   NO_VERSION_FLOOR   the sidecar forwards a version lower than the highest it knows
 *   NO_READ_AT_START   a new sidecar does not read the version of the engine
 */

#define LAST_VERSION 4
#define RESTARTS 2

bool under_way[LAST_VERSION + 1]; /* Messages of entries; each may be delivered more than once. */
byte published;                   /* Highest version that an entry has read. */
byte known;                       /* The sidecar's floor. */
bool started = true;
byte engine;
byte restarts;

proctype Entries()
{
end:
  do
  :: d_step {
      published < LAST_VERSION ->
      published++;
      under_way[published] = true
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
      :: (started && under_way[version]
#ifndef NO_VERSION_FLOOR
          && version >= known
#endif
         ) ->
        if
        :: known < version -> known = version
        :: else
        fi;
        assert(version >= engine);
        engine = version
      :: else
      fi;
      version = 0
    }
  :: d_step {
      restarts < RESTARTS ->
      restarts++;
      known = 0;
      started = false
    }
  /* The first step after a start, before any order is forwarded. */
  :: d_step {
      !started ->
#ifndef NO_READ_AT_START
      known = engine;
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
