Feature: Faults and performance of the lab's stand-in database

  Scenario Outline: The switch <switch> delays <action>
    Given lab database: a single member
    And lab database: the switch "<switch>" of a is "250"
    Then lab database: <action> takes at least 250 ms
    When lab database: the switch "<switch>" of a is set to "0"
    Then lab database: <action> takes less than 250 ms

    Examples:
      | switch           | action       |
      | delay_answers_ms | a statement  |
      | execute_ms       | a statement  |
      | connect_delay_ms | a connection |

  Scenario: A connection takes 10 ms to open by default
    Given lab database: a single member with the default delays
    Then lab database: half of its connections need 10 ms or more

  Scenario: One busy connection does not starve the others, and a member is fast enough
    Given lab database: a single member with the default delays
    When lab database: 16 clients run SELECT for 1 s
    Then lab database: the 99th percentile was less than 40 times the median
    And lab database: at least 3000 statements ran each second

  Scenario: A replica with freeze_apply serves old reads and still acknowledges records
    Given lab database: a group of 3 with primary a
    And lab database: the switch "freeze_apply" of b is "on"
    And lab database: the switch "freeze_replication" of c is "on"
    When lab database: a runs "INSERT INTO item VALUES (1, 'x')"
    Then lab database: b answers "SELECT count(*) FROM item" with [[0]]
    And lab database: b answers "SELECT pg_is_in_recovery()" with [[true]]
    And lab database: b answers "INSERT INTO item VALUES (2, 'x')" with error 25006
    When lab database: the switch "freeze_apply" of b is set to "off"
    Then lab database: b reaches the position of a

  Scenario Outline: A replica applies after a lag of <first> ms that grows by <slope> ms/s
    Given lab database: a group of 3 with primary a
    And lab database: the switch "lag_ms" of b is "<first>"
    And lab database: the switch "lag_slope_ms_per_s" of b is "<slope>"
    When lab database: a runs "INSERT INTO item VALUES (1, 'x')"
    Then lab database: b shows row 1 after at least <first> ms

    Examples:
      | first | slope |
      | 300   | 0     |
      | 300   | 200   |

  Scenario: A replica that lost its data folder is rebuilt from the primary's log
    Given lab database: a group of 3 with primary a
    When lab database: a runs "INSERT INTO item VALUES (1, 'kept')"
    And lab database: the switch "freeze_replication" of a is set to "on"
    And lab database: b loses its data folder and restarts
    Then lab database: b answers "SELECT group_term()" with [[0]]
    And lab database: b answers "SELECT pg_last_wal_replay_lsn()" with [["0/0"]]
    When lab database: the switch "freeze_replication" of a is set to "off"
    Then lab database: b and c reach the position of a
    And lab database: all members hold the same rows
    And lab database: every member shows term 1

  Scenario: An emptied member that counts at once loses acknowledged data
    Given lab database: a group of 3 with primary a
    And lab database: the switch "freeze_replication" of c is "on"
    When lab database: a runs "INSERT INTO item VALUES (1, 'acknowledged')"
    And lab database: the switch "freeze_replication" of a is set to "on"
    And lab database: b loses its data folder and restarts
    And lab database: b and c promise term 2
    And lab database: the switch "freeze_replication" of c is set to "off"
    And lab database: c is promoted under term 2
    And lab database: the switch "freeze_replication" of a is set to "off"
    Then lab database: a, b and c answer "SELECT count(*) FROM item" with [[0]]

  Scenario: A removed member no longer takes part in its group
    Given lab database: a group of 3 with primary a
    And lab database: the switch "removed" of b is "on"
    When lab database: a runs "INSERT INTO item VALUES (1, 'x')"
    Then lab database: c reaches the position of a
    And lab database: b answers "SELECT group_role()" with [["removed"]]
    And lab database: b answers "SELECT count(*) FROM item" with [[0]]
