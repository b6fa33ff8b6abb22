Feature: Answers and outcomes with real members
  A caller gets exactly the complete answer to its own request, and the reported outcome is true.
  Scenarios also run with a safeguard disabled, to show that they detect the fault.

  Background:
    Given back ends: proxy p1 with the shared members

  Scenario Outline: Answers never mix: <fault>, <access>, safeguard <safeguard>
    Given outcomes: p1 has one connection to each member
    And outcomes: the safeguard "answers" is <safeguard>
    When outcomes: <count> times a <access> asks for its own number while members <fault>
    Then outcomes: it is <wrong> that a wrong answer was relayed

    Examples:
      | fault                       | access | count | safeguard | wrong |
      | repeat the end of an answer | read   | 12    | on        | false |
      | repeat the end of an answer | read   | 12    | off       | true  |
      | repeat the end of an answer | write  | 12    | on        | false |
      | cross two answers           | read   | 12    | on        | false |
      | cross two answers           | read   | 12    | off       | true  |
      | cross two answers           | write  | 12    | on        | false |

  Scenario Outline: A late answer never reaches the next caller, safeguard <safeguard>
    Given outcomes: p1 has one connection to each member
    And outcomes: the safeguard "late answers" is <safeguard>
    When outcomes: a caller disconnects before its answer arrives, and another caller asks
    Then outcomes: it is <wrong> that a wrong answer was relayed

    Examples:
      | safeguard | wrong |
      | on        | false |
      | off       | true  |

  Scenario Outline: A write is retried only if nothing was sent: <case>, safeguard <safeguard>
    Given outcomes: <situation>
    And outcomes: the safeguard "<case>" is <safeguard>
    When outcomes: a row is written
    Then outcomes: the write is reported as <told>, and its row exists <times> times

    Examples:
      | case                   | situation                                     | safeguard | told    | times |
      | the answer is lost     | member a cuts the connection behind the commit | on        | unknown | 1     |
      | the answer is lost     | member a cuts the connection behind the commit | off       | done    | 2     |
      | idle connections broke | member a has cut all idle connections         | on        | done    | 1     |

  Scenario Outline: No write of a replaced primary is acknowledged, safeguard <safeguard>
    Given outcomes: the safeguard "term" is <safeguard>
    When outcomes: the primary is replaced while a write waits for its answer
    Then outcomes: the write is reported as <told>

    Examples:
      | safeguard | told    |
      | on        | unknown |
      | off       | done    |

  Scenario: A commit whose outcome the member does not know is reported as unknown
    Given outcomes: member a reaches no majority
    When outcomes: a row is written with a deadline of 300 ms
    Then outcomes: the write is reported as unknown

  Scenario Outline: A lost answer in a transaction is reported as <told>: <sql>
    When outcomes: in a transaction the answer to <sql> is lost
    Then outcomes: the unit is reported as <told>

    Examples:
      | sql                                             | told        |
      | COMMIT                                          | unknown     |
      | a COMMIT whose length is a letter               | unknown     |
      | a prepared COMMIT                               | unknown     |
      | SELECT 1                                        | did-not-run |

  Scenario Outline: A read that was sent is never reported as not run: <case>
    Given outcomes: <situation>
    When outcomes: a read is refused after its retries
    Then outcomes: the unit is reported as <told>

    Examples:
      | case                  | situation                                             | told           |
      | members break off     | no primary, and the replicas repeat each answer's end | ran-and-failed |
      | replicas are behind   | no primary, and the replicas are behind the token     | ran-and-failed |
      | nobody can be reached | no primary, and the replicas take no connections      | did-not-run    |

  Scenario Outline: A read is retried on another member if nothing of it was relayed: <case>
    Given outcomes: replica <member> <fault>
    When outcomes: 10 reads ask for their own number
    Then outcomes: all were answered completely, none by <member>

    Examples:
      | case                   | member | fault                     |
      | the member refuses     | b      | refuses connections       |
      | the member stands still | b     | is frozen                 |

  Scenario Outline: A transaction is rolled back when its <who> disconnects
    When outcomes: a transaction has written and its <who> disconnects
    Then outcomes: its row does not exist, and its locks are free

    Examples:
      | who    |
      | caller |
      | proxy  |
