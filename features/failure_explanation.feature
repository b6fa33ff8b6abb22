@fleet
Feature: Three failed requests, explained from logs and metrics alone
  Runs real processes on loopback. The steps that explain a failure use only the processes'
  standard output and metrics, not the scenario's knowledge of what went wrong.

  Scenario: explained: an unknown outcome, a refusal and an unanswered request
    Given platform: all processes started empty
    Then platform: a configuration with the database "db1" is acknowledged within 8 s
    And platform: every proxy is ready within 5 s
    When platform: a client at the first proxy opens "db1"
    Then platform: it sends "WRITE x 1" and receives "done I" within 5 s
    When explained: the primary hangs, and the authority is down
    And explained: the client sends "WRITE x 2" and receives "TIMEOUT I"
    Then explained: the logs say about it "event=not-served", "code=LD3012", "outcome=unknown", "no answer of a"
    And explained: decisions before it include "event=member-judged", "member=a", "health=unreachable"
    And explained: metrics of the first proxy count an answer with "LD3012"
    When explained: 3 s later the client sends "WRITE x 3" and receives "BUSY I"
    Then explained: the logs say about it "event=try-failed", "reason=no-primary-that-answers"
    And explained: decisions before it include "event=decision", "primary a doubted", "can't reach it"
    And explained: decisions before it include "event=primary-recorded", "primary=none"
    And explained: decisions before it include "event=authority-answered", "outcome=unknown"
    And explained: the logs say about it "event=not-served", "code=LD3002", "outcome=did-not-run"
    And explained: the logs contain a retry delay of 200 to 2000 ms for it
    And explained: metrics of the first proxy count an answer with "LD3002"
    When explained: the first proxy is killed, the client sends "WRITE x 4" and receives "closed"
    When platform: every proxy is ready again within 8 s
    Then explained: no log line contains it
    And explained: the first proxy's log shows a start after it was asked
