Feature: Promotion in a group of real members, under failures
  The most advanced member of a majority that promised the term becomes primary, or none does;
  acknowledged rows are kept.  Scenarios also run with a safeguard disabled, to show that they
  detect the fault.

  Background:
    Given takeover: proxies p1 and p2 with three members and an acknowledged row

  Scenario Outline: The promoter dies <when>, another one promotes under a higher term
    When takeover: the primary is killed
    And takeover: p1 dies <when> under term 2
    And takeover: p2 is ordered to promote under term 3
    Then takeover: p2 has promoted a member, which holds every acknowledged row
    And takeover: a late promotion under term 2 is refused everywhere
    And takeover: writes continue under term 3

    Examples:
      | when                         |
      | before any promise           |
      | between promises and promote |
      | before its answer            |

  Scenario: Of two promoters with different terms, the one with the higher term prevails
    When takeover: the primary is killed
    And takeover: p1 is ordered to promote under term 2 and p2 under term 3 at once
    Then takeover: p2 has promoted a member, which holds every acknowledged row
    And takeover: writes continue under term 3

  Scenario: The most advanced member dies after its promise, and nothing is lost
    Given takeover: member b was down while a row was written
    When takeover: the primary is killed
    And takeover: the chosen member is killed before it is promoted under term 2
    Then takeover: nobody was promoted
    When takeover: the killed member restarts
    And takeover: p2 is ordered to promote under term 3
    Then takeover: p2 has promoted a member, which holds every acknowledged row

  Scenario: The primary resumes during a promotion
    When takeover: the primary is frozen
    And takeover: it resumes between promises and promote of p1 under term 2
    Then takeover: p1 has promoted a member, which holds every acknowledged row
    And takeover: a write that p2 still sends to the old primary is not acknowledged
    And takeover: writes continue under term 2

  Scenario: A frozen primary that resumes after its replacement acknowledges nothing
    When takeover: the primary is frozen
    And takeover: p2 sends it a write that it reads after it resumes
    And takeover: p1 is ordered to promote under term 2
    And takeover: the primary resumes
    Then takeover: p1 has promoted a member, which holds every acknowledged row
    And takeover: the write of p2 is not acknowledged
    And takeover: writes continue under term 2

  Scenario Outline: A false acknowledgement of a replaced primary is not relayed, check <safeguard>
    Given takeover: the primary acknowledges without a majority
    And takeover: the safeguard "term at the acknowledgement" is <safeguard>
    When takeover: a write is under way at the primary while p2 learns of a higher term
    Then takeover: the write of p2 <outcome>

    Examples:
      | safeguard | outcome             |
      | on        | is not acknowledged |
      | off       | is acknowledged     |

  Scenario Outline: A less advanced member is not promoted, <rule>
    Given takeover: member b was down while a row was written
    And takeover: the safeguard "<rule>" is <safeguard>
    When takeover: the primary is frozen
    And takeover: <others>
    And takeover: p1 is ordered to promote under term 2
    And takeover: all members resume
    And takeover: if no member leads, p2 is ordered to promote from term 3 on
    Then takeover: the acknowledged rows are <rows>

    Examples:
      | rule                  | safeguard | others              | rows      |
      | most advanced promise | on        | member c answers    | all there |
      | most advanced promise | off       | member c answers    | not all there |
      | majority of promises  | on        | member c is frozen  | all there |
      | majority of promises  | off       | member c is frozen  | not all there |

  Scenario: A planned switchover promotes its target, even if the old primary's log is longer
    Given takeover: the primary holds a log record that no other member has
    When takeover: p1 is ordered to move the primary to b under term 2
    Then takeover: p1 has promoted b
    And takeover: p1 has promoted a member, which holds every acknowledged row
