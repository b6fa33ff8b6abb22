Feature: Monitoring members from a home proxy
  Probes keep up to two connections open, and their tasks end with the process.

  Scenario: Probing ends with the process, even with probes in flight
    Given monitor: the shared members
    When monitor: 5 proxies in turn probe every 50 ms for a while and stop
    Then monitor: none left a task running

  Scenario: A statement is sent on a kept connection
    Given monitor: a probe that has queried a separate member once
    When monitor: it runs a statement
    Then monitor: the statement was answered over connection 1

  Scenario: A broken kept connection is replaced by a new one
    Given monitor: a probe that has queried a separate member once
    When monitor: the member restarts
    And monitor: it runs a statement
    Then monitor: the statement was answered over connection 2

  Scenario: A kept connection that does not answer is replaced by a new one
    Given monitor: a probe that has queried a separate member once
    When monitor: its kept connection stops answering
    And monitor: it runs a statement
    Then monitor: the statement was answered over connection 2

  Scenario: A member that accepts no connections is saturated, not unreachable
    Given monitor: separate members and a proxy for them
    When monitor: member b accepts no connections for 1500 ms
    Then monitor: member b was never reported as unreachable

  Scenario: A member that answers requests but no probes counts as reachable
    Given monitor: separate members and a proxy with a probe timeout of 1500 ms
    When monitor: probes of member a are no longer answered
    And monitor: writes are answered for 3500 ms
    Then monitor: member a was never reported as unreachable
    When monitor: the writes stop
    Then monitor: member a is then reported as unreachable

  Scenario Outline: A frozen member is probed as soon as its requests stall, safeguard <safeguard>
    Given monitor: separate members and a proxy that probes every 60000 ms
    And monitor: the check for stalled requests is <safeguard>
    When monitor: member a is frozen and a write is sent
    Then monitor: within 2500 ms it is <verdict>

    Examples:
      | safeguard | verdict      |
      | on        | unreachable  |
      | off       | not reported |
