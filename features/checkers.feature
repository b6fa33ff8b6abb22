Feature: Checkers of a recorded history
  A checker reports nothing for a valid history, and detects violations of its rule.

  Scenario: checkers: a history recorded from a fleet is valid
    Given checkers: the trace "sound"
    When checkers: all checkers run
    Then checkers: no violations are reported

  Scenario Outline: checkers: each checker sees its own damage
    Given checkers: the trace "sound"
    When checkers: it is damaged for "<checker>" and all checkers run
    Then checkers: "<checker>" finds something

    Examples:
      | checker             |
      | read-your-writes    |
      | answers-matched     |
      | answered            |
      | acknowledged-writes |
      | replaced-primary    |
      | did-not-run         |
      | at-most-once        |
      | transactions-apart  |
      | drain               |
      | leaving-member      |
      | member-stop         |
      | revisions           |
      | in-force            |

  Scenario Outline: checkers: a checker detects each kind of violation of its rule: <damage>
    Given checkers: the trace "sound"
    When checkers: it is damaged by "<damage>" and all checkers run
    Then checkers: "<checker>" finds something

    Examples:
      | damage                        | checker             |
      | acknowledged under old term   | replaced-primary    |
      | lost register                 | acknowledged-writes |
      | half a transaction            | transactions-apart  |
      | transaction of two users      | transactions-apart  |
      | committed twice               | at-most-once        |
      | failed but left a row         | did-not-run         |
      | refused but read              | did-not-run         |
      | proxy left with an error      | drain               |
      | turned away by a drain        | drain               |
      | cut by the first of two stops | drain               |
      | never written                 | read-your-writes    |
      | repetition at a first sending | answers-matched     |

  Scenario Outline: checkers: an operation without answer at a proxy under a fault is <verdict>
    Given checkers: an operation without answer from 100 to 200 ms at its proxy
    And checkers: the proxy is <fault> from <began> to <undone> ms
    When checkers: all checkers run
    Then checkers: "answered" finds <count> violations

    Examples:
      | verdict              | fault  | began | undone | count |
      | excused by a kill    | kill   | 150   | 300    | 0     |
      | excused by a freeze  | freeze | 50    | 120    | 0     |
      | excused by a cut     | cut    | 50    | 120    | 0     |
      | a violation, earlier | kill   | 300   | 400    | 1     |

  Scenario: checkers: the demonstration fails on a history without cases for some checkers
    Given checkers: the trace "sound"
    When checkers: the demonstration concludes from it
    Then checkers: it fails, with "too little to judge: revisions, in-force"

  Scenario: checkers: the demonstration passes on a valid history with cases for all checkers
    Given checkers: the trace "sound"
    And checkers: a confirmed revision that came into force at a proxy
    When checkers: the demonstration concludes from it
    Then checkers: it passes

  Scenario Outline: checkers: the demonstration fails on any violation
    Given checkers: the trace "sound"
    And checkers: a confirmed revision that came into force at a proxy
    When checkers: it is damaged for "<checker>" and the demonstration concludes from it
    Then checkers: it fails, with "<number>"

    Examples:
      | checker             | number                     |
      | read-your-writes    | stale_reads=1              |
      | acknowledged-writes | lost_acknowledged_writes=1 |
      | answers-matched     | mixed_answers=1            |
      | transactions-apart  | mixed_answers=1            |
      | at-most-once        | violations=1               |
      | revisions           | violations=1               |

  Scenario Outline: checkers: an error determines the outcome that a caller concludes
    When checkers: a statement fails with "<sqlstate>" and "<message>"
    Then checkers: the caller concludes "<outcome>"

    Examples:
      | sqlstate | message                              | outcome     |
      | 53300    | LD3004: The tenant is over its budget | did-not-run |
      | 40003    | LD3001: The answer was lost          | unknown     |
      | 57P01    | LD3008: A read was cut               | failed      |
      | 40003    | outcome unknown                      | unknown     |
      | 23505    | duplicate key                        | failed      |
      |          | connection lost                      | unknown     |

  Scenario Outline: checkers: the failover gap is the longest pause between completed writes
    Given checkers: writes completed at "<completed>" ms and a kill at <kill> ms
    Then checkers: the failover gap is "<gap>" ms

    Examples:
      | completed            | kill | gap |
      | 0 10 20 30 900 910   | 25   | 870 |
      | 0 10 20 30 900 910   | 35   | 870 |
      | 0 10 20              | 25   | inf |
      | 100 110              | 50   | 50  |

  Scenario Outline: checkers: the ceiling counts reads that a replica could have served
    Given checkers: a write, applied at a replica at <applied> ms, and a read that ends at <ended> ms
    Then checkers: the ceiling of the read share is <ceiling>

    Examples:
      | applied | ended | ceiling |
      | 5       | 10    | 1.0     |
      | 15      | 10    | 0.0     |
