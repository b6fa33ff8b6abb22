Feature: The lab's stand-in database

  A member speaks the PostgreSQL protocol, reports its term and position, and acknowledges a commit
  only when a majority of its group stores it under the current term.

  Scenario Outline: Contract of a single member: <statement>
    Given lab database: a shared single member
    When lab database: the client runs "<statement>"
    Then lab database: the answer is <answer>

    Examples:
      | statement                                                         | answer            |
      | SELECT 1 + 1                                                      | [[2]]             |
      | SELECT 'it''s; $1 -- fine' /* ; */                                | [["it's; $1 -- fine"]] |
      | SELECT 3 - -1, 1.5, NULL                                          | [[4, 1.5, null]]  |
      | SELECT '5'::int8 + 1                                              | [[6]]             |
      | SELECT group_term()                                               | [[1]]             |
      | SELECT group_role()                                               | [["primary"]]     |
      | SELECT pg_is_in_recovery()                                        | [[false]]         |
      | SELECT pg_last_wal_replay_lsn()                                   | [[null]]          |
      | SELECT pg_current_wal_lsn() = '0/0'                               | [[0]]             |
      | SELECT pg_catalog.version() = version()                           | [[1]]             |
      | SELECT 1 AS a, pg_catalog.current_schema()                        | [[1, "public"]]   |
      | SHOW server_version                                               | [["16.0"]]        |
      | SHOW transaction_read_only                                        | [["off"]]         |
      | SELECT current_user                                               | [["app"]]         |
      | SELECT backend_id() = 'a:' \|\| pg_backend_pid()                  | [[1]]             |
      | SELECT pg_try_advisory_lock(7)                                    | [[true]]          |
      | SELECT random() >= 0 AND random() < 1                             | [[1]]             |
      | SET limedyke.session = 'x'; SHOW limedyke.session                 | [["x"]]           |
      | SELECT set_config('a.b', 'c', false), current_setting('a.b')      | [["c", "c"]]      |

  Scenario Outline: Errors carry their SQLSTATE: <statement>
    Given lab database: a shared single member
    When lab database: the client runs "<statement>"
    Then lab database: the error is <sqlstate>

    Examples:
      | statement                                    | sqlstate |
      | SELEC 1                                      | 42601    |
      | SELECT * FROM missing                        | 42P01    |
      | SELECT missing_function()                    | 42883    |
      | INSERT INTO item VALUES (1, 'a'), (1, 'b')   | 23505    |
      | INSERT INTO item VALUES (2, NULL)            | 23502    |
      | COPY item TO STDOUT                          | 0A000    |
      | LISTEN channel                               | 0A000    |
      | SHOW no_such_setting                         | 42704    |
      | SAVEPOINT s                                  | 25P01    |
      | BEGIN READ ONLY; DELETE FROM item            | 25006    |
      | SELECT lab_raise('40001')                    | 40001    |
      | SELECT lab_set('slots', '1')                 | 42501    |
      | SELECT group_promise(9)                      | 42501    |

  Scenario Outline: Values are read back unchanged in mode <mode>
    Given lab database: a single member
    When lab database: 100 rows are written and read back in mode <mode>
    Then lab database: the rows read are the rows written

    Examples:
      | mode     |
      | simple   |
      | extended |
      | prepared |
      | pipeline |
      | binary   |

  Scenario: A portal with a row limit returns its rows in parts
    Given lab database: a single member
    When lab database: 10 rows are fetched by a portal of 4 rows
    Then lab database: the portal was suspended 2 times and returned 10 rows

  Scenario: A failed statement aborts its transaction; rolling back to a savepoint recovers it
    Given lab database: a single member
    When lab database: the client runs "BEGIN; INSERT INTO item VALUES (11, 'a'); SAVEPOINT s"
    And lab database: the client runs "INSERT INTO item VALUES (11, 'again')"
    Then lab database: the error is 23505
    When lab database: the client runs "SELECT 1"
    Then lab database: the error is 25P02
    When lab database: the client runs "ROLLBACK TO s; INSERT INTO item VALUES (12, 'b'); COMMIT"
    And lab database: the client runs "SELECT id FROM item WHERE id > 10"
    Then lab database: the answer is [[11], [12]]

  Scenario: Session state stays with its connection until DISCARD ALL
    Given lab database: a single member
    When lab database: the client runs "SET application_name = 'leak'; SELECT pg_advisory_lock(5)"
    And lab database: the client runs "CREATE TEMP TABLE scratch (a int); INSERT INTO scratch VALUES (1)"
    And lab database: the client runs "SHOW application_name"
    Then lab database: the answer is [["leak"]]
    When lab database: another client runs "SELECT pg_try_advisory_lock(5)"
    Then lab database: the answer is [[false]]
    When lab database: the client runs "DISCARD ALL"
    And lab database: another client runs "SELECT pg_try_advisory_lock(5)"
    Then lab database: the answer is [[true]]
    When lab database: the client runs "SELECT * FROM scratch"
    Then lab database: the error is 42P01

  Scenario: A cancel request ends a running statement
    Given lab database: a single member
    When lab database: a statement that sleeps for 30 seconds is cancelled
    Then lab database: the error is 57014

  Scenario: The connection limit refuses ordinary users only
    Given lab database: a single member with 3 connections and 5 slots
    When lab database: 3 clients connect
    Then lab database: a further client is refused with 53300
    And lab database: the administrator still connects

  Scenario: Slots limit how many statements execute at once
    Given lab database: a single member with 40 connections and 2 slots
    And lab database: the switch "execute_ms" of a is "150"
    When lab database: 6 clients run one statement each at once
    Then lab database: together they took at least 450 ms

  Scenario: A wrong password is refused
    Given lab database: a single member
    Then lab database: a client with a wrong password is refused

  Scenario: A failed sync of the log rolls the commit back
    Given lab database: a single member
    And lab database: the switch "fail_fsync" of a is "on"
    When lab database: the client runs "INSERT INTO item VALUES (50, 'lost')"
    Then lab database: the error is 58030
    When lab database: the client runs "SELECT count(*) FROM item WHERE id = 50"
    Then lab database: the answer is [[0]]

  Scenario: A stop signal ends the process with exit code 0 and flushes the history
    Given lab database: a single member
    When lab database: the client runs "INSERT INTO item VALUES (60, 'kept')"
    And lab database: a is stopped
    Then lab database: the history of a has "INSERT INTO item VALUES (60, 'kept')" as commit

  Scenario: Replicas hold the same rows at the same position, including random values
    Given lab database: a group of 3 with primary a
    When lab database: a runs "INSERT INTO item SELECT 1, random() || now() || gen_random_uuid()"
    Then lab database: b and c reach the position of a
    And lab database: all members hold the same rows
    And lab database: b answers "INSERT INTO item VALUES (2, 'x')" with error 25006

  Scenario: A lagging replica applies late but lets commits through
    Given lab database: a group of 3 with primary a
    And lab database: the switch "lag_ms" of b is "60000"
    When lab database: a runs "INSERT INTO item VALUES (1, 'x')"
    Then lab database: c reaches the position of a
    And lab database: b answers "SELECT count(*) FROM item" with [[0]]

  Scenario: A commit that no majority holds is not acknowledged
    Given lab database: a group of 3 with primary a
    And lab database: the switch "freeze_replication" of b is "on"
    And lab database: the switch "freeze_replication" of c is "on"
    When lab database: a starts "INSERT INTO item VALUES (1, 'x')"
    Then lab database: the write is still waiting after 500 ms
    When lab database: the switch "freeze_replication" of c is set to "off"
    Then lab database: the waiting write is acknowledged

  Scenario: A replaced primary acknowledges nothing and its log is truncated
    Given lab database: a group of 3 with primary a
    And lab database: the switch "freeze_replication" of b is "on"
    And lab database: the switch "freeze_replication" of c is "on"
    When lab database: the client runs "SELECT 1"
    And lab database: a starts "INSERT INTO item VALUES (1, 'old')"
    And lab database: b and c promise term 2
    And lab database: the switch "freeze_replication" of b is set to "off"
    And lab database: the switch "freeze_replication" of c is set to "off"
    And lab database: b is promoted under term 2
    And lab database: b runs "INSERT INTO item VALUES (1, 'new')"
    Then lab database: the waiting write ends with error 40003
    And lab database: a and c reach the position of b
    And lab database: a answers "SELECT text FROM item" with [["new"]]
    And lab database: every member shows term 2
    When lab database: the client runs "SELECT 1"
    Then lab database: the error is 57P01

  Scenario Outline: An open transaction of a replaced primary does not commit on <ending>
    Given lab database: a group of 3 with primary a
    When lab database: a opens a write of row 1 by <ending>
    And lab database: a and c promise term 2
    And lab database: c is promoted under term 2
    Then lab database: ending the write gives error 25006
    And lab database: c answers "SELECT count(*) FROM item" with [[0]]

    Examples:
      | ending |
      | COMMIT |
      | SYNC   |

  Scenario Outline: Promises after a promise of term 5: <case>
    Given lab database: a group of 3 with primary a
    When lab database: b promises term 5 to "first"
    Then lab database: a promise of term <term> by b to "<promoter>" gives <answer>

    Examples:
      | case               | term | promoter | answer |
      | higher             | 6    | second   | yes    |
      | same again         | 5    | first    | yes    |
      | same, other asks   | 5    | second   | 55000  |
      | lower              | 4    | first    | 55000  |

  Scenario Outline: A promise survives a restart: <case>
    Given lab database: a group of 3 with primary a
    When lab database: b promises term 5 to "first"
    And lab database: all members are restarted by SIGKILL
    Then lab database: a promise of term <term> by b to "<promoter>" gives <answer>

    Examples:
      | case             | term | promoter | answer |
      | same again       | 5    | first    | yes    |
      | same, other asks | 5    | second   | 55000  |
      | lower            | 4    | second   | 55000  |

  Scenario: Two members promoted under one term: only the first that is followed accepts writes
    Given lab database: a group of 3 with primary a
    When lab database: b and c promise term 2
    And lab database: the switch "freeze_replication" of c is set to "on"
    And lab database: b is promoted under term 2
    And lab database: a follows term 2
    And lab database: c starts "SELECT group_promote(2)"
    And lab database: the switch "freeze_replication" of c is set to "off"
    Then lab database: the write is still waiting after 500 ms
    And lab database: c answers "SELECT group_role()" with [["promised"]]
    And lab database: b answers "SELECT group_role()" with [["primary"]]

  Scenario: A member that promised is promoted only under that term
    Given lab database: a group of 3 with primary a
    When lab database: b and c promise term 4
    Then lab database: b answers "SELECT group_promote(3)" with error 55000
    And lab database: b answers "INSERT INTO item VALUES (1, 'x')" with error 25006
    And lab database: a is refused by its peers and steps down

  Scenario Outline: A restart by <signal> keeps acknowledged writes and resets the verified term
    Given lab database: a group of 3 with primary a
    When lab database: a runs "INSERT INTO item VALUES (1, 'kept')"
    And lab database: all members are restarted by <signal>
    Then lab database: every member shows term 0
    And lab database: a answers "INSERT INTO item VALUES (2, 'x')" with error 25006
    When lab database: b and c promise term 2
    And lab database: promotion under term 2 goes to the more advanced of b and c
    Then lab database: a, b and c answer "SELECT text FROM item" with [["kept"]]

    Examples:
      | signal  |
      | SIGTERM |
      | SIGKILL |

  Scenario: A promotion without the most advanced member loses acknowledged data
    Given lab database: a group of 3 with primary a
    And lab database: the switch "freeze_replication" of c is "on"
    When lab database: a runs "INSERT INTO item VALUES (1, 'acknowledged')"
    And lab database: b and c promise term 2
    And lab database: the switch "freeze_replication" of c is set to "off"
    And lab database: c is promoted under term 2
    Then lab database: a, b and c answer "SELECT count(*) FROM item" with [[0]]

  Scenario: The misbehaving mode acknowledges before a majority
    Given lab database: a group of 3 with primary a
    And lab database: the switch "freeze_replication" of b is "on"
    And lab database: the switch "freeze_replication" of c is "on"
    And lab database: the switch "lose_acknowledged" of a is "on"
    When lab database: a runs "INSERT INTO item VALUES (1, 'lost')"
    And lab database: b and c promise term 2
    And lab database: the switch "freeze_replication" of b is set to "off"
    And lab database: the switch "freeze_replication" of c is set to "off"
    And lab database: b is promoted under term 2
    Then lab database: a, b and c answer "SELECT count(*) FROM item" with [[0]]

  Scenario Outline: The log opens after a crash: <damage>
    When lab database: a log of 3 records is damaged by <damage>
    Then lab database: the log opens with <records> records and takes a further one

    Examples:
      | damage                 | records |
      | half a record appended | 3       |
      | its last byte changed  | 2       |
      | its last byte lost     | 2       |

  Scenario Outline: Response faults: <switch>
    Given lab database: a single member
    And lab database: the switch "<switch>" of a is "1"
    When lab database: a batch of an insert of row 70 and a batch of SELECT 'second' are sent together
    Then lab database: the command tags received are <answers>
    And lab database: row 70 was written

    Examples:
      | switch                        | answers              |
      | drop_connection_after_execute | -                    |
      | duplicate_answer_tail         | INSERT,INSERT,SELECT |
      | swap_answers                  | SELECT,INSERT        |

  Scenario Outline: Refused connections: <mode>
    Given lab database: a single member
    And lab database: the switch "refuse_connections" of a is "<mode>"
    Then lab database: a further client is refused with <sqlstate>
    And lab database: the administrator still connects

    Examples:
      | mode  | sqlstate |
      | on    | none     |
      | error | 57P03    |
