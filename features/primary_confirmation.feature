Feature: What a proxy believes of the recorded primary
  A proxy's parts between a client and stand-in members on loopback, and the rule on members' answers by itself.
  docs/design/promotion-claims.md describes the rules.

  # A proxy read at a member that was recorded as the primary before it led, on an old log.
  Scenario: confirmation: reads of the primary do not run at a member that is recorded before it leads
    Given confirmation: a primary database on primary a and replicas b and c, which lag by 1500 ms
    When confirmation: x is written as 1
    And confirmation: b is recorded as the primary, and a still leads
    And confirmation: another proxy writes x as 2
    Then confirmation: for 600 ms every "READ x" is told 2, or is refused as not run
    When confirmation: b leads
    And confirmation: "WRITE x 3" is told "done I" within 1000 ms
    Then confirmation: for 200 ms every "READ x" is told 3
    And confirmation: the last read ran at b

  # What the member itself had said was forgotten with the next record, or did not count.
  Scenario Outline: confirmation: a read goes to the recorded primary only as long as it does not deny its role: <how>
    Given confirmation: a primary database on primary a and replicas b and c, which lag by 1500 ms
    When confirmation: x is written as 1
    And confirmation: c receives nothing, and leads, and the proxy does not know
    And confirmation: <how>
    And confirmation: another proxy writes x as 2
    Then confirmation: for 300 ms every "READ x" is told 2, or is refused as not run

    Examples:
      | how                              |
      | a refuses a write as a replica   |
      | a answers a status query         |

  # The read's own position showed that the member lacked a commit that this proxy had seen acknowledged.
  Scenario: confirmation: a read that lacks an acknowledged commit is not delivered
    Given confirmation: a primary database on primary a and replicas b and c, which lag by 0 ms
    When confirmation: x is written as 1
    And confirmation: c receives nothing
    And confirmation: x is written as 2
    And confirmation: c leads, and the proxy does not know
    Then confirmation: for 300 ms every "READ x" is told 1
    And confirmation: the last read did not run at a

  # A write went to a primary that was being replaced, and would have been lost.
  Scenario Outline: confirmation: a primary that is being replaced gets no writes, after <grants> grants
    Given confirmation: a primary database on primary a and replicas b and c, which lag by 0 ms
    When confirmation: x is written as 1
    And confirmation: <grants> terms are granted one after the other
    Then confirmation: "WRITE x 2" is told "BUSY I" within 1000 ms
    And confirmation: "WRITE x 2" ran nowhere

    Examples:
      | grants |
      | 1      |
      | 2      |
      | 3      |

  # Replicas were released by the record of a member that did not lead yet: the choice of it rested on these holds.
  Scenario: confirmation: replicas stay held while the recorded primary has not said that it leads
    Given confirmation: a primary database on primary a and replicas b and c, which lag by 0 ms
    And confirmation: commits wait for a replica
    When confirmation: 1 terms are granted one after the other
    And confirmation: c is held
    And confirmation: b is recorded as the primary, and a still leads
    And confirmation: 2500 ms pass
    Then confirmation: c is still held

  # Answers arrive in another order than the questions were sent.
  Scenario Outline: confirmation: <order>
    Given confirmation: a is recorded as the primary at second 10
    When confirmation, members say: <order>
    Then confirmation: a <confirmed> and <denies>

    Examples: D is a denial and C a claim, each with the seconds of the question and of its arrival
      | order                    | confirmed        | denies          |
      | nothing                  | is not confirmed | does not deny   |
      | C 11-12                  | is confirmed     | does not deny   |
      | C 9-12                   | is not confirmed | does not deny   |
      | D 9-12                   | is not confirmed | does not deny   |
      | D 11-12                  | is not confirmed | denies          |
      | C 11-12, D 13-14         | is not confirmed | denies          |
      | D 11-12, C 13-14         | is confirmed     | does not deny   |
      | D 11-14, C 12-13         | is not confirmed | denies          |
      | C 12-13, D 11-14         | is not confirmed | denies          |
      | D 9-12, C 11-13          | is not confirmed | does not deny   |
      | D 9-12, C 13-14          | is confirmed     | does not deny   |
      | C 11-12, D 9-13          | is not confirmed | does not deny   |
      | C 11-12, D 9-13, C 14-15 | is confirmed     | does not deny   |
      | C 11-12, recorded 13     | is not confirmed | does not deny   |
      | D 11-12, recorded 13     | is not confirmed | does not deny   |
      | C 11-12, replaced 13     | is not confirmed | does not deny   |
      | C 11-12, restarted 13    | is not confirmed | does not deny   |
      | D 11-12, restarted 13    | is not confirmed | does not deny   |
