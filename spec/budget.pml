/*
 * The budget of a program with two sub-agents (requirement R3).
 *
 * Two entries share a log. An entry may be paused at any time, also between reserving and settling,
 * and the other may take the partition over. An append may take effect and lose its answer, have no
 * effect, or take effect late. Calls run at the target and use at most the tokens they are capped
 * to, whether their owner still exists or not. Owners reserve for both sub-agents in parallel and
 * without looking at the budget: the fold decides.
 *
 * Steps and the code that implements them:
 *   fold_one          ledger::ApplyBatch, RecordFold::Settle (modules/ledger/src/record_fold.cpp)
 *   append, read_back ledger::BatchWriter::Write (modules/ledger/src/batch_writer.cpp)
 *   reserve, dispatch, settle   entry role (modules/entry)
 *   run               sidecar role and engine: the cap is max_tokens of the call
 *
 * Guards that a macro removes:
 *   NO_RESERVATION        a call is dispatched before its reservation is durable
 *   NO_BUDGET_CHECK       the fold accepts any reservation
 *   NO_COUNT_OUTSTANDING  a new owner uses the reservations that it inherits
 *   NO_CAP                a call uses more than was reserved for it
 *   NO_EPOCH_CHECK        the fold accepts batches of an old owner
 *   NO_SEQUENCE_CHECK     the fold accepts copies of a batch
 *   NO_READ_BACK          an append counts as accepted without reading back
 */

#define BUDGET 3
#ifndef LOG_SIZE
#define LOG_SIZE 6
#endif
#define LAST_EPOCH 2
#define AGENTS 2

#define CLAIM 1
#define RESERVE 2
#define SETTLE 3

/* The log. */
byte log_size;
byte log_kind[LOG_SIZE];
byte log_epoch[LOG_SIZE];
byte log_writer[LOG_SIZE];
byte log_seq[LOG_SIZE];
byte log_agent[LOG_SIZE];
byte log_used[LOG_SIZE];
byte log_reserved[LOG_SIZE]; /* The agent's whole reservation after the record. */

/* An append that has not taken effect yet. */
byte late_kind;
byte late_epoch;
byte late_writer;
byte late_seq;
byte late_agent;
byte late_used;
byte late_reserved;

/* Calls at the target, per agent and epoch of the owner that dispatched them. */
#define SLOT(agent, epoch) ((agent) * LAST_EPOCH + (epoch) - 1)
byte running_cap[AGENTS * LAST_EPOCH];
bool finished[AGENTS * LAST_EPOCH];
byte finished_used[AGENTS * LAST_EPOCH];
byte really_used;

inline store(kind, epoch, writer, seq, agent, used, reserved)
{
  log_kind[log_size] = kind;
  log_epoch[log_size] = epoch;
  log_writer[log_size] = writer;
  log_seq[log_size] = seq;
  log_agent[log_size] = agent;
  log_used[log_size] = used;
  log_reserved[log_size] = reserved;
  log_size++
}

/* Folds one batch into the view of this entry; took tells whether it was applied. */
inline fold_one(kind, epoch, writer, seq, agent, used, reserved)
{
  took = false;
  if
  :: kind == CLAIM ->
    if
    :: epoch == view_epoch + 1 ->
      view_epoch = epoch;
      view_owner = writer;
      view_seq = 0;
      /* Calls of earlier owners may still use what they reserved. */
#ifndef NO_COUNT_OUTSTANDING
      inherited[0] = view_reserved[0];
      inherited[1] = view_reserved[1]
#endif
    :: else
    fi
  :: (kind != CLAIM
#ifndef NO_EPOCH_CHECK
      && epoch == view_epoch && writer == view_owner
#endif
#ifndef NO_SEQUENCE_CHECK
      && seq == view_seq + 1
#endif
     ) ->
    view_seq = seq;
    if
    :: (true
#ifndef NO_BUDGET_CHECK
        && view_spent + used + view_reserved[1 - agent] + reserved <= BUDGET
#endif
       ) ->
      view_spent = view_spent + used;
      view_reserved[agent] = reserved;
      took = true
    :: else
    fi
  :: else
  fi
}

inline settle_own()
{
  own_kind = 0;
  own_epoch = 0;
  own_seq = 0;
  own_agent = 0;
  own_used = 0;
  own_reserved = 0;
  own_may_be_in_log = false
}

/* The outstanding batch was folded: a settled call is over, whether the record was valid or not. */
inline own_folded()
{
  if
  :: own_kind == SETTLE -> in_flight[own_agent] = false
  :: else
  fi;
  settle_own()
}

inline read_back()
{
  do
  :: view_next < log_size ->
    fold_one(log_kind[view_next],
             log_epoch[view_next],
             log_writer[view_next],
             log_seq[view_next],
             log_agent[view_next],
             log_used[view_next],
             log_reserved[view_next]);
    if
    :: (own_kind != 0 && log_writer[view_next] == me && log_epoch[view_next] == own_epoch &&
        log_seq[view_next] == own_seq) ->
      own_folded()
    :: else
    fi;
    view_next++
  :: else -> break
  od;
  took = false;
  if
  :: (own_kind != 0 &&
      (view_epoch > own_epoch || (own_kind == CLAIM && view_epoch == own_epoch))) ->
    settle_own()
  :: else
  fi;
  own_may_be_in_log = false
}

inline propose(kind, epoch, seq, agent, used, reserved)
{
  own_kind = kind;
  own_epoch = epoch;
  own_seq = seq;
  own_agent = agent;
  own_used = used;
  own_reserved = reserved;
  own_may_be_in_log = false
}

inline append_step()
{
  if
  :: log_size < LOG_SIZE ->
    store(own_kind, own_epoch, me, own_seq, own_agent, own_used, own_reserved);
    if
    :: view_next + 1 == log_size -> read_back() /* The next contiguous offset. */
    :: own_may_be_in_log = true
    fi
  :: own_may_be_in_log = true /* No effect, and the answer is lost. */
  :: late_kind == 0 -> /* It takes effect later. */
    late_kind = own_kind;
    late_epoch = own_epoch;
    late_writer = me;
    late_seq = own_seq;
    late_agent = own_agent;
    late_used = own_used;
    late_reserved = own_reserved;
    own_may_be_in_log = true
  fi;
#ifdef NO_READ_BACK
  if
  :: own_kind != 0 ->
    fold_one(own_kind, own_epoch, me, own_seq, own_agent, own_used, own_reserved);
    own_folded()
  :: else
  fi;
  own_may_be_in_log = false
#endif
}

#define OWNER (own_kind == 0 && view_owner == me && view_epoch > 0)

proctype Entry(byte me)
{
  byte view_next;
  byte view_epoch;
  byte view_owner = 2; /* Nobody. */
  byte view_seq;
  byte view_spent;
  byte view_reserved[AGENTS];
  byte inherited[AGENTS];
  byte own_kind;
  byte own_epoch;
  byte own_seq;
  byte own_agent;
  byte own_used;
  byte own_reserved;
  bool own_may_be_in_log;
  bool in_flight[AGENTS];
  bool took;
  byte agent;
  byte amount;

end:
  do
  :: d_step {
      own_kind == 0 && view_owner != me && view_epoch < LAST_EPOCH ->
      propose(CLAIM, view_epoch + 1, 0, 0, 0, 0)
    }
  /* reserve: adds to what calls of earlier owners may still use. */
  :: atomic {
      OWNER ->
      if
      :: !in_flight[0] && view_reserved[0] == inherited[0] -> agent = 0
      :: !in_flight[1] && view_reserved[1] == inherited[1] -> agent = 1
      fi;
      if
      :: amount = 1
      :: amount = 2
      fi;
#ifdef NO_RESERVATION
      if
      :: running_cap[SLOT(agent, view_epoch)] == 0 && !finished[SLOT(agent, view_epoch)] ->
        running_cap[SLOT(agent, view_epoch)] = amount;
        in_flight[agent] = true
      :: else
      fi;
#endif
      propose(RESERVE, view_epoch, view_seq + 1, agent, 0, inherited[agent] + amount);
      agent = 0;
      amount = 0
    }
  /* dispatch */
  :: atomic {
      OWNER ->
      if
      :: !in_flight[0] && view_reserved[0] > inherited[0] -> agent = 0
      :: !in_flight[1] && view_reserved[1] > inherited[1] -> agent = 1
      fi;
      in_flight[agent] = true;
      running_cap[SLOT(agent, view_epoch)] = view_reserved[agent] - inherited[agent];
      agent = 0
    }
  /* settle: the record of the turn, with the reservation for the next call. */
  :: atomic {
      OWNER ->
      if
      :: in_flight[0] && finished[SLOT(0, view_epoch)] -> agent = 0
      :: in_flight[1] && finished[SLOT(1, view_epoch)] -> agent = 1
      fi;
      if
      :: amount = 0
      :: amount = 1
      fi;
      propose(SETTLE,
              view_epoch,
              view_seq + 1,
              agent,
              finished_used[SLOT(agent, view_epoch)],
              inherited[agent] + amount);
      finished[SLOT(agent, view_epoch)] = false;
      finished_used[SLOT(agent, view_epoch)] = 0;
      agent = 0;
      amount = 0
    }
  :: atomic { own_kind != 0 && !own_may_be_in_log -> append_step() }
  :: d_step { own_kind != 0 && own_may_be_in_log -> read_back() }
  :: d_step { own_kind == 0 && view_owner != me && view_next < log_size -> read_back() }
  od
}

/* run: the call uses between nothing and its cap. */
proctype Target()
{
  byte slot;
  byte used;
end:
  do
  :: atomic {
      if
      :: running_cap[0] != 0 -> slot = 0
      :: running_cap[1] != 0 -> slot = 1
      :: running_cap[2] != 0 -> slot = 2
      :: running_cap[3] != 0 -> slot = 3
      fi;
      if
      :: used = 0
      :: used = running_cap[slot]
#ifdef NO_CAP
      :: used = running_cap[slot] + 1
#endif
      fi;
      really_used = really_used + used;
      assert(really_used <= BUDGET);
      running_cap[slot] = 0;
      finished[slot] = true;
      finished_used[slot] = used;
      used = 0;
      slot = 0
    }
  :: d_step {
      late_kind != 0 && log_size < LOG_SIZE ->
      store(late_kind, late_epoch, late_writer, late_seq, late_agent, late_used, late_reserved);
      late_kind = 0;
      late_epoch = 0;
      late_writer = 0;
      late_seq = 0;
      late_agent = 0;
      late_used = 0;
      late_reserved = 0
    }
  od
}

init
{
  atomic {
    run Entry(0);
    run Entry(1);
    run Target()
  }
}
