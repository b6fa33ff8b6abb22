@fleet
Feature: A proxy that is told to stop answers every statement that it takes
  Guards against statements without an answer when proxies of one zone stop in overlapping series:
  - A stopping proxy accepted statements and sessions until it ended 5.1 s after SIGTERM, and cut off what was running:
    "event=stopped clients=12 under_way=12 elapsed_ms=5138", then lines such as
    "event=unanswered kind=read ended_by=process-end was_sent=True held_ms=172". Six requests were read long after the
    signal, most of them ran at a member, and their connections closed without an answer.
  - Sessions were closed right after an answer while their next statement was in flight.
  - Transactions begun later than 2.7 s after the signal failed without an earlier error:
    "LD1001 The transaction failed: end it first."

  Scenario Outline: planned stop: clients <habit>, <state>, and <proxies> stop
    Given planned stop: two proxies that serve "db1"
    And planned stop: <state>
    When planned stop: 12 clients <habit> without end, and <proxies> stop
    Then planned stop: every statement got a whole answer
    And planned stop: every session request got an answer
    And planned stop: some were answered after the signal
    And planned stop: no client got a failure without having been told its cause
    And planned stop: the proxies that stopped ended with 0 within 6 s

    Examples:
      | habit              | state                                                   | proxies           |
      | read               | members work 700 ms on a read                           | the first         |
      | read               | members are busy for good                               | the first         |
      | write              | members answer after 300 ms                             | the first         |
      | run transactions   | members answer after 50 ms                              | the first         |
      | rest between reads | members answer after 50 ms                              | the first         |
      | read               | statements may take 8 s, and members work 7 s on a read | the first         |
      | read               | members work 700 ms on a read                           | both, 0.4 s apart |
      | run transactions   | members answer after 50 ms                              | both, 0.4 s apart |

  Scenario: planned stop: clients with idle transactions don't keep a proxy from ending
    Given planned stop: two proxies that serve "db1"
    When planned stop: 12 clients rest inside transactions without end, and the first stop
    Then planned stop: every statement got a whole answer
    And planned stop: the proxies that stopped ended with 0 within 6 s

  Scenario Outline: planned stop: a controller that is told to stop answers every accepted call: <which>, <state>
    Given planned stop: two proxies that serve "db1"
    When planned stop: 8 callers call <which> without end, <state>, and it stops
    Then planned stop: every call got a whole answer
    And planned stop: some were answered with <status>
    And planned stop: the controller ended with 0 within 6 s

    Examples:
      | which      | state                  | status |
      | the leader | the others work        | 200    |
      | a follower | the others work        | 200    |
      | the leader | the others stand still | 503    |
      | a follower | the others stand still | 503    |

  Scenario: planned stop: early or repeated signals end no process early
    Given planned stop: two proxies that serve "db1"
    When planned stop: the first proxy is restarted, and gets SIGHUP while it loads
    Then planned stop: the proxies serve
    When planned stop: the first proxy gets SIGTERM each 20 ms until it ends
    Then planned stop: the proxies that stopped ended with 0 within 6 s
