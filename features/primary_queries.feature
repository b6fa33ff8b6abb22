Feature: A proxy asks a member that is being promoted whether it leads
  A proxy's parts before stand-in members on loopback. docs/design/promotion-claims.md describes the rules.

  # The controllers ask who leads; the answer has to be from after the question, and must change nothing at the member.
  Scenario: primary queries: a member's claim is reported once it leads, and no sooner
    Given confirmation: a primary database on primary a and replicas b and c, which lag by 0 ms
    When confirmation: 1 terms are granted one after the other
    And confirmation: b is held
    And primary queries: the controllers ask for 1000 ms whether b leads
    And confirmation: 300 ms pass
    Then primary queries: no claim is reported
    And confirmation: b is still held
    When confirmation: b leads
    Then primary queries: one claim of b with its term is reported within 300 ms

  # The member began to lead between two questions, and was recorded half a second later.
  Scenario: primary queries: a repeated question goes on without a pause
    Given confirmation: a primary database on primary a and replicas b and c, which lag by 0 ms
    When confirmation: 1 terms are granted one after the other
    And primary queries: the controllers ask for 300 ms whether b leads
    And confirmation: 200 ms pass
    And primary queries: the controllers ask for 300 ms whether b leads
    And confirmation: 200 ms pass
    And confirmation: b leads
    Then primary queries: one claim of b with its term is reported within 90 ms

  # Each question was given up before a slow member could answer: it was never recorded, and replaced again and again.
  Scenario Outline: primary queries: a member that takes <ms> ms for an answer, <known>
    Given confirmation: a primary database on primary a and replicas b and c, which lag by 0 ms
    And confirmation: members answer after <ms> ms, <known>
    When confirmation: 1 terms are granted one after the other
    And confirmation: b leads
    And primary queries: the controllers ask for 1000 ms whether b leads
    Then primary queries: one claim of b with its term is reported within <limit> ms

    Examples: a connection is opened first, which takes as long; a known member needs no shorter attempts before
      | ms  | known                      | limit |
      | 300 | which the proxy knows      | 800   |
      | 300 | which the proxy learns now | 1500  |
      | 700 | which the proxy knows      | 1600  |

  # Its answer came after the question had been given up: writes waited for the record.
  Scenario: primary queries: a slow member that leads is found before it is recorded
    Given confirmation: a primary database on primary a and replicas b and c, which lag by 0 ms
    And confirmation: members answer after 700 ms, which the proxy knows
    When confirmation: 1 terms are granted one after the other
    And confirmation: b leads
    And primary queries: the proxy looks for a primary
    Then primary queries: b is taken for the primary within 1700 ms

  # Reads of the primary would never have gone there without a position.
  Scenario: primary queries: a slow primary is confirmed
    Given confirmation: a primary database on primary a and replicas b and c, which lag by 0 ms
    And confirmation: members answer after 700 ms, which the proxy knows
    When confirmation: 3000 ms pass
    Then primary queries: a is confirmed as the primary

  Scenario Outline: primary queries: a question is given up when <reason>
    Given confirmation: a primary database on primary a and replicas b and c, which lag by 0 ms
    When confirmation: 1 terms are granted one after the other
    And primary queries: the controllers ask for 400 ms whether b leads
    And confirmation: <reason>
    And confirmation: b leads
    And confirmation: 300 ms pass
    Then primary queries: no claim is reported

    Examples:
      | reason                                     |
      | 1 terms are granted one after the other    |
      | 600 ms pass                                |

  # A status query that was cancelled returned its connection, and another one was opened for a request that waited: the
  # process ended with 1.
  Scenario Outline: primary queries: a process that ends while members are asked ends without an error, after <ms> ms
    Then primary queries: a process that ends <ms> ms after a question to a slow member ends without an error

    Examples:
      | ms  |
      | 290 |
      | 410 |
      | 490 |
      | 570 |
      | 650 |
