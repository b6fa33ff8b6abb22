Feature: The simulator is deterministic, checks the product's guarantees and reports violations

  Scenario: simulator: a seed gives the same trace in another process, after other runs and with another hash seed
    When simulator: processes run seeds "1" and "2,1" with different hash seeds
    Then simulator: seed 1 has the same trace in both

  Scenario: simulator: the fixed seeds violate no rule and exercise every path
    When simulator: the command runs seeds "1-8,24,35,42,48-49" on 4 cores
    Then simulator: it exits with 0
    And simulator: its last line gives the seeds "1-8,24,35,42,48-49", the number of events and 0 violations
    And simulator: it reports that everything was exercised
    And simulator: it exercised every kind of fault
    And simulator: it exercised these paths
      | path                |
      | failover            |
      | forwarding          |
      | read-on-replica     |
      | refusal             |
      | once-resent-done    |
      | lease-adoption      |
      | snapshot-install    |
      | controller-election |
      | proxy-drained       |
      | confirm-resent      |

  Scenario: simulator: a primary that crashes right after its promotion is replaced again
    When simulator: seed 1 runs with the script "NEW_PRIMARY_LOST"
    Then simulator: no rule is violated
    And simulator: the group "catchup-1" had a third primary before the faults ended

  Scenario: simulator: a violation is reported with its seed, and its trace can be replayed
    When simulator: the command runs a seed with plans in force before their confirmation
    Then simulator: it exits with 1
    And simulator: it prints "violation: seed=1" and "only-confirmed"
    And simulator: replaying the written trace violates "only-confirmed" again

  Scenario Outline: simulator: the faults <faults> are reduced to those needed for the violation
    Given simulator: a rule that is violated if the faults <needed> are all injected
    When simulator: the run with faults <faults> is shortened
    Then simulator: the faults <needed> remain

    Examples:
      | faults            | needed |
      | 0,1,2,3,4,5,6,7   | 5      |
      | 0,1,2,3,4,5,6,7   | 0      |
      | 0,1,2,3,4,5,6,7,8 | 2,7    |
      | 4                 | 4      |

  Scenario Outline: simulator: seeds given as <text> are parsed as <seeds> and formatted as <formatted>
    When simulator: the seeds "<text>" are parsed
    Then simulator: they are "<seeds>", formatted as "<formatted>"

    Examples:
      | text    | seeds     | formatted |
      | 3       | 3         | 3         |
      | 3-5     | 3 4 5     | 3-5       |
      | 1,7-8   | 1 7 8     | 1,7-8     |
      | 2,3,4   | 2 3 4     | 2-4       |
      | x       | not valid | none      |
      | 5-      | not valid | none      |

  Scenario Outline: simulator: the checker <checker> detects <damage>
    Given simulator: a history with <damage>
    When simulator: the checkers run
    Then simulator: only "<checker>" reports violations

    Examples:
      | checker                  | damage                                       |
      | read-your-writes         | a read without the session's own write       |
      | acknowledged-writes      | an acknowledged write that is in no log      |
      | replaced-primary         | an acknowledgement under a term known as old |
      | commit-after-replacement | a commit begun under an old term             |
      | transactions             | a record of two callers                      |
      | transactions             | a record that lacks a write                  |
      | answers                  | an answer to another request                 |
      | answers                  | an answer without a request                  |
      | did-not-run              | a refused request that ran                   |
      | once                     | a write that is in the log twice             |
      | revision-monotonic       | a proxy that went back                       |
      | revision-content         | another content under the same number        |
      | in-force                 | a proxy that stayed behind                   |
      | lease-sum                | leases above the limit                       |
      | lease-outlived           | a lease held too long                        |
      | one-winner               | two plans confirmed from one revision        |
      | first-answer             | two answers to one confirmation              |
      | conflict-has-winner      | a conflict without a winner                  |
      | only-confirmed           | a change that nobody confirmed               |
      | one-leader               | two leaders of a term                        |
      | one-primary              | two primaries of a term                      |
      | leaving-member           | work sent to a leaving member                |
      | drain                    | a request cut by a drain                     |
      | drain                    | a request in flight refused by a drain       |

  Scenario: simulator: the checkers report nothing for a valid history
    Given simulator: a history with nothing wrong
    When simulator: the checkers run
    Then simulator: no violations are reported
