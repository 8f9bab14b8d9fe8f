/*
 * The configuration table, reduced to one row that is set and deleted. Properties: an edit takes
 * effect at most once, every process that has read to the end of the log has the same table, and
 * the table of a process never goes back to an older version.
 *
 * Two entries (the processes that accept calls) read the configuration log and append the edits of
 * two operators. Each edit names the row version that its entry has read, its base version. Every
 * reader folds the log: it applies the edits in log order and rejects those whose base version is
 * not the current one. An append may take effect although its response is lost, have no effect, or
 * take effect after a delay. A third process starts while it cannot reach the log, receives the
 * table from a peer in messages that may be outdated, and reads the log later. Retention drops
 * records that a snapshot covers. To bound the state space, only appends of the first entry fail,
 * and only the second entry sends its table.
 *
 * Steps and the code that implements them:
 *   fold_one            table::Fold::FoldEdit (modules/table/src/fold.cpp). The code keeps one
 *                       tombstone for all rows: the offset of the last deletion, which an editor
 *                       must have read.
 *   read_back           table::Editor::AppendAndReadBack (modules/table/src/editor.cpp)
 *   start_from_snapshot table::Fold::TryComplete
 *   snapshot            table::TableService::Impl::KeepSnapshot
 *                       (modules/table/src/table_service.cpp)
 *   receive_table       entry::TableState::OnPush (modules/entry/src/table_state.cpp)
 *
 * Macros that each remove one guard:
 *   NO_BASE_CHECK        the fold accepts an edit whatever its base version is
 *   NO_TOMBSTONE         a deleted row loses its version, so a duplicate of its creation is
 *                        accepted
 *   NO_READ_BACK         after a lost response the edit is appended again with a new base version
 *   NO_SNAPSHOT          records are dropped before a snapshot covers them
 *   NO_REFOLD            a reader continues after the snapshot record instead of at the first
 *                        offset that the snapshot does not cover
 *   NO_LARGEST_SNAPSHOT  a reader uses the last snapshot instead of the one that covers most
 *   NO_HIGHER_ONLY       a table from a peer replaces a newer one
 */

#ifndef LOG_SIZE
#define LOG_SIZE 5
#endif
#define EDITS 3
#define SNAPSHOTS 2

#define SET 1
#define DELETE 2
#define SNAPSHOT 3

/*
 * The log. log_value is the base version of an edit, or the row version in a snapshot. The version
 * of a row or of the table is the offset of its last accepted edit plus 1; 0 if there was none.
 */
byte log_first;
byte log_size;
byte log_kind[LOG_SIZE];
byte log_id[LOG_SIZE];
byte log_value[LOG_SIZE];
byte log_table[LOG_SIZE];   /* For a snapshot: the table version. */
byte log_through[LOG_SIZE]; /* For a snapshot: the first offset that it does not cover. */

/* Row and table version from folding the whole log; readers must get the same. */
byte expected_row;
byte expected_table;
byte accepted[EDITS + 1]; /* How many times each edit was accepted. */

/* A delayed append, which has not taken effect yet; late_kind is 0 if there is none. */
byte late_kind;
byte late_id;
byte late_base;

/* A table in transit to the starting process; pushed_table is 0 if there is none. */
byte pushed_row;
byte pushed_table;

byte snapshots;

/* Folds the record at an offset into a row and a table version; sets applied if it took effect. */
inline fold_one(offset, row, table, applied)
{
  applied = false;
  if
  :: (log_kind[offset] != SNAPSHOT
#ifndef NO_BASE_CHECK
      && log_value[offset] == row
#endif
     ) ->
    applied = true;
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

/* Appends a record and updates the expected versions. Runs inside an atomic step. */
inline store(kind, id, value, table, through)
{
  log_kind[log_size] = kind;
  log_id[log_size] = id;
  log_value[log_size] = value;
  log_table[log_size] = table;
  log_through[log_size] = through;
  fold_one(log_size, expected_row, expected_table, edit_applied);
  if
  :: edit_applied ->
    accepted[id]++;
    assert(accepted[id] <= 1)
  :: else
  fi;
  edit_applied = false;
  log_size++
}

/*
 * Loads a retained snapshot and continues at the first offset that it does not cover. Uses the
 * snapshot that covers most, which is not always the last: a slow entry may append an old snapshot
 * after a newer one.
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

/* Reads to the end of the log. The versions must then be the expected ones, and never decrease. */
inline read_log()
{
  if
  :: view_next < log_first -> start_from_snapshot()
  :: else
  fi;
  do
  :: view_next < log_size ->
    fold_one(view_next, view_row, view_table, edit_applied);
    if
    :: own_kind != 0 && log_id[view_next] == own_id -> own_kind = 0
    :: else
    fi;
    view_next++
  :: else -> break
  od;
  edit_applied = false;
  assert(view_row == expected_row);
  assert(view_table == expected_table)
}

/* Clears the outstanding edit, so that equal states are not stored twice. */
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
  bool edit_applied;
  byte scan;
end:
  do
  /* An operator sends an edit based on the row version that this entry has read. */
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
  /* Appends the outstanding edit once. */
  :: atomic {
      own_kind != 0 && !own_may_be_in_log ->
      if
      :: log_size < LOG_SIZE -> /* Takes effect; the response may be lost. */
        store(own_kind, own_id, own_base, 0, 0)
      :: me == 0 -> skip /* No effect. */
      :: me == 0 && late_kind == 0 -> /* Takes effect after a delay. */
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
  /* read_back: finds the edit in the log by its id. */
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
  /* The periodic read of the log. */
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

/* A process that starts without access to the log. */
proctype Starting()
{
  byte view_next;
  byte view_row;
  byte view_table;
  byte own_kind;
  byte own_id;
  bool edit_applied;
  byte scan;
end:
  do
  /* receive_table */
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
  /* The log is reachable again. */
  :: d_step { view_next < log_size -> read_log() }
  od
}

/* Applies the delayed append, and drops records by retention. */
proctype Network()
{
  bool edit_applied;
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
  /* Retention: drops the oldest record if a snapshot that stays in the log covers it. */
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
