"""Stand-in for one member of a PostgreSQL-speaking database group.

Each process runs one member. It uses curio, speaks PostgreSQL protocol version 3 to clients,
executes SQL with SQLite and keeps its own replicated log. It exists to test the product against
failures and is not meant for storing real data.

SQL functions
-------------
| function | type | answer |
|---|---|---|
| ``group_term()`` | int8 | term under whose primary the applied log was last verified; on a primary, its own term; 0 = not verified since start |
| ``group_role()`` | text | primary, replica, promised (follows no primary in the promised term yet, or is being promoted), removed |
| ``pg_is_in_recovery()`` | bool | false only on a primary that accepts writes |
| ``pg_current_wal_lsn()`` | text | primary: position of the last local commit; elsewhere error 55000 |
| ``pg_last_wal_replay_lsn()`` | text | replica: position of the last applied record; NULL on a primary |
| ``group_promise(T [, 'promoter'])`` | text | lab_admin, limedyke_admin: promises T; answers 'term of last record,X/Y end of log'; 55000 with the promised term in the detail when T is not higher; the same T from the same named promoter answers again |
| ``group_promote(T)`` | text | lab_admin, limedyke_admin: becomes primary under the promised T; answers like group_promise once a majority holds the term's first record |
| ``backend_id()`` | text | 'member:connection number' |
| ``pg_backend_pid()`` | int8 | connection number |
| ``pg_sleep(s)`` | text | waits, holding a slot |
| ``pg_[try_]advisory_[xact_]lock(k)``, ``pg_advisory_unlock(k)``, ``pg_advisory_unlock_all()`` | text/bool | as in PostgreSQL |
| ``pg_cancel_backend(n)``, ``pg_terminate_backend(n)`` | bool | as in PostgreSQL |
| ``lab_set('switch','value')``, ``lab_get('switch')`` | text | lab_admin: failure switches, see ``switches`` |
| ``lab_raise('SQLSTATE' [, 'message'])`` | - | raises that error |
| ``now()``, ``random()``, ``gen_random_uuid()``, ``current_setting``, ``set_config``, ``version()``, ``current_user``, ... | | as in PostgreSQL; timestamps are text |

Positions ``X/Y`` compare as pairs of hexadecimal numbers. ``POSITION_QUERY`` of ``sql_text``
answers term, recovery and position in one row without touching SQLite and without a slot.

Replication
-----------
A primary executes, syncs the transaction's record to its log, commits locally and answers the
client only when a majority of the group has synced the record under the current term. Replicas
apply majority-committed records after the lag. A member follows one primary per term, refuses
terms lower than the one it promised, and truncates records that the new primary does not have; when
SQLite had applied records beyond the cut, it is rebuilt from the log and all sessions end with
57P01. A restarted
member is a replica of term 0 until a primary contacts it. As with PostgreSQL's synchronous
replication, readers on a primary may see a local commit that is not acknowledged yet. A commit
that can no longer be acknowledged fails with 40003. Writes on any other member fail with 25006.

Limits
------
Replication is by statement: writes must be deterministic given the same data. ``now()`` and
``random()`` are logged with the transaction. Writes are serial (one lock per member, taken at the
first write). Reads see the newest commit per statement; REPEATABLE READ keeps one snapshot.
Results are held in memory. The log is never compacted, and a member whose data folder was emptied
counts as an ordinary member at once, although it has lost its promises. No COPY, LISTEN, cursors,
SQL-level PREPARE, data-modifying CTEs or replicated writes that read temporary tables.
SQLite's typing applies: a column has the type of its first non-NULL value, boolean columns
contain 0 and 1, and division by zero yields NULL.
"""  # noqa: E501
