/*
 * The token budget of a program whose turns come in through two gateways. Property: the tokens that
 * the gateways together send to callers never exceed the budget, also if gateways crash.
 *
 * Gateways reserve tokens in blocks by records of a log. All readers fold the records in log order,
 * so that the fold is modelled once, at the append. An append may take effect although its answer
 * is lost, have no effect, or take effect later. A gateway that does not know the outcome of its
 * reservation settles it with nothing sent and uses a new one.
 *
 * Steps and the code that implements them:
 *   fold_reserve, fold_end  programs::ProgramRegistry::ApplyEvent (modules/programs/src)
 *   reserve                 gateway::ProgramBudgets::ReserveTokens (modules/gateway/src)
 *   draw                    gateway::ProgramBudgets::TryDraw, Draw::Settle
 *   settle                  gateway::ProgramBudgets::SettleUnused
 *
 * Macros that each remove one guard:
 *   NO_FOLD_CHECK       the fold grants any reservation
 *   NO_SENT_COUNT       a settlement does not count what was sent
 *   NO_OUTCOME_CHECK    a block is used although its reservation was refused or has no known outcome
 *   NO_STOP_AT_SETTLE   turns go on to draw from a settled block
 */

#define BUDGET 4
#define MAX_BLOCKS 5
#define NONE 255

#define UNKNOWN 0
#define GRANTED 1
#define REFUSED 2
#define ENDED 3

/* The fold, by block. */
byte state[MAX_BLOCKS];
byte reserved_tokens[MAX_BLOCKS];
byte spent;    /* Of ended blocks. */
byte reserved; /* Of granted blocks that have not ended. */

byte next_block;
byte late_block = NONE; /* A reservation that takes effect later. */
byte late_size;
byte total_sent;

inline fold_reserve(block, size)
{
  if
  :: state[block] != UNKNOWN -> skip /* It was settled before; a late copy has no effect. */
  :: state[block] == UNKNOWN ->
    if
    :: (true
#ifndef NO_FOLD_CHECK
        && spent + reserved + size <= BUDGET
#endif
       ) ->
      state[block] = GRANTED;
      reserved_tokens[block] = size;
      reserved = reserved + size
    :: else -> state[block] = REFUSED
    fi
  fi
}

inline fold_end(block, sent)
{
  if
  :: state[block] == GRANTED -> reserved = reserved - reserved_tokens[block]
  :: else
  fi;
#ifndef NO_SENT_COUNT
  spent = spent + sent;
#endif
  state[block] = ENDED
}

proctype Gateway()
{
  byte block = NONE;
  byte size;
  byte sent;

end:
  do
  /* reserve */
  :: atomic {
      block == NONE && next_block < MAX_BLOCKS ->
      block = next_block;
      next_block++;
      sent = 0;
      if
      :: size = 1
      :: size = 2
      fi;
      if
      :: fold_reserve(block, size); /* The answer arrives. */
#ifndef NO_OUTCOME_CHECK
        if
        :: state[block] == GRANTED
        :: else -> block = NONE
        fi
#endif
      :: fold_reserve(block, size); /* The answer is lost. */
#ifndef NO_OUTCOME_CHECK
        fold_end(block, 0);
        block = NONE
#endif
      :: late_block == NONE -> /* It takes effect later; the settlement overtakes it or is lost. */
        late_block = block;
        late_size = size;
#ifndef NO_OUTCOME_CHECK
        if
        :: fold_end(block, 0)
        :: skip
        fi;
        block = NONE
#endif
      fi
    }
  /* draw */
  :: atomic {
      block != NONE && sent < size ->
      sent++;
      total_sent++;
      assert(total_sent <= BUDGET)
    }
  /* settle */
  :: atomic {
      block != NONE && state[block] != ENDED ->
      fold_end(block, sent);
#ifndef NO_STOP_AT_SETTLE
      block = NONE
#endif
    }
  /* crash */
  :: atomic { block != NONE -> block = NONE }
  od
}

proctype Store()
{
end:
  do
  :: atomic {
      late_block != NONE ->
      fold_reserve(late_block, late_size);
      late_block = NONE
    }
  od
}

init
{
  atomic {
    run Gateway();
    run Gateway();
    run Store()
  }
}
