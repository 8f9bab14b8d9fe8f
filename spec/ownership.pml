/*
 * Ownership of one partition, and one non-idempotent call in it. Properties: entries answer only
 * from committed history; the call runs at most once; if an entry answers "not run", the call never
 * ran and never will; if it answers "answered", the call ran once. These two outcomes are final.
 *
 * Two entries (the processes that accept and schedule calls) share a replicated log and a sidecar
 * (the proxy beside a target, which runs the call). Every reader computes the partition's state by
 * folding the log: it applies the batches in log order and ignores invalid ones. A claim with the
 * next epoch takes the partition over. Before the first dispatch the owner appends an intent, which
 * names the incarnation of the sidecar that may run the call. A seal asks that sidecar whether the
 * call has run and, if not, makes it refuse the call from then on.
 *
 * Any step may be delayed for any time, which covers pauses longer than the lease: an entry acts on
 * what it has read, however old. A caller sends the same idempotency key to both entries. An append
 * may take effect although its response is lost, have no effect, or take effect after a delay.
 * Dispatches may be lost, delayed or sent again. The sidecar restarts once, which loses its state
 * and begins a new incarnation. The target checks nothing, like an engine that ignores fencing
 * tokens.
 *
 * Steps and the code that implements them:
 *   fold_one              ledger::ApplyBatch, RecordFold
 *                         (modules/ledger/src/fold.cpp, record_fold.cpp)
 *   append_step           ledger::BatchWriter::Write (modules/ledger/src/batch_writer.cpp)
 *   read_back             ledger::BatchWriter::ReadBack
 *   intent, dispatch      entry::CallRunner::TryDispatch, SendIntended
 *                         (modules/entry/src/call_runner.cpp)
 *   seal                  entry::CallRunner::QuerySidecar, OnSealReply
 *                         (modules/entry/src/call_recovery.cpp)
 *   respond, acknowledge  entry::CallRunner::OnOutcomeFolded (modules/entry/src/call_results.cpp)
 *   sidecar_run           sidecar::CallRegistry::Admit (modules/sidecar/src/call_registry.cpp)
 *   sidecar_seal          sidecar::CallRegistry::Seal
 *   sidecar_discard       sidecar::CallRegistry::Ack; the connection generation: modules/transport
 * modules/ledger/tests/ownership_property_test.cpp runs the same steps with the real functions.
 *
 * Macros that each remove one guard:
 *   NO_READ_BACK           an append counts as committed without reading the log back
 *   NO_FIRST_INTENT        a call that already has an outcome gets a new intent
 *   NO_SEAL                a new owner answers "not run" without asking the sidecar
 *   NO_SEAL_MARK           the sidecar raises the epoch floor but does not remember the seal
 *   NO_REFUSAL_MARK        the sidecar refuses a dispatch but does not remember its call id
 *   NO_EPOCH_FLOOR         the sidecar accepts dispatches of earlier owners
 *   NO_INCARNATION_CHECK   the sidecar accepts dispatches meant for an earlier incarnation
 *   NO_SEAL_INCARNATION    the sidecar answers seals meant for an earlier incarnation
 *   NO_SEEN_CHECK          the sidecar runs a call id again
 *   NO_COMMIT_BEFORE_ACK   an outcome is acknowledged to the sidecar before it is in the log
 *   NO_ACK_FLOOR           an acknowledgement does not raise the epoch floor
 *   NO_GENERATION          frames of an older connection are processed after a newer one was used
 *
 * No macro removes the fold's checks of epoch and sequence number: this model does not need them,
 * since every step waits for a read-back. spec/budget.pml shows what they guard against.
 */

#ifndef LOG_SIZE
#define LOG_SIZE 5
#endif
#ifndef LAST_EPOCH
#define LAST_EPOCH 2
#endif
#define LAST_INCARNATION 2
#define SENDS 2

/* Kinds of batches. */
#define CLAIM 1
#define INTENT 2
#define OUTCOME 3

/* Outcomes. */
#define NONE 0
#define ANSWERED 1
#define NOT_RUN 2
#define UNKNOWN 3

/* The log, one record per batch. */
byte log_size;
byte log_kind[LOG_SIZE];
byte log_epoch[LOG_SIZE];
byte log_writer[LOG_SIZE];
byte log_seq[LOG_SIZE];
byte log_value[LOG_SIZE];

/* A delayed append, which has not taken effect yet; late_kind is 0 if there is none. */
byte late_kind;
byte late_epoch;
byte late_writer;
byte late_seq;
byte late_value;

/* Dispatches in transit, one per epoch: the sidecar incarnation that each names, or 0 for none. */
byte sent_to[LAST_EPOCH + 1];

/* State of the sidecar. */
byte incarnation = 1;
byte floor;  /* Dispatches of lower epochs are refused. */
bool seen;   /* The call id was accepted; the call runs at once. */
bool sealed; /* The call id is refused from now on. */

bool refused; /* A reply reports that a dispatch was refused. */

/* What happened, for the assertions: runs at the target, and whether a caller got "not run". */
byte runs;
bool answered_not_run;

inline store(kind, epoch, writer, seq, value)
{
  log_kind[log_size] = kind;
  log_epoch[log_size] = epoch;
  log_writer[log_size] = writer;
  log_seq[log_size] = seq;
  log_value[log_size] = value;
  log_size++
}

/* Folds one batch into this entry's state (view_*). */
inline fold_one(kind, epoch, writer, seq, value)
{
  if
  :: kind == CLAIM ->
    if
    :: epoch == view_epoch + 1 ->
      view_epoch = epoch;
      view_owner = writer;
      view_seq = 0
    :: else
    fi
  :: (kind != CLAIM
      && epoch == view_epoch && writer == view_owner && seq == view_seq + 1) ->
    view_seq = seq;
    if
    :: (kind == INTENT
#ifndef NO_FIRST_INTENT
        && view_intent == 0
#endif
       ) ->
      view_intent = value;
      view_intent_epoch = epoch;
      view_outcome = NONE;
      sends = 0
    :: (kind == OUTCOME && view_intent != 0 &&
        (view_outcome == NONE || view_outcome == UNKNOWN)) ->
      view_outcome = value
    :: else
    fi
  :: else
  fi
}

/*
 * Clears the outstanding batch once it is in the log or superseded. Stale values would only enlarge
 * the state space.
 */
inline clear_own()
{
  own_kind = 0;
  own_epoch = 0;
  own_seq = 0;
  own_value = 0;
  own_may_be_in_log = false
}

/*
 * Reads to the end of the log. Afterwards own_kind is 0 if the outstanding batch is in the log or a
 * later claim superseded it.
 */
inline read_back()
{
  do
  :: view_next < log_size ->
    fold_one(log_kind[view_next],
             log_epoch[view_next],
             log_writer[view_next],
             log_seq[view_next],
             log_value[view_next]);
    if
    :: (own_kind != 0 && log_writer[view_next] == me && log_epoch[view_next] == own_epoch &&
        log_seq[view_next] == own_seq) ->
      clear_own()
    :: else
    fi;
    view_next++
  :: else -> break
  od;
  if
  :: (own_kind != 0 &&
      (view_epoch > own_epoch || (own_kind == CLAIM && view_epoch == own_epoch))) ->
    clear_own()
  :: else
  fi;
  own_may_be_in_log = false
}

/* Sets the outstanding batch, which append_step appends. */
inline propose(kind, epoch, seq, value)
{
  own_kind = kind;
  own_epoch = epoch;
  own_seq = seq;
  own_value = value;
  own_may_be_in_log = false
}

/* Appends the outstanding batch once. */
inline append_step()
{
  if
  :: log_size < LOG_SIZE -> /* Takes effect. */
    store(own_kind, own_epoch, me, own_seq, own_value);
    if
    :: view_next + 1 == log_size -> /* The response has the next contiguous offset. */
      fold_one(own_kind, own_epoch, me, own_seq, own_value);
      view_next = log_size;
      clear_own()
    :: own_may_be_in_log = true /* The response is lost, or other batches lie between. */
    fi
  :: own_may_be_in_log = true /* No effect, and the response is lost. */
  :: late_kind == 0 -> /* Takes effect after a delay. */
    late_kind = own_kind;
    late_epoch = own_epoch;
    late_writer = me;
    late_seq = own_seq;
    late_value = own_value;
    own_may_be_in_log = true
  fi;
#ifdef NO_READ_BACK
  if
  :: own_kind != 0 ->
    fold_one(own_kind, own_epoch, me, own_seq, own_value);
    clear_own()
  :: else
  fi;
  own_may_be_in_log = false
#endif
}

/* Seals the call at the sidecar that the intent names; sets result to the outcome to record. */
inline sidecar_seal(intent_incarnation, epoch, result)
{
  if
#ifndef NO_SEAL_INCARNATION
  :: intent_incarnation != incarnation -> result = UNKNOWN
  :: intent_incarnation == incarnation ->
#else
  :: true ->
#endif
    if
    :: floor < epoch -> floor = epoch
    :: else
    fi;
    if
    :: seen -> result = ANSWERED
    :: else ->
#ifndef NO_SEAL_MARK
      sealed = true;
#endif
      result = NOT_RUN
    fi
  fi
}

/*
 * The sidecar receives an acknowledgement and discards its state of the call. The acknowledgement
 * comes over the newest connection, after which frames of older connections are dropped.
 */
inline sidecar_discard()
{
#ifndef NO_GENERATION
  sent_to[view_epoch] = 0;
#endif
  if
  :: view_intent == incarnation ->
#ifndef NO_ACK_FLOOR
    if
    :: floor < view_epoch -> floor = view_epoch
    :: else
    fi;
#endif
    seen = false;
    sealed = false
  :: else
  fi
}

/* Answers the caller with an outcome. */
inline respond(outcome)
{
  if
  :: outcome == NOT_RUN ->
    assert(runs == 0);
    answered_not_run = true
  :: outcome == ANSWERED -> assert(runs == 1)
  :: else
  fi
}

/* The entry believes that it owns the partition, and has no outstanding batch. */
#define OWNER (own_kind == 0 && view_owner == me && view_epoch > 0)

proctype Entry(byte me)
{
  byte view_next;
  byte view_epoch;
  byte view_owner = 2; /* No owner. */
  byte view_seq;
  byte view_intent; /* The sidecar incarnation that may run the call; 0 if there is no intent. */
  byte view_intent_epoch;
  byte view_outcome;
  byte own_kind;
  byte own_epoch;
  byte own_seq;
  byte own_value;
  bool own_may_be_in_log;
  byte sends;
  bool acknowledged;
  byte result;

end:
  do
  /* By the clock of this entry, the lease of the owner has expired. */
  :: d_step {
      own_kind == 0 && view_owner != me && view_epoch < LAST_EPOCH ->
      propose(CLAIM, view_epoch + 1, 0, 0)
    }
  /* intent */
  :: d_step {
      OWNER && view_intent == 0 -> propose(INTENT, view_epoch, view_seq + 1, incarnation)
    }
#ifdef NO_FIRST_INTENT
  :: d_step {
      (OWNER && view_outcome != NONE && view_intent_epoch < view_epoch) ->
      propose(INTENT, view_epoch, view_seq + 1, incarnation)
    }
#endif
  /*
   * dispatch: only if the intent is of this epoch; otherwise the call is sealed. Sent again at most
   * once.
   */
  :: d_step {
      (OWNER && view_intent != 0 && view_outcome == NONE && view_intent_epoch == view_epoch &&
       sends < SENDS && sent_to[view_epoch] == 0) ->
      sent_to[view_epoch] = view_intent;
      sends++
    }
  /* The reply to a dispatch, or to a query by call id. */
  :: d_step {
      (OWNER && view_intent == incarnation && seen &&
       (view_outcome == NONE || view_outcome == UNKNOWN)) ->
      propose(OUTCOME, view_epoch, view_seq + 1, ANSWERED)
    }
  /* The sidecar refused a dispatch of this owner. */
  :: d_step {
      (OWNER && refused && view_outcome == NONE && view_intent_epoch == view_epoch) ->
      propose(OUTCOME, view_epoch, view_seq + 1, NOT_RUN)
    }
  /* seal: after a takeover, at the deadline of the call, or to resolve an unknown outcome. */
  :: d_step {
      (OWNER && view_intent != 0 && (view_outcome == NONE || view_outcome == UNKNOWN)) ->
#ifdef NO_SEAL
      result = NOT_RUN;
#else
      sidecar_seal(view_intent, view_epoch, result);
#endif
      propose(OUTCOME, view_epoch, view_seq + 1, result);
      result = NONE
    }
  /* acknowledge: the sidecar may discard its state of the call. */
  :: d_step {
#ifdef NO_COMMIT_BEFORE_ACK
      (!acknowledged && own_kind == OUTCOME && own_value != UNKNOWN) ->
#else
      (!acknowledged && OWNER && (view_outcome == ANSWERED || view_outcome == NOT_RUN)) ->
#endif
      sidecar_discard();
      acknowledged = true
    }
  /* append_step */
  :: atomic { own_kind != 0 && !own_may_be_in_log -> append_step() }
  /* read_back */
  :: d_step { own_kind != 0 && own_may_be_in_log -> read_back() }
  /* Reads when it opens the partition. An owner reads the log only as part of its own appends. */
  :: d_step { own_kind == 0 && view_owner != me && view_next < log_size -> read_back() }
  /* respond */
  :: d_step { view_outcome != NONE && own_kind == 0 -> respond(view_outcome) }
  od
}

/* The sidecar receives the dispatch of an epoch, and runs the call or refuses it. */
inline sidecar_run(epoch)
{
  if
  :: (sealed
#ifndef NO_SEEN_CHECK
      || seen
#endif
#ifndef NO_EPOCH_FLOOR
      || epoch < floor
#endif
#ifndef NO_INCARNATION_CHECK
      || sent_to[epoch] != incarnation
#endif
     ) -> skip
  :: else ->
    seen = true;
    if
    :: floor < epoch -> floor = epoch
    :: else
    fi;
    runs++;
    assert(runs <= 1);
    assert(!answered_not_run)
  fi
}

/* Delivers or loses dispatches, applies the delayed append, and restarts the sidecar. */
proctype Network()
{
  byte epoch;
end:
  do
  :: atomic {
      if
      :: sent_to[1] != 0 -> epoch = 1
      :: sent_to[2] != 0 -> epoch = 2
#if LAST_EPOCH > 2
      :: sent_to[3] != 0 -> epoch = 3
#endif
      fi;
      if
      :: sidecar_run(epoch)
      :: !seen && sent_to[epoch] == incarnation -> /* Refused: overloaded or shutting down. */
#ifndef NO_REFUSAL_MARK
        sealed = true;
#endif
        refused = true
      :: skip /* Lost with its connection. */
      fi;
      sent_to[epoch] = 0;
      epoch = 0
    }
  :: d_step {
      late_kind != 0 && log_size < LOG_SIZE ->
      store(late_kind, late_epoch, late_writer, late_seq, late_value);
      late_kind = 0;
      late_epoch = 0;
      late_writer = 0;
      late_seq = 0;
      late_value = 0
    }
  :: d_step {
      incarnation < LAST_INCARNATION ->
      incarnation++;
      floor = 0;
      seen = false;
      sealed = false
    }
  od
}

init
{
  atomic {
    run Entry(0);
    run Entry(1);
    run Network()
  }
}
