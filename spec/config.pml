/*
 * The configuration table (requirement R10), reduced to one row that is set and deleted.
 *
 * Two entries read the config stream and append the edits of two operators, each based on the table
 * that its entry has read. An append may take effect and lose its answer, have no effect, or take
 * effect late. A third process starts while the log is out of its reach, learns the table from
 * peers, whose messages may be old, and reads the log later. Retention drops records. To bound the
 * state space, only the first entry's appends fail and only the second sends its table.
 *
 * Steps and the code that implements them:
 *   fold_one            the fold of the table (modules/table)
 *   read_back           table::TableService (modules/table)
 *   start_from_snapshot table::TableService, reading after records were dropped
 *   learn               the rule "only a higher version" for ConfigPush, Hello and Heartbeat
 *                       (modules/entry, modules/sidecar)
 *   snapshot            the entry that appends a snapshot before retention drops records
 *
 * Guards that a macro removes:
 *   NO_BASE_CHECK    the fold accepts an edit whatever its base version is
 *   NO_TOMBSTONE     a deleted row loses its version, so that a copy of its creation fits again
 *   NO_READ_BACK     after a lost answer the edit is appended again on a new base
 *   NO_SNAPSHOT      records are dropped before a snapshot covers them
 *   NO_REFOLD        a reader goes on after the snapshot instead of after what it covers
 *   NO_LARGEST_SNAPSHOT  a reader takes the last snapshot, not the one that covers most
 *   NO_HIGHER_ONLY   a table from a peer is taken although it is older
 */

#ifndef LOG_SIZE
#define LOG_SIZE 6
#endif
#define EDITS 3
#define SNAPSHOTS 2

#define SET 1
#define DELETE 2
#define SNAPSHOT 3

/* The log. For an edit log_value is the base version; for a snapshot the row's version. */
byte log_first;
byte log_size;
byte log_kind[LOG_SIZE];
byte log_id[LOG_SIZE];
byte log_value[LOG_SIZE];
byte log_table[LOG_SIZE];   /* Of a snapshot: the table's version. */
byte log_through[LOG_SIZE]; /* Of a snapshot: the first offset it does not cover. */

/* The fold of everything in the log, to compare readers with. */
byte true_row;
byte true_table;
byte accepted[EDITS + 1]; /* How often each edit was accepted. */

/* An append that has not taken effect yet. */
byte late_kind;
byte late_id;
byte late_base;

/* A table on its way to the starting process. */
byte pushed_row;
byte pushed_table;

byte snapshots;

/* Folds one edit at an offset into a row and a table version. */
inline fold_one(offset, row, table, taken)
{
  taken = false;
  if
  :: (log_kind[offset] != SNAPSHOT
#ifndef NO_BASE_CHECK
      && log_value[offset] == row
#endif
     ) ->
    taken = true;
    table = offset + 1;
    row = offset + 1;
#ifdef NO_TOMBSTONE
    if
    :: log_kind[offset] == DELETE -> row = 0
    :: else
    fi
#endif
  :: else
  fi
}

/* Appends and keeps the true fold. Runs inside an atomic step. */
inline store(kind, id, value, table, through)
{
  log_kind[log_size] = kind;
  log_id[log_size] = id;
  log_value[log_size] = value;
  log_table[log_size] = table;
  log_through[log_size] = through;
  fold_one(log_size, true_row, true_table, fits);
  if
  :: fits ->
    accepted[id]++;
    assert(accepted[id] <= 1)
  :: else
  fi;
  fits = false;
  log_size++
}

/*
 * Goes on after what a retained snapshot covers. Of several the one that covers most counts, which
 * need not be the last one: a slow entry may append an old snapshot after a newer one.
 */
inline start_from_snapshot()
{
  scan = log_first;
  do
  :: scan < log_size ->
    if
    :: (log_kind[scan] == SNAPSHOT && log_through[scan] >= log_first
#ifndef NO_LARGEST_SNAPSHOT
        && log_through[scan] > view_next
#endif
       ) ->
      assert(log_table[scan] >= view_table);
      view_row = log_value[scan];
      view_table = log_table[scan];
#ifdef NO_REFOLD
      view_next = scan + 1
#else
      view_next = log_through[scan]
#endif
    :: else
    fi;
    scan++
  :: else -> break
  od;
  scan = 0;
  if
  :: view_next < log_first -> view_next = log_first
  :: else
  fi
}

/* Reads to the head. The result must be the true fold, and never go back. */
inline read_log()
{
  if
  :: view_next < log_first -> start_from_snapshot()
  :: else
  fi;
  do
  :: view_next < log_size ->
    fold_one(view_next, view_row, view_table, fits);
    if
    :: own_kind != 0 && log_id[view_next] == own_id -> own_kind = 0
    :: else
    fi;
    view_next++
  :: else -> break
  od;
  fits = false;
  assert(view_row == true_row);
  assert(view_table == true_table)
}

#define CLEAR_OWN \
  own_id = 0; \
  own_base = 0; \
  own_may_be_in_log = false

proctype Entry(byte me; byte first_edit; byte last_edit)
{
  byte view_next;
  byte view_row;
  byte view_table;
  byte next_edit = first_edit;
  byte own_kind;
  byte own_id;
  byte own_base;
  bool own_may_be_in_log;
  bool fits;
  byte scan;
end:
  do
  /* An operator sends an edit based on the table that this entry has read. */
  :: atomic {
      own_kind == 0 && next_edit <= last_edit ->
      if
      :: next_edit == 2 -> own_kind = DELETE
      :: else -> own_kind = SET
      fi;
      own_id = next_edit;
      own_base = view_row;
      next_edit++
    }
  /* One append. */
  :: atomic {
      own_kind != 0 && !own_may_be_in_log ->
      if
      :: log_size < LOG_SIZE -> /* It takes effect, and the answer may be lost. */
        store(own_kind, own_id, own_base, 0, 0)
      :: me == 0 -> skip /* No effect. */
      :: me == 0 && late_kind == 0 -> /* Later. */
        late_kind = own_kind;
        late_id = own_id;
        late_base = own_base
      fi;
      if
      :: me == 0 -> own_may_be_in_log = true
      :: else ->
        read_log();
        CLEAR_OWN
      fi
    }
  /* read_back: by the edit's id. */
  :: d_step {
      own_kind != 0 && own_may_be_in_log ->
#ifdef NO_READ_BACK
      own_id = own_id + EDITS + 1;
      read_log();
      own_id = own_id - EDITS - 1;
      own_base = view_row;
#else
      read_log();
#endif
      own_may_be_in_log = false;
      if
      :: own_kind == 0 -> CLEAR_OWN
      :: else
      fi
    }
  /* The periodic read. */
  :: d_step { own_kind == 0 && view_next < log_size -> read_log() }
  /* snapshot */
  :: d_step {
      snapshots < SNAPSHOTS && view_next > 0 && view_next >= log_first && log_size < LOG_SIZE ->
      snapshots++;
      store(SNAPSHOT, 0, view_row, view_table, view_next)
    }
  /* Sends its table to the starting process. */
  :: d_step {
      me == 1 && view_table > 0 && pushed_table == 0 ->
      pushed_row = view_row;
      pushed_table = view_table
    }
  od
}

/* Starts without access to the log. */
proctype Starting()
{
  byte view_next;
  byte view_row;
  byte view_table;
  byte own_kind;
  byte own_id;
  bool fits;
  byte scan;
end:
  do
  /* learn */
  :: d_step {
      pushed_table != 0 ->
      if
      :: (pushed_table > view_table
#ifdef NO_HIGHER_ONLY
          || true
#endif
         ) ->
        assert(pushed_table >= view_table);
        view_row = pushed_row;
        view_table = pushed_table;
        view_next = pushed_table
      :: else
      fi;
      pushed_row = 0;
      pushed_table = 0
    }
  /* The log can be reached again. */
  :: d_step { view_next < log_size -> read_log() }
  od
}

proctype Network()
{
  bool fits;
  byte scan;
end:
  do
  :: d_step {
      late_kind != 0 && log_size < LOG_SIZE ->
      store(late_kind, late_id, late_base, 0, 0);
      late_kind = 0;
      late_id = 0;
      late_base = 0
    }
  /* Retention: the next record is dropped, if a retained snapshot covers it. */
  :: d_step {
      log_first < log_size ->
      scan = log_size;
      do
      :: (scan > log_first + 1 &&
          !(log_kind[scan - 1] == SNAPSHOT && log_through[scan - 1] > log_first)) ->
        scan--
      :: else -> break
      od;
      if
      :: (scan > log_first + 1
#ifdef NO_SNAPSHOT
          || true
#endif
         ) ->
        log_kind[log_first] = 0;
        log_id[log_first] = 0;
        log_value[log_first] = 0;
        log_table[log_first] = 0;
        log_through[log_first] = 0;
        log_first++
      :: else
      fi;
      scan = 0
    }
  od
}

init
{
  atomic {
    run Entry(0, 1, 2);
    run Entry(1, 3, 3);
    run Starting();
    run Network()
  }
}
