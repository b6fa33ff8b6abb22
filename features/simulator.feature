Feature: The simulator repeats itself, holds the product to its promises and shows what broke one

  Scenario: simulator: a seed gives the same trace in another process, after other runs and with other hashes
    When simulator: processes run seeds "1" and "2,1" with different hashes of strings
    Then simulator: seed 1 has the same trace in both

  Scenario: simulator: the fixed seeds hold every promise and exercise every path
    When simulator: the command runs seeds "1-8,24,35,42,48" on 4 cores
    Then simulator: it exits with 0
    And simulator: its last line tells the seeds "1-8,24,35,42,48", the events and 0 violations
    And simulator: it tells that nothing was left out
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

  Scenario: simulator: a primary that restarts right after its promotion is replaced in its turn
    When simulator: seed 1 runs with the script "NEW_PRIMARY_LOST"
    Then simulator: no promise is broken
    And simulator: the group "catchup-1" had a third primary before the failures were over

  Scenario: simulator: a broken promise is told with its seed, and its trace is run again
    When simulator: the command runs a seed in which plans are in force at once
    Then simulator: it exits with 1
    And simulator: it tells "violation: seed=1" and "only-confirmed"
    And simulator: the written trace breaks "only-confirmed" when it is run again

  Scenario Outline: simulator: only the faults that matter are kept of <faults>
    Given simulator: a rule that breaks when the faults <needed> come together
    When simulator: the run with faults <faults> is shortened
    Then simulator: the faults <needed> are left

    Examples:
      | faults            | needed |
      | 0,1,2,3,4,5,6,7   | 5      |
      | 0,1,2,3,4,5,6,7   | 0      |
      | 0,1,2,3,4,5,6,7,8 | 2,7    |
      | 4                 | 4      |

  Scenario Outline: simulator: seeds given as <text> are <seeds>, told as <told>
    When simulator: the seeds "<text>" are read
    Then simulator: they are "<seeds>" and told as "<told>"

    Examples:
      | text    | seeds     | told  |
      | 3       | 3         | 3     |
      | 3-5     | 3 4 5     | 3-5   |
      | 1,7-8   | 1 7 8     | 1,7-8 |
      | 2,3,4   | 2 3 4     | 2-4   |
      | x       | not valid | none  |
      | 5-      | not valid | none  |

  Scenario Outline: simulator: the checker <checker> sees <damage>
    Given simulator: a history with <damage>
    When simulator: the checkers run
    Then simulator: "<checker>" alone finds something

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

  Scenario: simulator: the checkers say nothing of a sound history
    Given simulator: a history with nothing wrong
    When simulator: the checkers run
    Then simulator: nothing is found
